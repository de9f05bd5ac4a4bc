package dev.lavenderline.http;

import dev.lavenderline.core.response.EmbeddedResponseDetector;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;

/**
 * Reads the response of a plain service. Not thread-safe; confined to the event loop.
 *
 * <p>Invariants: a body ends where another response begins. Engines' streams need no such check, as they are complete
 * only at their end marker.
 */
final class ServiceExchange extends UpstreamExchange {
    private final CallListener listener;
    private final EmbeddedResponseDetector detector = new EmbeddedResponseDetector(this::isSecondResponse);

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
        Buffer own = detector.feed(chunk);
        if (own.length() > 0) {
            listener.data(own);
        }
        if (detector.found()) {
            fail(UpstreamFailure.Kind.BROKEN, "another response within the body");
        }
    }

    @Override
    void onBodyEnd() {
        if (detector.remainder().length() == 0) {
            finish();
            listener.end();
            return;
        }
        if (detector.endsWithinSecondResponse()) {
            fail(UpstreamFailure.Kind.BROKEN, "another response fills up the body");
            return;
        }
        completeUnlessBytesFollow(() -> {
            listener.data(detector.remainder());
            if (!done()) {
                finish();
                listener.end();
            }
        });
    }

    @Override
    void notifyFailed(UpstreamFailure failure) {
        listener.failed(failure);
    }
}
