package dev.lavenderline.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;

/**
 * One HTTP exchange with an upstream: connection, limits on silence, and a single outcome. Not thread-safe; confined
 * to the event loop.
 */
abstract class UpstreamExchange {
    private static final int MAX_ERROR_BODY_BYTES = 64 * 1024;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final RequestOptions options;
    private final Buffer body;
    private final long firstNanos;
    private final long stallNanos;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private long timer = -1;
    private long progressNanos;
    private boolean progressed;
    private boolean paused;
    private boolean sent;
    private boolean done;

    UpstreamExchange(
            Vertx vertx, HttpClientAgent client, RequestOptions options, Buffer body, Duration first, Duration stall) {
        this.vertx = vertx;
        this.client = client;
        this.options = options;
        this.body = body;
        this.firstNanos = first.toNanos();
        this.stallNanos = stall.toNanos();
    }

    /** The response head arrived; the body follows through {@link #data}. */
    abstract void head(HttpClientResponse head);

    abstract void data(Buffer piece);

    /** The response body ended. */
    abstract void bodyEnd();

    abstract void deliver(UpstreamFailure failure);

    void start() {
        progressNanos = System.nanoTime();
        arm(firstNanos);
        client.request(options).onComplete(this::connected, this::connectFailed);
    }

    private void connected(HttpClientRequest newRequest) {
        if (done) {
            newRequest.reset();
            return;
        }
        request = newRequest;
        // From here on a byte may have been written.
        sent = true;
        request.exceptionHandler(cause -> fail(UpstreamFailure.Kind.BROKEN, describe(cause)));
        request.response().onComplete(this::responded, cause -> fail(UpstreamFailure.Kind.BROKEN, describe(cause)));
        request.end(body);
    }

    private void connectFailed(Throwable cause) {
        fail(UpstreamFailure.Kind.CONNECT, describe(cause));
    }

    private void responded(HttpClientResponse newResponse) {
        if (done) {
            return;
        }
        response = newResponse;
        response.exceptionHandler(cause -> fail(UpstreamFailure.Kind.BROKEN, describe(cause)));
        response.handler(piece -> {
            if (!done) {
                data(piece);
            }
        });
        response.endHandler(end -> {
            if (!done) {
                bodyEnd();
            }
        });
        head(response);
    }

    /** Reads the body of an error answer and then fails with it. */
    void failWithBody(UpstreamFailure.Kind kind, int status) {
        Buffer collected = Buffer.buffer();
        response.handler(piece -> {
            if (collected.length() + piece.length() <= MAX_ERROR_BODY_BYTES) {
                collected.appendBuffer(piece);
            }
        });
        response.endHandler(end -> {
            if (done) {
                return;
            }
            finish();
            deliver(new UpstreamFailure(kind, sent, status, collected, "the upstream answered with status " + status));
        });
    }

    /** Records that the upstream made progress; the stall limit counts from now. */
    void progress() {
        progressNanos = System.nanoTime();
        if (!progressed) {
            progressed = true;
            vertx.cancelTimer(timer);
            arm(stallNanos);
        }
    }

    private void arm(long limitNanos) {
        long wait = progressNanos + limitNanos - System.nanoTime();
        timer = vertx.setTimer(Math.max(1, wait / NANOS_PER_MS + 1), fired -> checkProgress());
    }

    private void checkProgress() {
        if (done) {
            return;
        }
        if (paused) {
            progressNanos = System.nanoTime();
        }
        long limit = progressed ? stallNanos : firstNanos;
        if (System.nanoTime() - progressNanos < limit) {
            arm(limit);
            return;
        }
        fail(
                sent ? UpstreamFailure.Kind.SILENT : UpstreamFailure.Kind.CONNECT,
                "nothing arrived for " + limit / NANOS_PER_MS + " ms");
    }

    /** Ends the exchange with a failure; the connection is closed, unless the outcome is known already. */
    void fail(UpstreamFailure.Kind kind, String message) {
        if (done) {
            return;
        }
        close();
        deliver(new UpstreamFailure(
                kind, sent, response == null ? 0 : response.statusCode(), Buffer.buffer(), message));
    }

    /** Ends the exchange; its connection may be used again. */
    void finish() {
        done = true;
        vertx.cancelTimer(timer);
    }

    /** Ends the exchange without a further callback and closes its connection. Idempotent. */
    public void close() {
        if (done) {
            return;
        }
        finish();
        if (request != null) {
            request.reset();
        }
    }

    /** Returns whether any byte of the request may have been written. */
    public boolean maybeSent() {
        return sent;
    }

    /** Stops reading the body; silence is not counted meanwhile. */
    public void pause() {
        if (!done && response != null) {
            paused = true;
            response.pause();
        }
    }

    /** Continues to read the body. */
    public void resume() {
        if (!done && response != null && paused) {
            paused = false;
            progressNanos = System.nanoTime();
            response.resume();
        }
    }

    boolean done() {
        return done;
    }

    private static String describe(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }
}
