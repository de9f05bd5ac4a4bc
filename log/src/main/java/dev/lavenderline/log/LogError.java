package dev.lavenderline.log;

/** Reason why a call to the log failed. */
public sealed interface LogError {
    /** The log could not be reached or reported that it is down; an append had no effect. */
    record Unavailable(String message) implements LogError {}

    /** No usable response arrived; an append may have taken effect. */
    record TimedOut(String message) implements LogError {}

    /** The offset is lower than the first retained one. */
    record Expired(long firstOffset) implements LogError {}

    /** The append rate of the log, or a limit of the writer's buffer, was exceeded; the append had no effect. */
    record Overloaded() implements LogError {}

    /** The request failed permanently; a retry would fail in the same way. */
    record Rejected(String message) implements LogError {}
}
