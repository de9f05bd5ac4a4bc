package dev.lavenderline.core;

/**
 * A type of log event. Each module that logs implements it as one enum, so that all types can be listed.
 *
 * <p>A log line consists of the code, a space and the message with its arguments filled in.
 */
public interface LogEvent {
    /** Returns the stable code, such as {@code LL-1000}; unique across all enums. */
    String code();

    /** Returns the message template, with a {@code {}} placeholder for each argument. */
    String message();
}
