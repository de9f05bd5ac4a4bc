package dev.lavenderline.core.admission;

/** Why an attempt of a batch item ended without a complete answer. */
public enum ItemOutcome {
    /** The engine gave a definite refusal (4xx except 429); another attempt cannot succeed. */
    REFUSED,
    /** The connection broke or the engine crashed. */
    KILLED,
    /** Nothing arrived for longer than the limit. */
    TIMED_OUT,
    /** The engine answered that it cannot serve now (429, 5xx); not counted as an attempt. */
    REJECTED,
    /** The connection was not established; not counted as an attempt. */
    NOT_SENT,
    /** The node ended the attempt because of a {@link BatchAction.Cancel}; not counted as an attempt. */
    CANCELLED
}
