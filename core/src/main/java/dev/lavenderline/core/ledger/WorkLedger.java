package dev.lavenderline.core.ledger;

import com.google.common.primitives.ImmutableIntArray;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.FileSealed;
import dev.lavenderline.proto.log.FileState;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import dev.lavenderline.proto.log.JobCancelled;
import dev.lavenderline.proto.log.JobClaimed;
import dev.lavenderline.proto.log.JobClosed;
import dev.lavenderline.proto.log.JobCreated;
import dev.lavenderline.proto.log.JobReleased;
import dev.lavenderline.proto.log.JobState;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.proto.log.RoleClaimed;
import dev.lavenderline.proto.log.RoleState;
import dev.lavenderline.proto.log.WorkState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * State of the files, batch jobs, claims, results and roles, built from the stream {@code work}.
 *
 * <p>Conflicts are resolved by the order of the log. A claim is valid if it names the current claim as its predecessor;
 * its offset is the fencing token, and releases, completions and closes with any other token are ignored. The first
 * result of an item wins. A record refers to a claim by the offset of an earlier record; references to its own offset
 * or a later one are ignored.
 *
 * <p>Ended jobs are removed when the results retention has passed in log time. A file is removed when no job refers to
 * it and its newest chunk is older than the results retention.
 *
 * <p>Memory: 8 bytes per item of a job that has results (an array of offsets), plus about 100 bytes per file chunk.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * WorkLedger ledger = new WorkLedger(Duration.ofHours(24), listener);
 * ledger.apply(offset, time, batch);
 * ledger.job(id).filter(Job::isOpen).ifPresent(job -> start(job.nextPending(0)));
 * }</pre>
 */
public final class WorkLedger extends SequencedLedger {
    /** Largest number of items in one file. */
    public static final int MAX_ITEMS = 160_000;

    private static final Comparator<Job> BY_CREATION =
            Comparator.comparingLong(Job::createdOffset).thenComparing(Job::id);
    private static final Comparator<Job> BY_END =
            Comparator.comparingLong(Job::endedMs).thenComparing(Job::id);
    private static final Comparator<BatchFile> BY_NEWEST_CHUNK =
            Comparator.comparingLong(BatchFile::newestChunkMs).thenComparing(BatchFile::id);

    private final long retentionMs;
    private final Consumer<WorkEvent> listener;
    private final List<WorkEvent> events = new ArrayList<>();
    private State state = new State();

    /**
     * Creates an empty ledger.
     *
     * @param resultsRetention how long ended jobs and unreferenced files are kept, in log time; must be the same on all
     *     nodes
     * @param listener receives the events of a record after all its entries have been applied; must not call
     *     {@link #apply} or {@link #restore}
     */
    public WorkLedger(Duration resultsRetention, Consumer<WorkEvent> listener) {
        this.retentionMs = positiveMillis(resultsRetention, "results retention");
        this.listener = listener;
    }

    /** Returns a file; empty if it is unknown or not sealed. */
    public Optional<BatchFile> file(String id) {
        return Optional.ofNullable(state.files.get(id)).filter(BatchFile::sealed);
    }

    /** Returns a job, open or ended; empty if it is unknown. */
    public Optional<Job> job(String id) {
        return Optional.ofNullable(state.jobs.get(id));
    }

    /** Returns the jobs of a workspace, newest first. */
    public List<Job> jobs(String workspace) {
        TreeSet<Job> jobs = state.byWorkspace.get(workspace);
        return jobs == null ? List.of() : List.copyOf(jobs.descendingSet());
    }

    /** Returns the jobs in progress, oldest first. */
    public List<Job> openJobs() {
        return List.copyOf(state.openJobs);
    }

    /** Returns all jobs, open and ended, in no particular order. */
    public List<Job> allJobs() {
        return List.copyOf(state.jobs.values());
    }

    /** Returns all sealed files, in no particular order. */
    public List<BatchFile> files() {
        return state.files.values().stream().filter(BatchFile::sealed).toList();
    }

