package dev.lavenderline.core.ledger;

import com.google.common.primitives.ImmutableIntArray;

/** A state change of the {@link WorkLedger}. */
public sealed interface WorkEvent {
    /** A file was sealed and can be used by jobs. */
    record FileReady(String fileId) implements WorkEvent {}

    /** A job was created. */
    record JobOpened(String jobId) implements WorkEvent {}

    /**
     * A job was claimed or released.
     *
     * @param jobId id of the job
     * @param holder incarnation of the new holder, empty after a release
     * @param claim offset of the new claim, 0 after a release
     * @param previousHolder incarnation of the previous holder, empty if there was none
     */
    record JobClaimChanged(String jobId, String holder, long claim, String previousHolder) implements WorkEvent {}

    /** A job was cancelled; followed by {@link JobEnded}. */
    record JobCancelled(String jobId) implements WorkEvent {}

    /** A job left the state {@link Job.State#IN_PROGRESS}. */
    record JobEnded(String jobId, Job.State state) implements WorkEvent {}

    /** An ended job was removed because the results retention has passed. */
    record JobRemoved(String jobId) implements WorkEvent {}

    /** The results of items were recorded. */
    record ItemsDone(String jobId, ImmutableIntArray indexes) implements WorkEvent {}

    /** A role has a new holder; {@code claim} is its fencing token. */
    record RoleChanged(String role, String holder, long claim, String previousHolder) implements WorkEvent {}

    /** The whole state was replaced by a snapshot; state derived from earlier events must be rebuilt. */
    record Restored(long position) implements WorkEvent {}
}
