package dev.lavenderline.core.overload;

/** Why a request was refused or a connection closed. */
public enum RefusalReason {
    /** All connections that the process may have are open. */
    CONNECTIONS,
    /** All memory that callers may make the process hold is held. */
    MEMORY,
    HEAD_TOO_LARGE,
    HEAD_TIMEOUT,
    BODY_TIMEOUT,
    IDLE,
    /** The peer has not read a response for too long. */
    UNREAD_RESPONSE,
    /** Too many requests were sent ahead of their responses. */
    PIPELINE;

    /** Returns the name in metrics and log lines. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
