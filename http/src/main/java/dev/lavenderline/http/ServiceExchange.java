package dev.lavenderline.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;

/** Reads the answer of a plain service. */
final class ServiceExchange extends UpstreamExchange {
    private final CallListener listener;

    ServiceExchange(
            Vertx vertx,
            HttpClientAgent client,
            RequestOptions options,
            Buffer body,
            Duration first,
            Duration stall,
            CallListener listener) {
        super(vertx, client, options, body, first, stall);
        this.listener = listener;
    }

    @Override
    void head(HttpClientResponse head) {
        progress();
        listener.head(head.statusCode(), head.headers());
    }

    @Override
    void data(Buffer piece) {
        progress();
        listener.data(piece);
    }

    @Override
    void bodyEnd() {
        finish();
        listener.end();
    }

    @Override
    void deliver(UpstreamFailure failure) {
        listener.failed(failure);
    }
}
