package dev.lavenderline.serving.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Receives an upstream's response: status and headers, chunks of the body and the end, or a failure at any point.
 * Called on the event loop; no method is called after the end, a failure or {@link UpstreamExchange#cancel}.
 */
public interface ResponseListener {
    void headers(int status, MultiMap headers);

    void chunk(Buffer chunk);

    void end();

    void failed(SendFailure failure, String message);
}
