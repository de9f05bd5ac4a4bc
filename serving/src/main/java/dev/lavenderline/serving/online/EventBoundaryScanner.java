package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Finds the ends of server-sent events in a stream of bytes: the empty line after an event, with LF or CRLF.
 *
 * <p>Not thread-safe.
 */
final class EventBoundaryScanner {
    private boolean lineEmpty;
    private boolean withinEvent;
    private boolean anyEvent;

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
        anyEvent |= end;
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

    /**
     * Returns why a stream that ends here is truncated, or empty if it may be complete.
     *
     * @param closeDelimited whether only the end of the connection ends the stream, which then proves nothing
     * @param continuation whether the stream continues another one, which may have ended with its last event
     */
    Optional<String> truncation(boolean closeDelimited, boolean continuation) {
        if (withinEvent) {
            return Optional.of("stream ended within an event");
        }
        boolean mayBeEmpty = continuation && !closeDelimited;
        return anyEvent || mayBeEmpty ? Optional.empty() : Optional.of("stream ended before the first event");
    }
}
