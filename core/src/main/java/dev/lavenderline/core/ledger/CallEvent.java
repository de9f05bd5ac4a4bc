package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.CallOutcome;

/** A change of the {@link CallLedger}. */
public sealed interface CallEvent {
    /** A key was claimed. */
    record Claimed(String workspace, String key, String holder, long claim) implements CallEvent {}

    /** A call ended; after {@link CallOutcome#NOT_RUN} the key is free again. */
    record Finished(String workspace, String key, long claim, CallOutcome outcome) implements CallEvent {}

    /** The whole state was replaced by a snapshot; everything derived from earlier events must be read again. */
    record Restored(long position) implements CallEvent {}
}
