package dev.lavenderline.serving.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Receives an upstream's answer: a head, pieces of the body and an end, or a failure at any point. Called on the event
 * loop; nothing is called after the end, a failure or {@link UpstreamExchange#cancel}.
 */
public interface AnswerListener {
    void head(int status, MultiMap headers);

    void data(Buffer piece);

    void end();

    void failed(SendFailure failure, String message);
}
