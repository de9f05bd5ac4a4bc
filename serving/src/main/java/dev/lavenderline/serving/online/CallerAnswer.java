package dev.lavenderline.serving.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;

/**
 * Answers one request of a caller: once whole, or as a stream that either ends complete or closes the connection.
 *
 * <p>Invariant: an answer that did not end complete never looks complete. Not thread-safe; confined to the event loop.
 */
final class CallerAnswer {
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final WireFormat wire;
    private boolean ended;

    CallerAnswer(HttpServerRequest request, WireFormat wire) {
        this.request = request;
        this.response = request.response();
        this.wire = wire;
        this.response.exceptionHandler(failure -> {});
    }

    /** Returns whether the head has been written. */
    boolean started() {
        return response.headWritten();
    }

    boolean ended() {
        return ended || response.ended() || response.closed();
    }

    /** Asks the caller not to use the connection again. */
    void closeAfter() {
        if (!response.headWritten() && !ended()) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
    }

    /** Sends a whole answer of an upstream. */
    void whole(int status, MultiMap headers, Buffer body) {
        if (ended()) {
            return;
        }
        ended = true;
        response.setStatusCode(status);
        wire.callerHeaders(headers).forEach((name, value) -> response.headers().add(name, value));
        response.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()));
        response.end(body);
    }

    /** Starts to stream an answer of an upstream. */
    void stream(int status, MultiMap headers) {
        if (ended()) {
            return;
        }
        response.setStatusCode(status);
        wire.callerHeaders(headers).forEach((name, value) -> response.headers().add(name, value));
        response.setChunked(true);
    }

    /** Sends a piece of a stream. */
    void write(Buffer piece) {
        if (!ended()) {
            response.write(piece);
        }
    }

    /** Returns whether the caller reads more slowly than the upstream sends. */
    boolean congested() {
        return !ended() && response.writeQueueFull();
    }

    void onDrain(Runnable task) {
        response.drainHandler(drained -> task.run());
    }

    /** Ends a complete stream. */
    void end() {
        if (!ended()) {
            ended = true;
            response.end();
        }
    }

    /** Closes the connection within an answer. */
    void cut() {
        ended = true;
        request.connection().close();
    }

    /** Sends an answer of this node. */
    void own(int status, String message) {
        own(status, message, Duration.ZERO);
    }

    /** Sends an answer of this node with the time to come back. */
    void own(int status, String message, Duration retryAfter) {
        if (ended()) {
            return;
        }
        if (response.headWritten()) {
            cut();
            return;
        }
        ended = true;
        response.setStatusCode(status);
        if (!retryAfter.isZero()) {
            wire.retryAfter(response.headers(), retryAfter);
        }
        response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
        response.end(message + "\n");
    }

    /** Sends bytes that a caller has submitted. */
    void bytes(Buffer body) {
        if (ended()) {
            return;
        }
        ended = true;
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream");
        response.end(body);
    }

    /** Sends JSON of this node. */
    void json(Buffer body) {
        if (ended()) {
            return;
        }
        ended = true;
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        response.end(body);
    }
}