    /** Returns a role and its holder; empty if the role was never claimed. */
    public Optional<Role> role(String name) {
        return Optional.ofNullable(state.roles.get(name));
    }

    /**
     * Finds the result of an item in the batch at {@link Job#resultOffset}.
     *
     * <p>The batch may also hold an ignored result of the item, written under an older claim. A republished copy takes
     * precedence, then the result with the newest claim, then the first one.
     */
    public static Optional<ItemResult> resultIn(RecordBatch batch, String jobId, int item) {
        ItemResult found = null;
        long foundClaim = -1;
        for (Entry entry : batch.getEntriesList()) {
            ItemsCompleted completed = entry.getItemsCompleted();
            if (!entry.hasItemsCompleted() || !completed.getJobId().equals(jobId)) {
                continue;
            }
            long claim = completed.getRepublished() ? Long.MAX_VALUE : completed.getClaim();
            if (claim <= foundClaim) {
                continue;
            }
            for (ItemResult result : completed.getResultsList()) {
                if (result.getIndex() == item) {
                    found = result;
                    foundClaim = claim;
                    break;
                }
            }
        }
        return Optional.ofNullable(found);
    }

    @Override
    public byte[] snapshot() {
        return prepareSnapshot().get();
    }

    @Override
    public Supplier<byte[]> prepareSnapshot() {
        WorkState.Builder builder = WorkState.newBuilder().addAllWriters(writerStates());
        state.files.values().forEach(file -> builder.addFiles(file.toState()));
        state.roles
                .values()
                .forEach(role -> builder.addRoles(RoleState.newBuilder()
                        .setRole(role.name())
                        .setHolder(role.holder())
                        .setClaim(role.claim())));
        List<Supplier<JobState>> jobs = state.jobs.values().stream()
                .sorted(BY_CREATION)
                .map(Job::capture)
                .toList();
        return () -> {
            jobs.forEach(job -> builder.addJobs(job.get()));
            return serialize(builder.build());
        };
    }

    @Override
    public void restore(long asOf, byte[] bytes) {
        requireNewer(asOf);
        WorkState parsed;
        try {
            parsed = WorkState.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("snapshot as of " + asOf + " cannot be parsed", e);
        }
        State restored = new State();
        for (FileState file : parsed.getFilesList()) {
            restored.files.put(file.getFileId(), BatchFile.fromState(file));
        }
        for (JobState job : parsed.getJobsList()) {
            restored.add(Job.fromState(job));
        }
        for (RoleState role : parsed.getRolesList()) {
            restored.roles.put(role.getRole(), new Role(role.getRole(), role.getHolder(), role.getClaim()));
        }
        restored.files.values().stream().filter(file -> !file.isReferenced()).forEach(restored.unreferencedFiles::add);
        state = restored;
        restorePosition(asOf, parsed.getWritersList());
        listener.accept(new WorkEvent.Restored(asOf));
    }

    @Override
    protected void removeExpired(long logTimeMs) {
        while (!state.endedJobs.isEmpty() && state.endedJobs.first().endedMs() <= logTimeMs - retentionMs) {
            Job job = state.endedJobs.first();
            state.remove(job);
            events.add(new WorkEvent.JobRemoved(job.id()));
        }
        while (!state.unreferencedFiles.isEmpty()
                && state.unreferencedFiles.first().newestChunkMs() <= logTimeMs - retentionMs) {
            state.files.remove(state.unreferencedFiles.pollFirst().id());
        }
    }

