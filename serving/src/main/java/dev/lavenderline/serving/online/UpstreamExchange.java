package dev.lavenderline.serving.online;

import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;

/**
 * One request on one connection and its answer.
 *
 * <p>Invariants: an answer with another request's id is never handed over; the connection is used again only after a
 * complete answer to this request. Not thread-safe; confined to the event loop.
 */
public final class UpstreamExchange {
    private final UpstreamConnections connections;
    private final Upstream upstream;
    private final UpstreamCall call;
    private final WireFormat wire;
    private final AnswerListener listener;

    private HttpClientConnection connection;
    private HttpClientResponse response;
    private Duration reuse = Duration.ZERO;
    private boolean sent;
    private boolean answered;
    private boolean unframed;
    private boolean reset;
    private boolean done;

    UpstreamExchange(
            UpstreamConnections connections,
            Upstream upstream,
            UpstreamCall call,
            WireFormat wire,
            AnswerListener listener) {
        this.connections = connections;
        this.upstream = upstream;
        this.call = call;
        this.wire = wire;
        this.listener = listener;
    }

    void start() {
        connections
                .acquire(upstream)
                .onSuccess(this::connected)
                .onFailure(failure -> fail(SendFailure.NOT_CONNECTED, failure.getMessage()));
    }

    private void connected(HttpClientConnection open) {
        if (done) {
            connections.release(upstream, open, Duration.ofSeconds(2));
            return;
        }
        connection = open;
        connection.exceptionHandler(failure -> reset = true);
        connection.closeHandler(closed -> fail(failureNow(), "connection closed"));
        connection
                .request(new RequestOptions().setMethod(call.method()).setURI(call.uri()))
                .onSuccess(this::write)
                .onFailure(failure -> fail(SendFailure.NOT_CONNECTED, failure.getMessage()));
    }

    private void write(HttpClientRequest request) {
        if (done) {
            return;
        }
        call.headers().forEach((name, value) -> request.headers().add(name, value));
        request.headers()
                .set(HttpHeaders.CONTENT_LENGTH, Integer.toString(call.body().length()));
        request.exceptionHandler(failure -> fail(failureNow(), failure.getMessage()));
        request.response().onSuccess(this::head).onFailure(failure -> fail(failureNow(), failure.getMessage()));
        sent = true;
        request.end(call.body());
    }

    private void head(HttpClientResponse received) {
        if (done) {
            return;
        }
        response = received;
        response.exceptionHandler(failure -> fail(failureNow(), failure.getMessage()));
        AnswerInfo info = wire.answer(response.statusCode(), response.headers());
        reuse = info.reuse();
        boolean sameId = info.requestId().orElse("").equals(call.requestId());
        if (!sameId && (info.requestId().isPresent() || !info.notExecuted())) {
            fail(SendFailure.LOST, "answer to request " + info.requestId().orElse("without id"));
            return;
        }
        if (info.otherInstance() || info.notExecuted()) {
            SendFailure failure = info.otherInstance() ? SendFailure.OTHER_INSTANCE : SendFailure.NOT_EXECUTED;
            drain(failure, "status " + response.statusCode());
            return;
        }
        answered = true;
        MultiMap headers = response.headers();
        unframed = !headers.contains(HttpHeaders.CONTENT_LENGTH) && !headers.contains(HttpHeaders.TRANSFER_ENCODING);
        listener.head(response.statusCode(), headers);
        if (done) {
            return;
        }
        response.handler(piece -> {
            if (!done) {
                listener.data(piece);
            }
        });
        response.endHandler(end -> complete());
    }

    /** Reads the rest of an answer that says that nothing ran, so that the connection can be used again. */
    private void drain(SendFailure failure, String message) {
        HttpClientConnection open = connection;
        response.exceptionHandler(broken -> open.close());
        response.handler(piece -> {});
        Duration idle = reuse;
        response.endHandler(end -> connections.release(upstream, open, idle));
        connection = null;
        open.closeHandler(closed -> {});
        fail(failure, message);
    }

    private void complete() {
        if (done) {
            return;
        }
        if (unframed && reset) {
            fail(SendFailure.CUT, "connection reset within an answer without length");
            return;
        }
        done = true;
        HttpClientConnection open = connection;
        open.closeHandler(closed -> {});
        open.exceptionHandler(failure -> open.close());
        if (unframed) {
            open.close();
        } else {
            connections.release(upstream, open, reuse);
        }
        listener.end();
    }

    private SendFailure failureNow() {
        if (answered) {
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

    /** Ends the exchange without a further callback; an upstream that works on the request is told by the close. */
    public void cancel() {
        if (done) {
            return;
        }
        done = true;
        close();
    }

    private void close() {
        if (connection != null) {
            connection.closeHandler(closed -> {});
            connection.close();
            connection = null;
        }
    }

    /** Returns whether the request may have reached the upstream. */
    public boolean sent() {
        return sent;
    }

    /** Stops reading the answer until {@link #resume}. */
    public void pause() {
        if (response != null && !done) {
            response.pause();
        }
    }

    /** Reads on. */
    public void resume() {
        if (response != null && !done) {
            response.resume();
        }
    }
}
