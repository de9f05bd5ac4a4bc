package dev.lavenderline.serving.logging;

/**
 * Structured log of decisions, one line for each event.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface EventLog {
    /**
     * Logs an event.
     *
     * @param fields names and values in turn
     */
    void event(ServingEvent event, Object... fields);

    /** A log that drops everything. */
    EventLog NONE = (event, fields) -> {};
}
