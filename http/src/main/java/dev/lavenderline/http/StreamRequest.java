package dev.lavenderline.http;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/**
 * A model request to an engine; the answer arrives as a stream of tokens.
 *
 * @param requestId id of the attempt, unique within the fleet; the answer must carry it
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body JSON body with {@code "stream": true}
 * @param trafficClass class of traffic
 * @param firstToken longest time until the first token
 * @param stall longest time between tokens
 * @param newConnection whether to use a new connection instead of one from the pool; set after a silent attempt
 */
public record StreamRequest(
        String requestId,
        String path,
        Buffer body,
        TrafficClass trafficClass,
        Duration firstToken,
        Duration stall,
        boolean newConnection) {
    /** Returns the same request for a new connection. */
    StreamRequest onNewConnection() {
        return new StreamRequest(requestId, path, body, trafficClass, firstToken, stall, true);
    }
}
