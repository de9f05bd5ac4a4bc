package dev.lavenderline.serving.logging;

/**
 * Structured log, one line per event.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface EventLog {
    /**
     * Logs an event.
     *
     * @param fields alternating field names and values
     */
    void event(ServingEvent event, Object... fields);

    /** A log that discards all events. */
    EventLog NONE = (event, fields) -> {};
}
