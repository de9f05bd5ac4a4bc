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
 * <p>A live view of the {@link WorkLedger}, not a copy. A job takes no memory per item until its first result, then
 * 8 bytes per item (one array of offsets). Not thread-safe; confined to the node's event loop.
 */
public final class Job {
    /** State of a job; all but {@link #IN_PROGRESS} are final. */
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
    // Offset of the batch that holds the result of item i, 0 if there is none; empty before the first result of the
    // job.
    private long[] resultOffsets = {};
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

    /** Returns the time by which all items must have results. */
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

    public State state() {
        return state;
    }

    /** Returns whether the state is {@link State#IN_PROGRESS}. */
    public boolean isOpen() {
        return state == State.IN_PROGRESS;
    }

    /** Returns the offset of the current claim, its fencing token; 0 if unclaimed. Unchanged by the end of the job. */
    public long claim() {
        return claim;
    }

    /** Returns the incarnation of the node that holds the job, empty if unclaimed. */
    public String holder() {
        return holder;
    }

    /** Returns the number of items that have a successful result. */
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

    /** Returns the log time at which the job ended; empty while the job is open. */
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
        return resultOffsetOrZero(item) != 0;
    }

    /**
     * Returns the offset of the batch that holds the result of an item; empty while it has none. Use
     * {@link WorkLedger#resultIn} to find the result in the batch.
     *
     * @throws IndexOutOfBoundsException if the job has no such item
     */
    public OptionalLong resultOffset(int item) {
        long offset = resultOffsetOrZero(item);
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

    private long resultOffsetOrZero(int item) {
        if (item < 0 || item >= items()) {
            throw new IndexOutOfBoundsException("item " + item + " of job " + id() + " with " + items() + " items");
        }
        return resultOffsets.length == 0 ? 0 : resultOffsets[item];
    }

    boolean hasItem(int item) {
        return item >= 0 && item < items();
    }

    /** Records the result of an item; returns false and changes nothing if it already has one or does not exist. */
    boolean recordResult(ItemResult result, long offset) {
        int item = result.getIndex();
        if (!hasItem(item) || isDone(item)) {
            return false;
        }
        if (resultOffsets.length == 0) {
            resultOffsets = new long[items()];
        }
        resultOffsets[item] = offset;
        done++;
        if (!result.getErrorCode().isEmpty()) {
            failed++;
        }
        return true;
    }

    void moveResult(int item, long offset) {
        if (hasItem(item) && isDone(item)) {
            resultOffsets[item] = offset;
        }
    }

    void setClaim(long newClaim, String newHolder) {
        claim = newClaim;
        holder = newHolder;
    }

    void end(State newState, String reason, long logTimeMs) {
        state = newState;
        closedReason = reason;
        endedMs = logTimeMs;
    }

    long endedMs() {
        return endedMs;
    }

    /** Copies the state; the supplier builds its message and may be called once, on any thread. */
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
        long[] offsets = resultOffsets.clone();
        return () -> {
            for (long offset : offsets) {
                builder.addResultOffset(offset);
            }
            return builder.build();
        };
    }

    static Job fromState(JobState state) {
        Job job = new Job(state.getCreated(), state.getCreatedOffset());
        int count = state.getResultOffsetCount();
        if (count != 0 && count != job.items()) {
            throw new IllegalArgumentException(
                    "snapshot contains " + count + " results for job " + job.id() + " with " + job.items() + " items");
        }
        job.resultOffsets = new long[count];
        for (int i = 0; i < count; i++) {
            job.resultOffsets[i] = state.getResultOffset(i);
            if (job.resultOffsets[i] != 0) {
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
