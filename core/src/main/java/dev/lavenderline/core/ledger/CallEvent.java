package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.CallOutcome;

/** A state change of the {@link CallLedger}. */
public sealed interface CallEvent {
    /** A key was claimed. */
    record Claimed(String workspace, String key, String holder, long claim) implements CallEvent {}

    /** The outcome of a call was recorded; {@link CallOutcome#NOT_RUN} frees the key. */
    record Finished(String workspace, String key, long claim, CallOutcome outcome) implements CallEvent {}

    /** The whole state was replaced by a snapshot; state derived from earlier events must be rebuilt. */
    record Restored(long position) implements CallEvent {}
}
