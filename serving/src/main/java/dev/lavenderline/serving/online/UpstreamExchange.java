package dev.lavenderline.serving.online;

import dev.lavenderline.core.response.EmbeddedResponseDetector;
import dev.lavenderline.core.response.ResponseFraming;
import dev.lavenderline.core.response.ResponseIntegrity;
import dev.lavenderline.core.response.ResponseIntegrity.Defect;
import dev.lavenderline.core.response.ResponseIntegrity.Kind;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One request and its response on one connection to an upstream.
 *
 * <p>Invariants: a response belongs to the request only if it has the request's id, whatever else it says; a response
 * that does not proves nothing, so the request may have run; nor does one whose head or trailers hold parts of another
 * one, or a success whose head lacks fields. A response ends where another one begins. The end of the connection alone
 * completes no success without a body. The connection is reused only after a complete response to this request. Not
 * thread-safe; confined to the event loop.
 */
public final class UpstreamExchange {
    /** Size of the body of a rejection, in bytes, above which reusing its connection is not worth reading it. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    /**
     * Lowest status of a final response. The HTTP client takes interim responses but for 100 and 103 for final ones;
     * a caller that got one would wait for another response.
     */
    private static final int MIN_FINAL_STATUS = 200;

    /** Number of interim responses (RFC 9110, section 15.2) before the final one; a few are usual at most. */
    static final int MAX_INTERIM_RESPONSES = 64;

    /** Time in which the rest of a head follows whose start ends a body; usually it comes with the same bytes. */
    private static final Duration REST_OF_HEAD_TIMEOUT = Duration.ofMillis(30);

    private final UpstreamConnections connections;
    private final Upstream upstream;
    private final UpstreamRequest request;
    private final WireFormat wire;
    private final ResponseListener listener;
    private final ResponseIntegrity integrity;

    private final EmbeddedResponseDetector detector = new EmbeddedResponseDetector(this::isSecondResponse);

    private UpstreamConnection connection;
    private HttpClientResponse response;
    private Duration keepAlive = Duration.ZERO;
    private int connectionRequests;
    private int discardedBytes;
    private int interimResponses;
    private boolean sent;
    private long sentNanos;
    private boolean responseStarted;
    private boolean emptyBodyIsTruncated;
    private boolean bodyStarted;
    private boolean closeDelimited;
    private boolean connectionReset;
    private boolean connectionClosed;
    private boolean paused;
    private boolean done;

    UpstreamExchange(
            UpstreamConnections connections,
            Upstream upstream,
            UpstreamRequest request,
            WireFormat wire,
            ResponseListener listener) {
        this.connections = connections;
        this.upstream = upstream;
        this.request = request;
        this.wire = wire;
        this.listener = listener;
        this.integrity = wire.responseIntegrity();
    }

    void start() {
        connections
                .acquire(upstream, request.requestId())
                .onSuccess(this::connected)
                .onFailure(failure -> fail(SendFailure.NOT_CONNECTED, failure.getMessage()));
    }

    private void connected(UpstreamConnection open) {
        if (done) {
            connections.release(upstream, open, Duration.ofSeconds(2));
            return;
        }
        connection = open;
        connection.carries(request.requestId());
        connectionRequests = connection.requests();
        connection.http().exceptionHandler(failure -> connectionReset = true);
        connection.http().closeHandler(closed -> connectionClosed());
        connection
                .http()
                .request(new RequestOptions().setMethod(request.method()).setURI(request.uri()))
                .onSuccess(this::write)
                .onFailure(failure -> fail(SendFailure.NOT_CONNECTED, failure.getMessage()));
    }

    /**
     * Fails the exchange unless reading is paused: then the rest of the response, and its end, may be queued. A
     * response that has not been received completely is reported to its exception handler even so.
     */
    private void connectionClosed() {
        connectionClosed = true;
        if (!paused) {
            fail(currentFailure(), "connection closed");
        }
    }

    private void write(HttpClientRequest httpRequest) {
        if (done) {
            return;
        }
        connections.prepare(httpRequest.connection());
        try {
            writeRequest(httpRequest);
        } catch (IllegalArgumentException e) {
            // The method, path or a header has characters that HTTP does not allow.
            fail(currentFailure(), e.getMessage());
        }
    }

