package dev.lavenderline.http;

import dev.lavenderline.core.routing.Dispatcher;
import io.vertx.core.buffer.Buffer;

/**
 * The cause of a failed exchange with an upstream.
 *
 * @param kind kind of the failure
 * @param maybeSent whether any byte of the request may have been written; if false, the upstream received nothing of it
 * @param status HTTP status of the upstream's response, 0 if there was none, or none that answers the request
 * @param body body of the upstream's error response, empty if there was none
 * @param message explanation for logs and callers
 */
public record UpstreamFailure(Kind kind, boolean maybeSent, int status, Buffer body, String message) {
    /** Kind of a failure. */
    public enum Kind {
        /** No connection was established. */
        CONNECT,
        /** The request's precondition no longer held; its body was not written. */
        NOT_WANTED,
        /** The connection was lost, or the response violated the protocol. */
        BROKEN,
        /** Nothing arrived within the timeout. */
        SILENT,
        /** The upstream cannot serve the request now (5xx, 401, 403, 408, 409, 429). */
        REJECTED,
        /** The upstream rejected the request as invalid (other 4xx); a retry cannot help. */
        REFUSED,
        /** The upstream does not know the stream to resume. */
        UNKNOWN_STREAM,
        /** The response carried the id of another request. */
        CROSSED
    }

    /** Returns the kind of failure to report to the dispatcher. */
    public Dispatcher.Failure forDispatcher() {
        return switch (kind) {
            case CONNECT, NOT_WANTED -> Dispatcher.Failure.CONNECT;
            case SILENT -> Dispatcher.Failure.SILENT;
            case REJECTED, REFUSED -> Dispatcher.Failure.REJECTED;
            case BROKEN, UNKNOWN_STREAM, CROSSED -> Dispatcher.Failure.BROKEN;
        };
    }
}
