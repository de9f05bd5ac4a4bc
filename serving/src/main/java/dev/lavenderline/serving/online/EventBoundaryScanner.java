package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;

/**
 * Finds the ends of server-sent events in a stream of bytes: the empty line after an event, with LF or CRLF.
 *
 * <p>Not thread-safe.
 */
final class EventBoundaryScanner {
    private boolean lineEmpty;
    private boolean withinEvent;

    /** Scans the next byte and returns whether it ends an event. */
    boolean scan(byte next) {
        if (next == '\r') {
            return false;
        }
        if (next != '\n') {
            lineEmpty = false;
            withinEvent = true;
            return false;
        }
        boolean end = lineEmpty;
        lineEmpty = !end;
        withinEvent &= !end;
        return end;
    }

    /** Scans the next bytes of a stream. */
    void scan(Buffer bytes) {
        for (int i = 0; i < bytes.length(); i++) {
            scan(bytes.getByte(i));
        }
    }

    /** Returns whether the bytes so far end within an event; empty lines alone are none. */
    boolean withinEvent() {
        return withinEvent;
    }
}
