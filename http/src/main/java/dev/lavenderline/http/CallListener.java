package dev.lavenderline.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Receives the response of a plain service on the event loop. Exactly one of {@code end} and {@code failed} is called,
 * as the last call, unless the exchange is closed earlier; then no further method is called.
 */
public interface CallListener {
    void head(int status, MultiMap headers);

    void data(Buffer chunk);

    /** The response is complete. */
    void end();

    /** The exchange failed before the response was complete. */
    void failed(UpstreamFailure failure);
}
