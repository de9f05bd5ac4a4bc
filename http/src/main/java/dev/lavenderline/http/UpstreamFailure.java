package dev.lavenderline.http;

import dev.lavenderline.core.routing.Dispatcher;
import io.vertx.core.buffer.Buffer;

/**
 * Why an exchange with an upstream failed.
 *
 * @param kind what happened
 * @param maybeSent whether any byte of the request may have been written; if false, the upstream saw nothing of it
 * @param status HTTP status of the upstream's answer, 0 if there was none
 * @param body body of the upstream's error answer, empty if there was none
 * @param message explanation for logs and callers
 */
public record UpstreamFailure(Kind kind, boolean maybeSent, int status, Buffer body, String message) {
    /** What happened. */
    public enum Kind {
        /** No connection was established. */
        CONNECT,
        /** The connection broke, or the answer violated the protocol. */
        BROKEN,
        /** Nothing arrived for longer than the limit. */
        SILENT,
        /** The upstream answered that it cannot serve the request now (5xx, 408, 429, 401, 403). */
        REJECTED,
        /** The upstream answered that the request is invalid (other 4xx); a retry cannot help. */
        REFUSED,
        /** The upstream does not know the stream that was to be resumed. */
        UNKNOWN_STREAM,
        /** The answer carried the id of another request. */
        CROSSED
    }

    /** Returns the failure as the dispatcher records it. */
    public Dispatcher.Failure forDispatcher() {
        return switch (kind) {
            case CONNECT -> Dispatcher.Failure.CONNECT;
            case SILENT -> Dispatcher.Failure.SILENT;
            case REJECTED, REFUSED -> Dispatcher.Failure.REJECTED;
            case BROKEN, UNKNOWN_STREAM, CROSSED -> Dispatcher.Failure.BROKEN;
        };
    }
}
