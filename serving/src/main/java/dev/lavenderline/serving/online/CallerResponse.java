package dev.lavenderline.serving.online;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;

/**
 * Response to one request of a caller: sent at once, or as a stream that is either completed or aborted by closing the
 * connection.
 *
 * <p>Invariant: an incomplete response never looks complete. Not thread-safe; confined to the event loop.
 */
final class CallerResponse {
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final WireFormat wire;
    private boolean ended;
    private Runnable onWritten = () -> {};

    CallerResponse(HttpServerRequest request, WireFormat wire) {
        this.request = request;
        this.response = request.response();
        this.wire = wire;
        this.response.exceptionHandler(failure -> {});
    }

    /** Returns whether the status and headers have been written. */
    boolean started() {
        return response.headWritten();
    }

    boolean ended() {
        return ended || response.ended() || response.closed();
    }

    /** Sets the task to run once the response has been written to the connection, or the connection is closed. */
    void onWritten(Runnable task) {
        onWritten = task;
    }

    private void written(Future<Void> completion) {
        completion.onComplete(result -> onWritten.run());
    }

    /** Asks the caller to close the connection after this response. */
    void closeConnectionAfterwards() {
        if (!response.headWritten() && !ended()) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }

    /** Sets a header of a response of this node. */
    void putHeader(CharSequence name, CharSequence value) {
        if (!ended()) {
            response.putHeader(name, value);
        }
    }

    /** Sends a complete response of an upstream. */
    void send(int status, MultiMap headers, Buffer body) {
        if (ended()) {
            return;
        }
        ended = true;
        response.setStatusCode(status);
        wire.callerHeaders(headers).forEach((name, value) -> response.headers().add(name, value));
        response.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()));
        written(response.end(body));
    }

    /** Starts to stream a response of an upstream. */
    void startStream(int status, MultiMap headers) {
        if (ended()) {
            return;
        }
        response.setStatusCode(status);
        wire.callerHeaders(headers).forEach((name, value) -> response.headers().add(name, value));
        response.setChunked(true);
    }

    /** Sends a chunk of a stream. */
    void write(Buffer chunk) {
        if (!ended()) {
            response.write(chunk);
        }
    }

    /** Returns whether the write queue is full because the caller reads more slowly than the upstream sends. */
    boolean writeQueueFull() {
        return !ended() && response.writeQueueFull();
    }

    /** Sets the task to run when the write queue has room again. */
    void onDrain(Runnable task) {
        response.drainHandler(drained -> task.run());
    }

    /** Completes a stream. */
    void end() {
        if (!ended()) {
            ended = true;
            written(response.end());
        }
    }

    /**
     * Closes the connection, so that the caller sees the response as incomplete. A complete response is left alone, as
     * its connection may carry the next one.
     */
    void abort() {
        if (ended()) {
            return;
        }
        ended = true;
        request.connection().close();
    }

    /** Sends a plain-text response of this node. */
    void sendText(int status, String message) {
        sendText(status, message, Duration.ZERO);
    }

    /** Sends a plain-text response of this node, with the delay after which to retry unless it is zero. */
    void sendText(int status, String message, Duration retryAfter) {
        if (ended()) {
            return;
        }
        if (response.headWritten()) {
            abort();
            return;
        }
        ended = true;
        response.setStatusCode(status);
        if (!retryAfter.isZero()) {
            wire.setRetryAfter(response.headers(), retryAfter);
        }
        response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
        written(response.end(message + "\n"));
    }

    /** Sends a body that a caller has submitted. */
    void sendBytes(Buffer body) {
        if (ended()) {
            return;
        }
        ended = true;
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream");
        written(response.end(body));
    }

    /** Sends a JSON response of this node. */
    void sendJson(Buffer body) {
        if (ended()) {
            return;
        }
        ended = true;
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        written(response.end(body));
    }
}
