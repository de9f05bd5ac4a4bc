package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;

/**
 * The body of a request while it is being received.
 *
 * <p>Invariant: at most {@link #BEGIN_BYTES} are held of a body that is not needed, and none once it has been dropped.
 * Not thread-safe; confined to the event loop.
 */
final class RequestBody {
    /** Bytes that are enough to tell the submission of a job from other requests. */
    static final int BEGIN_BYTES = 1024;

    private final int maxBytes;
    private Buffer bytes = Buffer.buffer();
    private boolean needed = true;
    private boolean dropped;

    RequestBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a part; returns true if the body has become too large, and is not needed from then on. */
    boolean append(Buffer part) {
        if (dropped) {
            return false;
        }
        if (!needed) {
            int missing = Math.min(part.length(), BEGIN_BYTES - bytes.length());
            bytes.appendBuffer(part, 0, Math.max(0, missing));
            return false;
        }
        if (bytes.length() + part.length() > maxBytes) {
            keepBegin();
            return true;
        }
        bytes.appendBuffer(part);
        return false;
    }

    /** Keeps no more than the begin of the body, which is not needed as a whole. */
    void keepBegin() {
        needed = false;
        bytes = bytes.getBuffer(0, Math.min(bytes.length(), BEGIN_BYTES));
    }

    /** Frees what has been received; further parts are ignored. */
    void drop() {
        needed = false;
        dropped = true;
        bytes = Buffer.buffer();
    }

    /** Returns whether all of the body is kept. */
    boolean needed() {
        return needed;
    }

    /** Returns what is held of the body. */
    Buffer bytes() {
        return bytes;
    }
}
