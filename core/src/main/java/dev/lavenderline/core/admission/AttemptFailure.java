package dev.lavenderline.core.admission;

/** Why an attempt of a batch item ended without a complete answer. */
public enum AttemptFailure {
    /** The engine refused the item permanently (4xx except 429); another attempt cannot succeed. */
    REFUSED,
    /** The connection broke or the engine crashed. */
    KILLED,
    /** The engine sent nothing for longer than the timeout. */
    TIMED_OUT,
    /** The engine answered that it is temporarily unable to serve (429, 5xx); not counted as an attempt. */
    REJECTED,
    /** The connection was not established; not counted as an attempt. */
    NOT_SENT,
    /** The node cancelled the attempt after a {@link BatchAction.Cancel}; not counted as an attempt. */
    CANCELLED
}
