package dev.lavenderline.log;

import org.tinylog.Logger;

/**
 * Numbered log events of the platform module, LL-1100 to LL-1199. Consecutive failures are logged at each power of
 * two only, so that a long outage does not flood the log.
 */
public enum PlatformEvent {
    APPEND_RETRIED(1100, "stream {}: append of batch {} failed ({}), attempt {}, next attempt in {} ms"),
    APPEND_RECOVERED(1101, "stream {}: append of batch {} succeeded at attempt {}"),
    APPEND_REJECTED(1102, "stream {}: append of batch {} was rejected: {}"),
    WRITE_BUFFER_FULL(1103, "stream {}: write refused: {} bytes are unacknowledged, the limit is {}"),
    READ_FAILED(1110, "stream {}: read from {} failed ({}), failure {} in a row, next attempt in {} ms"),
    READ_RECOVERED(1111, "stream {}: read from {} succeeded after {} failures"),
    CAUGHT_UP(1112, "stream {}: caught up at offset {}"),
    RECORD_MALFORMED(1113, "stream {}: record {} is not a record batch and is skipped: {}"),
    FOLLOWER_STOPPED(1114, "stream {}: follower stopped at record {}: {}"),
    RETENTION_PASSED(
            1115, "stream {}: record {} has expired, the first retained record is {}; scanning for a snapshot"),
    SNAPSHOT_RESTORED(1116, "stream {}: restored a snapshot as of {} ({} bytes)"),
    SNAPSHOT_MALFORMED(1117, "stream {}: snapshot {} as of {} cannot be restored: {}"),
    SNAPSHOT_MISSING(1118, "stream {}: no usable snapshot in records {} to {}; waiting for one"),
    SNAPSHOT_WRITTEN(1120, "stream {}: wrote a snapshot as of {} ({} bytes in {} parts)"),
    SNAPSHOT_FAILED(1121, "stream {}: writing the snapshot as of {} failed: {}"),
    LISTENER_FAILED(1122, "stream {}: a listener failed: {}"),
    CONNECTIONS_REPLACED(1130, "{}: request failed without a response; further requests use new connections");

    private final int number;
    private final String message;

    PlatformEvent(int number, String message) {
        this.number = number;
        this.message = message;
    }

    /** Returns the event's stable code, such as {@code LL-1100}. */
    public String code() {
        return "LL-" + number;
    }

    /** Returns the message pattern; {@code {}} is a placeholder for an argument. */
    public String message() {
        return message;
    }

    void info(Object... arguments) {
        Logger.info(code() + " " + message, arguments);
    }

    void warn(Object... arguments) {
        Logger.warn(code() + " " + message, arguments);
    }

    void error(Object... arguments) {
        Logger.error(code() + " " + message, arguments);
    }
}
