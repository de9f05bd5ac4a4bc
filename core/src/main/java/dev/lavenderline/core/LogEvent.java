package dev.lavenderline.core;

/**
 * A kind of log line. Implemented by one enum in each module that logs, so that all kinds can be listed.
 *
 * <p>A log line starts with the code and a space, followed by the message with its arguments.
 */
public interface LogEvent {
    /** Returns the stable number, {@code LL-1000}; unique among all enums. */
    String code();

    /** Returns the message with a pair of braces for each argument. */
    String message();
}
