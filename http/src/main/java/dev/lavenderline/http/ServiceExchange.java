package dev.lavenderline.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;

/** Reads the response of a plain service. */
final class ServiceExchange extends UpstreamExchange {
    private final CallListener listener;

    ServiceExchange(
            Vertx vertx,
            HttpClientAgent client,
            UsedConnections usedConnections,
            String requestId,
            RequestOptions options,
            Buffer body,
            Duration firstTimeout,
            Duration stallTimeout,
            CallListener listener) {
        super(vertx, client, usedConnections, requestId, options, body, firstTimeout, stallTimeout, Optional.empty());
        this.listener = listener;
    }

    @Override
    void onHead(HttpClientResponse head) {
        recordProgress();
        listener.head(head.statusCode(), head.headers());
    }

    @Override
    void onData(Buffer chunk) {
        recordProgress();
        listener.data(chunk);
    }

    @Override
    void onBodyEnd() {
        finish();
        listener.end();
    }

    @Override
    void notifyFailed(UpstreamFailure failure) {
        listener.failed(failure);
    }
}
