package dev.lavenderline.node;

import dev.lavenderline.core.LogEvent;
import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * Log events of the node module, LL-1000 to LL-1099. Thread-safe.
 *
 * <pre>{@code
 * NodeEvent.READY.log(revision, uptimeMillis);
 * NodeEvent.CHILD_FAILED.log(exception, "platform", exception.getMessage());
 * }</pre>
 */
public enum NodeEvent implements LogEvent {
    STARTED(
            "LL-1000",
            Level.INFO,
            "node {} started as run {}, version {}: callers at {}, operators at {}, peers at {}"),
    READY("LL-1001", Level.INFO, "ready at configuration revision {} after {} ms"),
    UNREADY("LL-1002", Level.WARN, "unready: {}"),
    STOPPED("LL-1003", Level.INFO, "node {} stopped with exit code {}"),
    DRAIN_STARTED("LL-1004", Level.INFO, "drain started ({}): new requests accepted for another {}, {} in flight"),
    DRAIN_FINISHED("LL-1005", Level.INFO, "drain finished after {}"),
    CALLER_REFUSED(
            "LL-1006",
            Level.WARN,
            "{}: request refused or connection closed ({}) of {}, which made the node hold {} bytes"),
    CALLERS_REFUSED_FURTHER("LL-1007", Level.WARN, "requests refused or connections closed ({}): {} more"),
    CHILD_FAILED("LL-1012", Level.ERROR, "component {} failed: {}"),
    ROOT_FAILED("LL-1015", Level.ERROR, "unrecoverable failure: process exits with code {}"),
    CONFIG_IN_EFFECT(
            "LL-1020",
            Level.INFO,
            "configuration revision {} in effect: {} deployments, {} upstreams, {} workspaces, {} routes"),
    CONFIG_PULLED("LL-1023", Level.INFO, "configuration records from offset {} to {} read from peer {}"),
    MEMBER_JOINED("LL-1030", Level.INFO, "node {} is live"),
    MEMBER_GONE("LL-1032", Level.WARN, "node {} is unreachable or draining and gets no new assignments"),
    JOB_CLAIMED("LL-1040", Level.INFO, "job {} claimed at offset {}: {} of {} items without result"),
    JOB_CLAIM_LOST("LL-1041", Level.WARN, "claim of job {} replaced by the claim of {} at offset {}"),
    JOB_COMPLETED("LL-1042", Level.INFO, "job {} completed: {} items, {} of them failed"),
    JOB_CANCELLED("LL-1043", Level.INFO, "job {} cancelled: {} of {} items without result"),
    JOB_CLOSED("LL-1044", Level.WARN, "job {} closed ({}): {} of {} items without result"),
    RESULT_DROPPED(
            "LL-1047",
            Level.WARN,
            "result of item {} of job {} dropped, because the buffer for the log is full; the item runs again");

    private final String code;
    private final Level level;
    private final String message;

    NodeEvent(String code, Level level, String message) {
        this.code = code;
        this.level = level;
        this.message = message;
    }

    @Override
    public String code() {
        return code;
    }

    @Override
    public String message() {
        return message;
    }

    /** Returns the level at which the event is logged. */
    public Level level() {
        return level;
    }

    /** Logs the event with one argument per pair of braces in its message. */
    public void log(Object... arguments) {
        String text = code + " " + message;
        switch (level) {
            case TRACE -> Logger.trace(text, arguments);
            case DEBUG -> Logger.debug(text, arguments);
            case INFO -> Logger.info(text, arguments);
            case WARN -> Logger.warn(text, arguments);
            case ERROR -> Logger.error(text, arguments);
            case OFF -> {}
        }
    }

    /** As {@link #log(Object...)}, with the stack trace of a cause. */
    public void log(Throwable cause, Object... arguments) {
        String text = code + " " + message;
        switch (level) {
            case TRACE -> Logger.trace(cause, text, arguments);
            case DEBUG -> Logger.debug(cause, text, arguments);
            case INFO -> Logger.info(cause, text, arguments);
            case WARN -> Logger.warn(cause, text, arguments);
            case ERROR -> Logger.error(cause, text, arguments);
            case OFF -> {}
        }
    }
}
