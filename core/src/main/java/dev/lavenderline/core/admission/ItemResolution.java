package dev.lavenderline.core.admission;

/** What happens to a batch item after an attempt that ended without a complete answer. */
public enum ItemResolution {
    /** The item gets another attempt, at once or after a backoff delay. */
    RETRY,
    /** The item is final with the engine's refusal as its result. */
    REFUSED,
    /** The item is final: too many of its attempts crashed the engine or timed out. */
    ATTEMPTS_EXHAUSTED,
    /** The item was not in flight, for example because its job was closed; nothing changed. */
    IGNORED
}
