package dev.lavenderline.node;

import dev.lavenderline.core.LogEvent;
import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * Events of a node, LL-1000 to LL-1099. Thread-safe.
 *
 * <pre>{@code
 * NodeEvent.READY.log(revision, millis);
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
    DRAIN_TIMED_OUT("LL-1006", Level.WARN, "drain timed out after {}: {} requests still in flight"),

    CHILD_STARTED("LL-1010", Level.DEBUG, "child {} started"),
    CHILD_STOPPED("LL-1011", Level.DEBUG, "child {} stopped"),
    CHILD_FAILED("LL-1012", Level.ERROR, "child {} failed: {}"),
    CHILD_RESTARTED("LL-1013", Level.WARN, "child {} restarted, attempt {}, after a delay of {}"),
    FAILURE_ESCALATED("LL-1014", Level.ERROR, "child {} failed {} times within {}: failure escalated to {}"),
    ROOT_FAILED("LL-1015", Level.ERROR, "supervisor tree failed: process stops with exit code {}"),

    CONFIG_IN_EFFECT(
            "LL-1020",
            Level.INFO,
            "configuration revision {} in effect: {} deployments, {} upstreams, {} workspaces, {} routes"),
    CONFIG_VOID("LL-1021", Level.WARN, "configuration change {} at offset {} by {} is void"),
    CONFIG_STALE("LL-1022", Level.WARN, "no fresh tail of the configuration for {}"),
    CONFIG_PULLED("LL-1023", Level.INFO, "configuration records from offset {} to {} read from peer {}"),
    LOG_VERSION_UNKNOWN("LL-1024", Level.ERROR, "stream {} has a batch of unknown version {} at offset {}"),

    MEMBER_JOINED("LL-1030", Level.INFO, "node {} joined as run {} in failure domain {}"),
    MEMBER_SUSPECTED("LL-1031", Level.WARN, "node {} suspected: no heartbeat for {}"),
    MEMBER_GONE("LL-1032", Level.WARN, "node {} gone: no heartbeat for {}"),
    MEMBER_LEAVING("LL-1033", Level.INFO, "node {} is leaving"),

    JOB_CLAIMED("LL-1040", Level.INFO, "job {} claimed at offset {}: {} of {} items without result"),
    JOB_CLAIM_LOST("LL-1041", Level.WARN, "claim {} of job {} replaced by the claim of {} at offset {}"),
    JOB_COMPLETED("LL-1042", Level.INFO, "job {} completed: {} items, {} of them failed"),
    JOB_CANCELLED("LL-1043", Level.INFO, "job {} cancelled: {} of {} items without result"),
    JOB_CLOSED("LL-1044", Level.WARN, "job {} closed ({}): {} of {} items without result"),
    JOB_AT_RISK("LL-1045", Level.WARN, "job {} at risk: {} items left, {} until its deadline"),
    ITEM_FAILED("LL-1046", Level.WARN, "item {} of job {} recorded as failed ({}) after {} attempts"),
    RESULTS_DROPPED("LL-1047", Level.WARN, "{} results dropped, their items run again: buffer holds {} bytes"),

    UPSTREAM_EJECTED("LL-1050", Level.WARN, "upstream {} only gets probes: {}"),
    UPSTREAM_RESTORED("LL-1051", Level.INFO, "upstream {} gets requests again after {}"),
    UPSTREAM_LEAVING("LL-1052", Level.INFO, "upstream {} gets no new work: {}"),

    ROLE_CLAIMED("LL-1060", Level.INFO, "role {} claimed at offset {}"),
    ROLE_LOST("LL-1061", Level.WARN, "role {} lost to the claim of {} at offset {}"),
    ORDER_SENT("LL-1062", Level.INFO, "order {} {} sent to upstream {} with fencing number {}"),
    ORDER_FAILED("LL-1063", Level.WARN, "order {} {} to upstream {} failed: {}"),

    INTERNAL_ERROR("LL-1099", Level.ERROR, "internal error in {}: {}");

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

    /** Logs the event with one argument for each pair of braces. */
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
