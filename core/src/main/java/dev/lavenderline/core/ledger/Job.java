package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.JobCreated;
import dev.lavenderline.proto.log.JobState;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * A batch job.
 *
 * <p>The object is a live view of the {@link WorkLedger}. A job whose results have not started takes no memory per item;
 * afterwards it takes 8 bytes per item (one array of offsets). Not thread-safe; confined to the node's event loop.
 */
public final class Job {
    /** Progress of a job; every state but the first is final. */
    public enum State {
        IN_PROGRESS,
        /** Every item has a result. */
        COMPLETED,
        CANCELLED,
        /** Closed by its holder because the deadline passed. */
        EXPIRED
    }

    private final JobCreated created;
    private final long createdOffset;
    // Offset of the batch with the result of item i, 0 while it has none; empty before the first result.
    private long[] results = {};
    private int done;
    private int failed;
    private long claim;
    private String holder = "";
    private State state = State.IN_PROGRESS;
    private String closedReason = "";
    private long endedMs;

    Job(JobCreated created, long createdOffset) {
        this.created = created;
        this.createdOffset = createdOffset;
    }

    /** Returns the job id. */
    public String id() {
        return created.getJobId();
    }

    /** Returns the workspace that owns the job. */
    public String workspace() {
        return created.getWorkspace();
    }

    /** Returns the id of the input file. */
    public String fileId() {
        return created.getFileId();
    }

    /** Returns the path of the model endpoint that the items call. */
    public String endpoint() {
        return created.getEndpoint();
    }

    /** Returns the deployment that runs the items. */
    public String deployment() {
        return created.getDeployment();
    }

    /** Returns the number of items. */
    public int items() {
        return created.getItems();
    }

    /** Returns the time by which all items must have a result. */
    public Instant deadline() {
        return Instant.ofEpochMilli(created.getDeadlineMs());
    }

    /** Returns the caller's metadata. */
    public Map<String, String> metadata() {
        return created.getMetadataMap();
    }

    /** Returns when the accepting node received the job. */
    public Instant created() {
        return Instant.ofEpochMilli(created.getCreatedMs());
    }

    /** Returns the region of the host that accepted the job. */
    public String region() {
        return created.getRegion();
    }

    /** Returns the offset of the batch that created the job. */
    public long createdOffset() {
        return createdOffset;
    }

    /** Returns the state. */
    public State state() {
        return state;
    }

    /** Returns whether the state is {@link State#IN_PROGRESS}. */
    public boolean isOpen() {
        return state == State.IN_PROGRESS;
    }

    /** Returns the offset of the current claim, 0 if there is none; kept after the end of the job. */
    public long claim() {
        return claim;
    }

    /** Returns the incarnation of the current holder, empty if there is none. */
    public String holder() {
        return holder;
    }

    /** Returns the number of items that completed without an error. */
    public int completed() {
        return done - failed;
    }

    /** Returns the number of items whose result is an error. */
    public int failed() {
        return failed;
    }

    /** Returns the number of items that have a result. */
    public int done() {
        return done;
    }

    /** Returns the log time of the end; empty while the job is open. */
    public Optional<Instant> ended() {
        return isOpen() ? Optional.empty() : Optional.of(Instant.ofEpochMilli(endedMs));
    }

    /** Returns why the holder closed the job; empty unless the state is {@link State#EXPIRED}. */
    public String closedReason() {
        return closedReason;
    }

    /**
     * Returns whether an item has a result.
     *
     * @throws IndexOutOfBoundsException if the job has no such item
     */
    public boolean isDone(int item) {
        return offsetOf(item) != 0;
    }

    /**
     * Returns the offset of the batch that holds the result of an item; empty while it has none. The result itself is
     * found with {@link WorkLedger#resultIn}.
     *
     * @throws IndexOutOfBoundsException if the job has no such item
     */
    public OptionalLong resultOffset(int item) {
        long offset = offsetOf(item);
        return offset == 0 ? OptionalLong.empty() : OptionalLong.of(offset);
    }

    /** Returns the first item at or after {@code from} that has no result, {@link #items()} if there is none. */
    public int nextPending(int from) {
        int item = from;
        while (item < items() && isDone(item)) {
            item++;
        }
        return item;
    }

    private long offsetOf(int item) {
        if (item < 0 || item >= items()) {
            throw new IndexOutOfBoundsException("item " + item + " of job " + id() + " with " + items() + " items");
        }
        return results.length == 0 ? 0 : results[item];
    }

    boolean hasItem(int item) {
        return item >= 0 && item < items();
    }

    /** Records a first result; returns whether the item had none. */
    boolean complete(ItemResult result, long offset) {
        int item = result.getIndex();
        if (!hasItem(item) || isDone(item)) {
            return false;
        }
        if (results.length == 0) {
            results = new long[items()];
        }
        results[item] = offset;
        done++;
        if (!result.getErrorCode().isEmpty()) {
            failed++;
        }
        return true;
    }

    void relocate(int item, long offset) {
        if (hasItem(item) && isDone(item)) {
            results[item] = offset;
        }
    }

    void claimed(long newClaim, String newHolder) {
        claim = newClaim;
        holder = newHolder;
    }

    void end(State newState, String reason, long nowMs) {
        state = newState;
        closedReason = reason;
        endedMs = nowMs;
    }

    long endedMs() {
        return endedMs;
    }

    /** Captures the state; the supplier serializes it and may be called on any thread. */
    Supplier<JobState> capture() {
        JobState.Builder builder = JobState.newBuilder()
                .setCreated(created)
                .setCreatedOffset(createdOffset)
                .setClaim(claim)
                .setHolder(holder)
                .setCancelled(state == State.CANCELLED)
                .setClosedReason(closedReason)
                .setEndedMs(endedMs)
                .setFailedItems(failed);
        long[] offsets = results.clone();
        return () -> {
            for (long offset : offsets) {
                builder.addResultOffset(offset);
            }
            return builder.build();
        };
    }

    static Job of(JobState state) {
        Job job = new Job(state.getCreated(), state.getCreatedOffset());
        int count = state.getResultOffsetCount();
        if (count != 0 && count != job.items()) {
            throw new IllegalArgumentException(
                    "snapshot holds " + count + " results for job " + job.id() + " with " + job.items() + " items");
        }
        job.results = new long[count];
        for (int i = 0; i < count; i++) {
            job.results[i] = state.getResultOffset(i);
            if (job.results[i] != 0) {
                job.done++;
            }
        }
        job.failed = state.getFailedItems();
        job.claim = state.getClaim();
        job.holder = state.getHolder();
        job.closedReason = state.getClosedReason();
        job.endedMs = state.getEndedMs();
        if (state.getCancelled()) {
            job.state = State.CANCELLED;
        } else if (!job.closedReason.isEmpty()) {
            job.state = State.EXPIRED;
        } else if (job.done == job.items()) {
            job.state = State.COMPLETED;
        }
        return job;
    }
}
