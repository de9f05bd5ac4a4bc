package dev.lavenderline.log;

/** Why a call to the log failed. */
public sealed interface LogError {
    /** The log could not be reached or answered that it is down; an append had no effect. */
    record Unavailable(String message) implements LogError {}

    /** No answer arrived; an append may have taken effect. */
    record TimedOut(String message) implements LogError {}

    /** The offset is older than the first one kept. */
    record Expired(long firstOffset) implements LogError {}

    /** The log is over its append rate; an append had no effect. */
    record Overloaded() implements LogError {}

    /** The log refused the request for good. */
    record Rejected(String message) implements LogError {}
}
