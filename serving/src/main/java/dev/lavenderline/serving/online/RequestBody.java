package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;

/**
 * The body of a request while it is being received.
 *
 * <p>Invariant: once the body has been dropped, it holds no bytes and takes none. Not thread-safe; confined to the event
 * loop.
 */
final class RequestBody {
    private final int maxBytes;
    private Buffer bytes = Buffer.buffer();
    private boolean dropped;

    RequestBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a part; returns true and drops the body if it has become too large. */
    boolean append(Buffer part) {
        if (dropped) {
            return false;
        }
        if (bytes.length() + part.length() > maxBytes) {
            drop();
            return true;
        }
        bytes.appendBuffer(part);
        return false;
    }

    /** Frees what has been received; further parts are ignored. */
    void drop() {
        dropped = true;
        bytes = Buffer.buffer();
    }

    boolean dropped() {
        return dropped;
    }

    /** Returns what has been received. */
    Buffer bytes() {
        return bytes;
    }
}
