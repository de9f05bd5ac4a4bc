package dev.lavenderline.http;

import org.tinylog.Logger;

/** Log events of this module, LL-1300 to LL-1399. Placeholders are filled in the order of the arguments. */
public enum HttpEvent {
    LISTENING("LL-1300", "listening for callers on {}:{}"),
    DRAINING("LL-1301", "draining with {} open requests"),
    DRAINED("LL-1302", "drained, {} requests were still open"),
    HANDLER_FAILED("LL-1303", "request {} failed inside the node"),
    CALLER_LEFT("LL-1304", "the caller of request {} closed its connection"),
    CONNECTION_BROKEN("LL-1305", "the connection of caller {} broke: {}"),
    ATTEMPT_FAILED("LL-1310", "attempt {} on upstream {} failed: {}: {}"),
    STREAM_RESUMED("LL-1311", "attempt {} on upstream {} is resumed at token {}"),
    STREAM_CONTINUED("LL-1312", "request {} is continued on upstream {} at token {}"),
    CANCEL_FAILED("LL-1313", "cancel of {} on upstream {} failed: {}"),
    REQUEST_FAILED("LL-1314", "request {} failed: {}: {}"),
    SENT_AGAIN("LL-1315", "attempt {} is sent to upstream {} again, which has not seen it"),
    ANSWER_TOO_LARGE("LL-1320", "the answer to keyed request {} has more than {} bytes and is not recorded");

    private final String code;
    private final String message;

    HttpEvent(String code, String message) {
        this.code = code;
        this.message = message;
    }

    /** Returns the stable code. */
    public String code() {
        return code;
    }

    /** Returns the message with placeholders. */
    public String message() {
        return message;
    }

    void debug(Object... arguments) {
        Logger.debug(text(), arguments);
    }

    void info(Object... arguments) {
        Logger.info(text(), arguments);
    }

    void warn(Object... arguments) {
        Logger.warn(text(), arguments);
    }

    void error(Throwable cause, Object... arguments) {
        Logger.error(cause, text(), arguments);
    }

    private String text() {
        return code + " " + message;
    }
}
