package dev.lavenderline.peer;

/** Log events of this module, with the codes LL-1200 to LL-1299. */
enum PeerEvent {
    LISTENING(1200),
    CONNECTED(1201),
    DISCONNECTED(1202),
    /** No frame arrived within the receive timeout; the connection is replaced. */
    SILENT(1203),
    /** The peer stopped acknowledging heartbeats; the connection is replaced. */
    UNACKNOWLEDGED(1204),
    /** The peer has another cluster or protocol version, this node's name, or did not send exactly one valid Hello. */
    REFUSED(1205),
    /** A frame was too long or could not be parsed. */
    MALFORMED(1206),
    /** A connection attempt failed; logged once until an attempt succeeds. */
    UNREACHABLE(1207),
    /** One of two connections to the same peer was closed. */
    DUPLICATE(1208),
    /** A listener or the supplier of heartbeats threw an exception. */
    CALLBACK_FAILED(1209),
    STOPPED(1210);

    private final int code;

    PeerEvent(int code) {
        this.code = code;
    }

    @Override
    public String toString() {
        return "LL-" + code;
    }
}