    @Override
    protected void applyEntry(long offset, int index, long logTimeMs, Entry entry) {
        switch (entry.getBodyCase()) {
            case FILE_CHUNK -> applyFileChunk(offset, index, logTimeMs, entry.getFileChunk());
            case FILE_SEALED -> applyFileSealed(entry.getFileSealed());
            case JOB_CREATED -> applyJobCreated(offset, entry.getJobCreated());
            case JOB_CLAIMED -> applyJobClaimed(offset, entry.getJobClaimed());
            case JOB_RELEASED -> applyJobReleased(offset, entry.getJobReleased());
            case ITEMS_COMPLETED -> applyItemsCompleted(offset, logTimeMs, entry.getItemsCompleted());
            case JOB_CANCELLED -> applyJobCancelled(logTimeMs, entry.getJobCancelled());
            case JOB_CLOSED -> applyJobClosed(offset, logTimeMs, entry.getJobClosed());
            case ROLE_CLAIMED -> applyRoleClaimed(offset, entry.getRoleClaimed());
            default -> {
                // Snapshot parts and entries of other streams are ignored.
            }
        }
    }

    @Override
    protected void recordApplied() {
        if (events.isEmpty()) {
            return;
        }
        List<WorkEvent> delivered = List.copyOf(events);
        events.clear();
        delivered.forEach(listener);
    }

    private void applyFileChunk(long offset, int index, long logTimeMs, FileChunk chunk) {
        BatchFile known = state.files.get(chunk.getFileId());
        BatchFile file = known == null ? new BatchFile(chunk.getFileId(), chunk.getWorkspace()) : known;
        if (chunk.getFileId().isEmpty() || !file.accepts(chunk)) {
            return;
        }
        state.files.put(file.id(), file);
        state.unreferencedFiles.remove(file);
        file.putChunk(offset, index, logTimeMs, chunk);
        if (!file.isReferenced()) {
            state.unreferencedFiles.add(file);
        }
    }

    private void applyFileSealed(FileSealed seal) {
        BatchFile file = state.files.get(seal.getFileId());
        if (file == null) {
            return;
        }
        // Sealing can remove chunks and so change the sort key of unreferencedFiles.
        state.unreferencedFiles.remove(file);
        boolean isSealed = file.seal(seal);
        if (!file.isReferenced()) {
            state.unreferencedFiles.add(file);
        }
        if (isSealed) {
            events.add(new WorkEvent.FileReady(file.id()));
        }
    }

    private void applyJobCreated(long offset, JobCreated created) {
        BatchFile file = state.files.get(created.getFileId());
        if (created.getJobId().isEmpty()
                || state.jobs.containsKey(created.getJobId())
                || file == null
                || !file.sealed()
                || !file.workspace().equals(created.getWorkspace())
                || file.items() != created.getItems()) {
            return;
        }
        state.add(new Job(created, offset));
        events.add(new WorkEvent.JobOpened(created.getJobId()));
    }

    private void applyJobClaimed(long offset, JobClaimed claimed) {
        Job job = openJob(claimed.getJobId());
        if (job == null
                || claimed.getHolder().isEmpty()
                || claimed.getPrevious() != job.claim()
                || claimed.getPrevious() >= offset) {
            return;
        }
        String previous = job.holder();
        job.setClaim(offset, claimed.getHolder());
        events.add(new WorkEvent.JobClaimChanged(job.id(), job.holder(), offset, previous));
    }

    private void applyJobReleased(long offset, JobReleased released) {
        Job job = openJob(released.getJobId());
        if (job == null || !isCurrent(job, released.getClaim(), offset)) {
            return;
        }
        String previous = job.holder();
        job.setClaim(0, "");
        events.add(new WorkEvent.JobClaimChanged(job.id(), "", 0, previous));
    }

    private void applyItemsCompleted(long offset, long logTimeMs, ItemsCompleted completed) {
        Job job = state.jobs.get(completed.getJobId());
        if (job == null) {
            return;
        }
        if (completed.getRepublished()) {
            completed.getResultsList().forEach(result -> job.moveResult(result.getIndex(), offset));
            return;
        }
        if (!job.isOpen() || !isCurrent(job, completed.getClaim(), offset)) {
            return;
        }
        ImmutableIntArray.Builder done = ImmutableIntArray.builder(completed.getResultsCount());
        for (ItemResult result : completed.getResultsList()) {
            if (job.recordResult(result, offset)) {
                done.add(result.getIndex());
            }
        }
        ImmutableIntArray indexes = done.build();
        if (indexes.isEmpty()) {
            return;
        }
        events.add(new WorkEvent.ItemsDone(job.id(), indexes));
        if (job.done() == job.items()) {
            end(job, Job.State.COMPLETED, "", logTimeMs);
        }
    }

