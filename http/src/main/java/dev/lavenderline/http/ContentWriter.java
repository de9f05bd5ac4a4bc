package dev.lavenderline.http;

import io.smallrye.mutiny.subscription.MultiSubscriber;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.Flow;

/**
 * Writes the pieces of a file to a caller and asks for the next piece only when the connection has room. A file that
 * cannot be read to its end breaks the connection, so that a truncated file never looks complete.
 */
final class ContentWriter implements MultiSubscriber<Buffer> {
    private final HttpServerResponse response;
    private final String requestId;
    private Flow.Subscription subscription;

    ContentWriter(HttpServerResponse response, String requestId) {
        this.response = response;
        this.requestId = requestId;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        response.closeHandler(closed -> subscription.cancel());
        response.exceptionHandler(failure -> subscription.cancel());
        subscription.request(1);
    }

    @Override
    public void onItem(Buffer piece) {
        response.write(piece);
        if (response.writeQueueFull()) {
            response.drainHandler(drained -> subscription.request(1));
        } else {
            subscription.request(1);
        }
    }

    @Override
    public void onFailure(Throwable failure) {
        HttpEvent.HANDLER_FAILED.error(failure, requestId);
        response.reset();
    }

    @Override
    public void onCompletion() {
        if (!response.closed()) {
            response.end();
        }
    }
}
