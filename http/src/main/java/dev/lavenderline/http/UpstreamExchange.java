package dev.lavenderline.http;

import dev.lavenderline.core.response.ResponseFraming;
import dev.lavenderline.core.response.ResponseIntegrity;
import dev.lavenderline.core.response.ResponseIntegrity.Defect;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * One HTTP exchange with an upstream: opens the connection, enforces the timeouts for a silent upstream, and reports
 * at most one outcome. Not thread-safe; confined to the event loop.
 *
 * <p>Invariants: a response is reported only if it carries the id of the request, which is sent once on a connection,
 * or if no other request was sent on its connection; a connection is reused only after responses with the ids of their
 * requests. Anything else may be a late copy of the response to an earlier request. A response whose head or trailers
 * hold parts of another one is not reported.
 */
abstract class UpstreamExchange {
    static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final ResponseIntegrity INTEGRITY = new ResponseIntegrity(List.of(REQUEST_ID_HEADER));

    private static final int MAX_ERROR_BODY_BYTES = 64 * 1024;
    private static final long NANOS_PER_MS = 1_000_000;

    /** Longest time for which a response may go on whose connection is not reused; above every deadline. */
    private static final Duration MAX_RESPONSE_TIME = Duration.ofDays(2);

    /** Longest time between the last event of a response and the end of its body. */
    private static final Duration END_TIMEOUT = Duration.ofSeconds(1);

    /** Time in which the rest of a head follows whose start ends a body; usually it comes with the same bytes. */
    private static final Duration REST_OF_HEAD_TIMEOUT = Duration.ofMillis(30);

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final UsedConnections usedConnections;
    private final String requestId;
    private final RequestOptions options;
    private final Buffer body;
    private final long firstTimeoutNanos;
    private final long stallTimeoutNanos;
    private final Optional<BooleanSupplier> precondition;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean firstOnConnection;
    private boolean bodyWritten;
    private boolean bodyStarted;
    private long timer = -1;
    private long progressNanos;
    private boolean progressed;
    private boolean paused;
    private boolean maybeSent;
    private boolean done;

    UpstreamExchange(
            Vertx vertx,
            HttpClientAgent client,
            UsedConnections usedConnections,
            String requestId,
            RequestOptions options,
            Buffer body,
            Duration firstTimeout,
            Duration stallTimeout,
            Optional<BooleanSupplier> precondition) {
        this.vertx = vertx;
        this.client = client;
        this.usedConnections = usedConnections;
        this.requestId = requestId;
        this.options = options;
        this.body = body;
        this.firstTimeoutNanos = firstTimeout.toNanos();
        this.stallTimeoutNanos = stallTimeout.toNanos();
        this.precondition = precondition;
    }

    /** Called when the response head arrives; the body follows through {@link #onData}. */
    abstract void onHead(HttpClientResponse head);

    abstract void onData(Buffer chunk);

    /** Called when the response body ends. */
    abstract void onBodyEnd();

    /** Reports the failure to the listener. */
    abstract void notifyFailed(UpstreamFailure failure);

    void start() {
        progressNanos = System.nanoTime();
        startTimer(firstTimeoutNanos);
        client.request(options).onComplete(this::onConnected, this::onConnectFailed);
    }

