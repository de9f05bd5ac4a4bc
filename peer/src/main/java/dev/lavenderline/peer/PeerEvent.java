package dev.lavenderline.peer;

/** Numbered log events of this module, LL-1200 to LL-1299. */
enum PeerEvent {
    LISTENING(1200),
    CONNECTED(1201),
    DISCONNECTED(1202),
    /** No frame arrived for too long; the connection is replaced. */
    SILENT(1203),
    /** The peer stopped to acknowledge heartbeats; the connection is replaced. */
    UNACKNOWLEDGED(1204),
    /** The other side belongs to another cluster, speaks another version, or did not introduce itself. */
    REFUSED(1205),
    /** A frame was too long or could not be parsed. */
    MALFORMED(1206),
    /** A connection attempt failed; logged once until the next success. */
    UNREACHABLE(1207),
    /** A second connection to the same peer was closed. */
    DUPLICATE(1208),
    /** A listener or the supplier of heartbeats threw an exception. */
    CALLBACK_FAILED(1209),
    STOPPED(1210);

    private final int number;

    PeerEvent(int number) {
        this.number = number;
    }

    @Override
    public String toString() {
        return "LL-" + number;
    }
}