    private void applyJobCancelled(long logTimeMs, JobCancelled cancelled) {
        Job job = openJob(cancelled.getJobId());
        if (job == null || !job.workspace().equals(cancelled.getWorkspace())) {
            return;
        }
        events.add(new WorkEvent.JobCancelled(job.id()));
        end(job, Job.State.CANCELLED, "", logTimeMs);
    }

    private void applyJobClosed(long offset, long logTimeMs, JobClosed closed) {
        Job job = openJob(closed.getJobId());
        if (job == null || !isCurrent(job, closed.getClaim(), offset)) {
            return;
        }
        // A job restored from a snapshot counts as expired only if it has a reason.
        end(job, Job.State.EXPIRED, closed.getReason().isEmpty() ? "expired" : closed.getReason(), logTimeMs);
    }

    private void applyRoleClaimed(long offset, RoleClaimed claimed) {
        Role current = state.roles.get(claimed.getRole());
        long currentClaim = current == null ? 0 : current.claim();
        if (claimed.getRole().isEmpty()
                || claimed.getHolder().isEmpty()
                || claimed.getPrevious() != currentClaim
                || claimed.getPrevious() >= offset) {
            return;
        }
        state.roles.put(claimed.getRole(), new Role(claimed.getRole(), claimed.getHolder(), offset));
        events.add(new WorkEvent.RoleChanged(
                claimed.getRole(), claimed.getHolder(), offset, current == null ? "" : current.holder()));
    }

    private void end(Job job, Job.State newState, String reason, long logTimeMs) {
        state.openJobs.remove(job);
        job.end(newState, reason, logTimeMs);
        state.endedJobs.add(job);
        events.add(new WorkEvent.JobEnded(job.id(), newState));
    }

    private Job openJob(String id) {
        Job job = state.jobs.get(id);
        return job == null || !job.isOpen() ? null : job;
    }

    /** Returns whether the claim that a record at {@code offset} refers to is the current one. */
    private static boolean isCurrent(Job job, long claim, long offset) {
        // 0 means that the job is unclaimed and never authorizes a record.
        return claim != 0 && claim == job.claim() && claim < offset;
    }

    private static final class State {
        final Map<String, BatchFile> files = new TreeMap<>();
        final Map<String, Job> jobs = new TreeMap<>();
        final Map<String, Role> roles = new TreeMap<>();
        final Map<String, TreeSet<Job>> byWorkspace = new TreeMap<>();
        final TreeSet<Job> openJobs = new TreeSet<>(BY_CREATION);
        final TreeSet<Job> endedJobs = new TreeSet<>(BY_END);
        final TreeSet<BatchFile> unreferencedFiles = new TreeSet<>(BY_NEWEST_CHUNK);

        void add(Job job) {
            BatchFile file = files.get(job.fileId());
            if (file == null) {
                throw new IllegalArgumentException("job " + job.id() + " refers to unknown file " + job.fileId());
            }
            unreferencedFiles.remove(file);
            file.addReference();
            jobs.put(job.id(), job);
            byWorkspace
                    .computeIfAbsent(job.workspace(), workspace -> new TreeSet<>(BY_CREATION))
                    .add(job);
            (job.isOpen() ? openJobs : endedJobs).add(job);
        }

        /** Removes an ended job. */
        void remove(Job job) {
            endedJobs.remove(job);
            jobs.remove(job.id());
            TreeSet<Job> ofWorkspace = byWorkspace.get(job.workspace());
            ofWorkspace.remove(job);
            if (ofWorkspace.isEmpty()) {
                byWorkspace.remove(job.workspace());
            }
            BatchFile file = files.get(job.fileId());
            file.removeReference();
            if (!file.isReferenced()) {
                unreferencedFiles.add(file);
            }
        }
    }
}