    private void writeRequest(HttpClientRequest httpRequest) {
        request.headers().forEach((name, value) -> httpRequest.headers().add(name, value));
        httpRequest
                .headers()
                .set(HttpHeaders.CONTENT_LENGTH, Integer.toString(request.body().length()));
        httpRequest.exceptionHandler(failure -> fail(currentFailure(), failure.getMessage()));
        httpRequest.continueHandler(interim -> interimResponse());
        httpRequest.earlyHintsHandler(interim -> interimResponse());
        httpRequest
                .response()
                .onSuccess(this::receive)
                .onFailure(failure -> fail(currentFailure(), failure.getMessage()));
        sent = true;
        sentNanos = connections.nanos();
        httpRequest.end(request.body());
    }

    /** Fails the exchange if the upstream writes interim responses without end, at the speed of the connection. */
    private void interimResponse() {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            fail(currentFailure(), "more than " + MAX_INTERIM_RESPONSES + " interim responses");
        }
    }

    private void receive(HttpClientResponse received) {
        if (done) {
            return;
        }
        response = received;
        response.exceptionHandler(failure -> fail(currentFailure(), failure.getMessage()));
        if (response.statusCode() < MIN_FINAL_STATUS) {
            fail(SendFailure.LOST, "interim response with status " + response.statusCode());
            return;
        }
        Optional<Defect> defect = integrity.headDefect(response.statusMessage(), response.headers());
        if (defect.isPresent()) {
            failJoined(SendFailure.LOST, defect.get());
            return;
        }
        ResponseInfo info = wire.parseResponse(response.statusCode(), response.headers());
        keepAlive = info.keepAlive();
        if (!info.requestId().orElse("").equals(request.requestId())) {
            connections.rejected(upstream, request, response.statusCode(), info, connectionRequests);
            fail(
                    SendFailure.LOST,
                    info.requestId().map(id -> "response to request " + id).orElse("response without request id"));
            return;
        }
        if (!info.complete()) {
            // An HTTP library may end the head in order where the program behind it stopped.
            fail(SendFailure.LOST, "head with status " + response.statusCode() + " lacks fields");
            return;
        }
        if (!info.misdirected()) {
            connections.received(upstream, info, sentNanos);
        }
        if (info.misdirected() || info.notExecuted()) {
            SendFailure failure = info.misdirected() ? SendFailure.OTHER_INSTANCE : SendFailure.NOT_EXECUTED;
            discardResponse(failure, "status " + response.statusCode());
            return;
        }
        responseStarted = true;
        MultiMap headers = response.headers();
        closeDelimited = ResponseFraming.closeDelimited(headers);
        emptyBodyIsTruncated = ResponseFraming.emptyBodyIsTruncated(request.method(), response.statusCode(), headers);
        listener.headers(response.statusCode(), headers);
        if (done) {
            return;
        }
        response.handler(this::receiveBody);
        response.endHandler(end -> complete());
    }

    private void failJoined(SendFailure failure, Defect defect) {
        connections.joined(upstream, request, response.statusCode(), defect, connectionRequests);
        fail(failure, defect.toString());
    }

    private void receiveBody(Buffer chunk) {
        if (done) {
            return;
        }
        bodyStarted = true;
        Buffer body = detector.feed(chunk);
        if (body.length() > 0) {
            listener.chunk(body);
        }
        if (detector.found()) {
            fail(SendFailure.CUT, "second response within the body");
        }
    }

    /**
     * Returns whether a head within the body of a response is that of another one: it bears an upstream's signature or
     * the id of a request that the connection has carried, rejects a request that it does not name, or is itself joined
     * from two.
     */
    private boolean isSecondResponse(int status, String reasonPhrase, MultiMap headers) {
        Optional<Defect> defect = integrity.headDefect(reasonPhrase, headers);
        if (defect.isPresent()) {
            connections.joined(upstream, request, status, defect.get(), connectionRequests);
            return true;
        }
        ResponseInfo info = wire.parseResponse(status, headers);
        boolean second =
                info.signed() || info.requestId().map(connection::carried).orElse(info.notExecuted());
        if (second) {
            connections.rejected(upstream, request, status, info, connectionRequests);
        }
        return second;
    }

    /**
     * Reads and drops the body of a response that reports that the request did not run, to reuse the connection. Closes
     * the connection if the body is long or does not end.
     */
    private void discardResponse(SendFailure failure, String message) {
        UpstreamConnection open = connection;
        Duration idle = keepAlive;
        connections.closeUnlessReleased(open);
        response.exceptionHandler(broken -> open.close());
        response.handler(chunk -> {
            discardedBytes += chunk.length();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                open.close();
            }
        });
        HttpClientResponse rejection = response;
        response.endHandler(end -> {
            if (integrity.trailerDefect(rejection.trailers()).isPresent()) {
                open.close();
            } else {
                connections.release(upstream, open, idle);
            }
        });
        connection = null;
        open.http().closeHandler(closed -> connections.closed(open));
        fail(failure, message);
    }

    private void complete() {
        if (done) {
            return;
        }
        if (emptyBodyIsTruncated && !bodyStarted) {
            fail(SendFailure.CUT, "connection closed right behind a head without length");
            return;
        }
        Optional<Defect> defect = integrity.trailerDefect(response.trailers());
        if (defect.isPresent()) {
            failJoined(SendFailure.CUT, defect.get());
            return;
        }
        if (detector.remainder().length() == 0) {
            end();
            return;
        }
        if (connectionReset || detector.endsWithinSecondResponse()) {
            failWithinHead();
            return;
        }
        if (closeDelimited || connectionClosed) {
            listener.chunk(detector.remainder());
            end();
            return;
        }
        awaitRestOfHead();
    }

    /**
     * Ends the response unless bytes follow its body, which ends with what may be the start of a head: then the body
     * stopped short, and the head of the next response has filled it up.
     */
    private void awaitRestOfHead() {
        AtomicBoolean decided = new AtomicBoolean();
        Runnable complete = () -> {
            if (!done && decided.compareAndSet(false, true)) {
                listener.chunk(detector.remainder());
                end();
            }
        };
        connection.http().exceptionHandler(failure -> {
            connectionReset = true;
            failWithinHead();
        });
        connection.http().closeHandler(closed -> {
            connectionClosed = true;
            complete.run();
        });
        connections.runAfter(REST_OF_HEAD_TIMEOUT, complete);
    }

    private void failWithinHead() {
        if (!done) {
            failJoined(SendFailure.CUT, new Defect(Kind.HEAD_IN_BODY, ""));
        }
    }

    private void end() {
        if (done) {
            return;
        }
        done = true;
        UpstreamConnection open = connection;
        open.http().closeHandler(closed -> {});
        open.http().exceptionHandler(failure -> open.close());
        if (closeDelimited || connectionClosed) {
            open.close();
        } else {
            connections.release(upstream, open, keepAlive);
        }
        listener.end();
    }

    private SendFailure currentFailure() {
        if (responseStarted) {
            return SendFailure.CUT;
        }
        return sent ? SendFailure.LOST : SendFailure.NOT_CONNECTED;
    }

    private void fail(SendFailure failure, String message) {
        if (done) {
            return;
        }
        done = true;
        close();
        listener.failed(failure, message);
    }

    /** Ends the exchange without further callbacks; closes the connection, so that the upstream stops the request. */
    public void cancel() {
        if (done) {
            return;
        }
        done = true;
        close();
    }

    private void close() {
        if (connection != null) {
            connection.http().closeHandler(closed -> {});
            connection.close();
            connection = null;
        }
    }

    /** Returns whether the request may have reached the upstream. */
    public boolean sent() {
        return sent;
    }

    /** Returns whether the response has neither a length nor chunks, so that the end of the connection ends it. */
    public boolean closeDelimited() {
        return closeDelimited;
    }

    /** Returns how many requests the connection has carried, this one included; 0 if it was never opened. */
    public int connectionRequests() {
        return connectionRequests;
    }

    /** Stops reading the response until {@link #resume}. */
    public void pause() {
        if (response != null && !done) {
            paused = true;
            response.pause();
        }
    }

    /** Continues to read the response after {@link #pause}. */
    public void resume() {
        if (response != null && !done) {
            paused = false;
            response.resume();
        }
    }
}
