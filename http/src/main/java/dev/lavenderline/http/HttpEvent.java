package dev.lavenderline.http;

import org.tinylog.Logger;

/** Log events of this module, codes LL-1300 to LL-1399. Arguments replace the placeholders in their order. */
public enum HttpEvent {
    LISTENING("LL-1300", "listening for callers on {}:{}"),
    DRAINING("LL-1301", "drain started with {} open requests"),
    DRAINED("LL-1302", "drain finished with {} requests still open"),
    HANDLER_FAILED("LL-1303", "internal error while handling request {}"),
    CALLER_LEFT("LL-1304", "caller of request {} closed the connection"),
    CONNECTION_BROKEN("LL-1305", "connection from {} failed: {}"),
    ATTEMPT_FAILED("LL-1310", "attempt {} on upstream {} failed: {}: {}"),
    STREAM_RESUMED("LL-1311", "resuming attempt {} on upstream {} at token {}"),
    STREAM_CONTINUED("LL-1312", "continuing request {} on upstream {} at token {}"),
    CANCEL_FAILED("LL-1313", "cancelling attempt {} on upstream {} failed: {}"),
    REQUEST_FAILED("LL-1314", "request {} failed: {}: {}"),
    SENT_AGAIN("LL-1315", "attempt {} is unknown to upstream {}; sending it again"),
    ANSWER_TOO_LARGE("LL-1320", "response to request {} is larger than {} bytes and is not recorded");

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
