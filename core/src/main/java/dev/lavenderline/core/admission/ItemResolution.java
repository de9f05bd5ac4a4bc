package dev.lavenderline.core.admission;

/** What becomes of a batch item whose attempt ended without a complete answer. */
public enum ItemResolution {
    /** The item is queued for another attempt. */
    RETRY,
    /** The item is final with the engine's refusal as its result. */
    REFUSED,
    /** The item is final: it killed or timed out an engine too often. */
    ATTEMPTS_EXHAUSTED,
    /** The item was not in flight, for example because its job was closed; nothing changed. */
    IGNORED
}
