package dev.lavenderline.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Receives the answer of a plain service on the event loop. Exactly one of {@code end} and {@code failed} is called, as
 * the last call, unless the exchange is closed before; then nothing more is called.
 */
public interface CallListener {
    void head(int status, MultiMap headers);

    void data(Buffer piece);

    /** The answer is complete. */
    void end();

    /** The answer is not complete. */
    void failed(UpstreamFailure failure);
}
