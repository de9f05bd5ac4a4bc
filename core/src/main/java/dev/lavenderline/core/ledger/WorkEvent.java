package dev.lavenderline.core.ledger;

import com.google.common.primitives.ImmutableIntArray;

/** A change of the {@link WorkLedger}. */
public sealed interface WorkEvent {
    /** A file was sealed and can be used by jobs. */
    record FileReady(String fileId) implements WorkEvent {}

    /** A job was created. */
    record JobOpened(String jobId) implements WorkEvent {}

    /**
     * A job was claimed or released.
     *
     * @param jobId job
     * @param holder incarnation of the new holder, empty after a release
     * @param claim offset of the new claim, 0 after a release
     * @param previousHolder incarnation of the holder before, empty if there was none
     */
    record JobClaimChanged(String jobId, String holder, long claim, String previousHolder) implements WorkEvent {}

    /** A job was cancelled; followed by {@link JobEnded}. */
    record JobCancelled(String jobId) implements WorkEvent {}

    /** A job left the state {@link Job.State#IN_PROGRESS}. */
    record JobEnded(String jobId, Job.State state) implements WorkEvent {}

    /** The results retention of an ended job has passed; the ledger no longer knows it. */
    record JobForgotten(String jobId) implements WorkEvent {}

    /** Items got their result. */
    record ItemsDone(String jobId, ImmutableIntArray indexes) implements WorkEvent {}

    /** A role has a new holder; {@code claim} is the fencing number. */
    record RoleChanged(String role, String holder, long claim, String previousHolder) implements WorkEvent {}

    /** The whole state was replaced by a snapshot; everything derived from earlier events must be read again. */
    record Restored(long position) implements WorkEvent {}
}