    private void onConnected(HttpClientRequest newRequest) {
        if (done) {
            newRequest.reset();
            return;
        }
        request = newRequest;
        firstOnConnection = usedConnections.firstUse(request.connection());
        // A byte of the request may be written from here on.
        maybeSent = true;
        request.exceptionHandler(cause -> fail(UpstreamFailure.Kind.BROKEN, describe(cause)));
        request.response().onComplete(this::onResponse, cause -> fail(UpstreamFailure.Kind.BROKEN, describe(cause)));
        if (precondition.isEmpty()) {
            writeBody();
            return;
        }
        // An upstream runs nothing before the body, so the condition is checked as late as possible.
        request.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()));
        request.sendHead().onSuccess(sent -> sendBodyIfStillWanted(precondition.get()));
    }

    private void sendBodyIfStillWanted(BooleanSupplier condition) {
        if (done) {
            return;
        }
        if (condition.getAsBoolean()) {
            writeBody();
        } else {
            fail(UpstreamFailure.Kind.NOT_WANTED, "the request is no longer wanted");
        }
    }

    private void writeBody() {
        bodyWritten = true;
        request.end(body);
    }

    private void onConnectFailed(Throwable cause) {
        fail(UpstreamFailure.Kind.CONNECT, describe(cause));
    }

    private void onResponse(HttpClientResponse newResponse) {
        if (done) {
            return;
        }
        Optional<Defect> defect = INTEGRITY.headDefect(newResponse.statusMessage(), newResponse.headers());
        if (defect.isPresent()) {
            fail(UpstreamFailure.Kind.BROKEN, defect.get().toString());
            return;
        }
        boolean namesRequest = requestId.equals(newResponse.getHeader(REQUEST_ID_HEADER));
        if (!namesRequest && !firstOnConnection) {
            fail(UpstreamFailure.Kind.BROKEN, "a response on a reused connection does not name the request");
            return;
        }
        if (!namesRequest) {
            request.connection().shutdown(MAX_RESPONSE_TIME.toSeconds(), TimeUnit.SECONDS);
        }
        response = newResponse;
        response.exceptionHandler(cause -> fail(UpstreamFailure.Kind.BROKEN, describe(cause)));
        response.handler(chunk -> {
            if (!done) {
                bodyStarted = true;
                onData(chunk);
            }
        });
        response.endHandler(end -> {
            if (!done && !failedByTrailers() && !failedByMissingBody()) {
                onBodyEnd();
            }
        });
        onHead(response);
    }

    /** Fails the exchange if the upstream may have stopped before it wrote the body; returns whether it does. */
    private boolean failedByMissingBody() {
        boolean missing = !bodyStarted
                && ResponseFraming.emptyBodyIsTruncated(options.getMethod(), response.statusCode(), response.headers());
        if (missing) {
            fail(UpstreamFailure.Kind.BROKEN, "connection closed right behind a head without length");
        }
        return missing;
    }

    /** Fails the exchange if the trailers hold parts of another response; returns whether they do. */
    private boolean failedByTrailers() {
        Optional<Defect> defect = INTEGRITY.trailerDefect(response.trailers());
        defect.ifPresent(found -> fail(UpstreamFailure.Kind.BROKEN, found.toString()));
        return defect.isPresent();
    }

    /** Returns whether a head within the body is another response's: it names this request or is itself joined. */
    boolean isSecondResponse(int status, String reasonPhrase, MultiMap headers) {
        return requestId.equals(headers.get(REQUEST_ID_HEADER))
                || INTEGRITY.headDefect(reasonPhrase, headers).isPresent();
    }

    /**
     * Runs an action unless bytes follow the body, which ends with what may be the start of a head: then the body
     * stopped short, the head of the next response has filled it up, and the exchange fails.
     */
    void completeUnlessBytesFollow(Runnable action) {
        request.connection()
                .exceptionHandler(cause -> fail(UpstreamFailure.Kind.BROKEN, "another response fills up the body"));
        vertx.setTimer(REST_OF_HEAD_TIMEOUT.toMillis(), silent -> {
            if (!done) {
                action.run();
            }
        });
    }

    /** Fails with the body of an error response once it has been read. */
    void failWithBody(UpstreamFailure.Kind kind, int status) {
        Buffer collected = Buffer.buffer();
        response.handler(chunk -> {
            if (collected.length() + chunk.length() <= MAX_ERROR_BODY_BYTES) {
                collected.appendBuffer(chunk);
            }
        });
        response.endHandler(end -> {
            if (done || failedByTrailers()) {
                return;
            }
            finish();
            notifyFailed(new UpstreamFailure(
                    kind, maybeSent, status, collected, "the upstream answered with status " + status));
        });
    }

    /** Records that the upstream made progress; the stall timeout restarts. */
    void recordProgress() {
        progressNanos = System.nanoTime();
        if (!progressed) {
            progressed = true;
            vertx.cancelTimer(timer);
            startTimer(stallTimeoutNanos);
        }
    }

    private void startTimer(long timeoutNanos) {
        long wait = progressNanos + timeoutNanos - System.nanoTime();
        timer = vertx.setTimer(Math.max(1, wait / NANOS_PER_MS + 1), fired -> checkProgress());
    }

    private void checkProgress() {
        if (done) {
            return;
        }
        if (paused) {
            progressNanos = System.nanoTime();
        }
        long timeout = progressed ? stallTimeoutNanos : firstTimeoutNanos;
        if (System.nanoTime() - progressNanos < timeout) {
            startTimer(timeout);
            return;
        }
        fail(
                maybeSent ? UpstreamFailure.Kind.SILENT : UpstreamFailure.Kind.CONNECT,
                "nothing arrived for " + timeout / NANOS_PER_MS + " ms");
    }

    /** Ends the exchange with a failure and closes its connection. Does nothing if the exchange has ended. */
    void fail(UpstreamFailure.Kind kind, String message) {
        if (done) {
            return;
        }
        close();
        boolean answered = response != null && kind != UpstreamFailure.Kind.CROSSED;
        notifyFailed(
                new UpstreamFailure(kind, maybeSent, answered ? response.statusCode() : 0, Buffer.buffer(), message));
    }

    /** Ends the exchange; its connection may be reused unless the request is incomplete. */
    void finish() {
        done = true;
        vertx.cancelTimer(timer);
        if (request != null && !bodyWritten) {
            request.reset();
        }
    }

    /**
     * Ends the exchange before the end of the response, which is read on so that its connection may be reused. The
     * connection is closed if the end does not follow soon.
     */
    void finishBeforeEnd() {
        finish();
        long endTimer = vertx.setTimer(END_TIMEOUT.toMillis(), fired -> request.reset());
        response.endHandler(end -> vertx.cancelTimer(endTimer));
        if (paused) {
            response.resume();
        }
    }

    /** Ends the exchange without a further callback and closes its connection. Idempotent. */
    public void close() {
        if (done) {
            return;
        }
        finish();
        if (request != null && bodyWritten) {
            request.reset();
        }
    }

    /** Returns whether any byte of the request may have been written. */
    public boolean maybeSent() {
        return maybeSent;
    }

    /** Stops reading the body; the stall timeout does not run meanwhile. */
    public void pause() {
        if (!done && response != null) {
            paused = true;
            response.pause();
        }
    }

    /** Resumes reading the body. */
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
