package dev.lavenderline.core.overload;

import java.util.Locale;

/** Why a request was refused or a connection closed. */
public enum RefusalReason {
    /** All connections that the process may have are open. */
    CONNECTIONS(503),
    /** All memory that callers may make the process hold is held. */
    MEMORY(503),
    HEAD_TOO_LARGE(431),
    HEAD_TIMEOUT(408),
    BODY_TIMEOUT(408),
    IDLE(408),
    /** The peer has not read a response for too long. */
    UNREAD_RESPONSE(503),
    /** Too many requests were sent ahead of their responses. */
    PIPELINE(503);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /** Returns the status of the response to a request that is refused for this reason, if it gets one. */
    public int status() {
        return status;
    }

    /** Returns the name in metrics, log lines and responses. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
