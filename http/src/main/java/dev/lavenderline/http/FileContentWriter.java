package dev.lavenderline.http;

import io.smallrye.mutiny.subscription.MultiSubscriber;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.Flow;

/**
 * Streams a file to a caller and requests the next chunk only when the write queue of the connection has room. A file
 * that cannot be read to its end resets the connection, so that a truncated file never looks complete.
 */
final class FileContentWriter implements MultiSubscriber<Buffer> {
    private final HttpServerResponse response;
    private final String requestId;
    private Flow.Subscription subscription;

    FileContentWriter(HttpServerResponse response, String requestId) {
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
    public void onItem(Buffer chunk) {
        response.write(chunk);
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
