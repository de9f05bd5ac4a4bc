package dev.lavenderline.http;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * A model request to an engine; the response is a stream of tokens.
 *
 * @param requestId id of the attempt, unique within the fleet; the response must carry it
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body JSON body with {@code "stream": true}
 * @param trafficClass traffic class, which selects the connection pool
 * @param firstTokenTimeout longest wait for the first token
 * @param stallTimeout longest wait between tokens
 * @param newConnection whether to use a new connection instead of one from the pool; set when
 *     an earlier attempt may have failed because its pooled connection was silent
 * @param precondition evaluated after the head and before the body is written; if it is false, the upstream gets no
 *     body and the exchange fails with {@link UpstreamFailure.Kind#NOT_WANTED}
 */
public record StreamRequest(
        String requestId,
        String path,
        Buffer body,
        TrafficClass trafficClass,
        Duration firstTokenTimeout,
        Duration stallTimeout,
        boolean newConnection,
        Optional<BooleanSupplier> precondition) {
    /** Creates a request without a precondition. */
    public StreamRequest(
            String requestId,
            String path,
            Buffer body,
            TrafficClass trafficClass,
            Duration firstTokenTimeout,
            Duration stallTimeout,
            boolean newConnection) {
        this(requestId, path, body, trafficClass, firstTokenTimeout, stallTimeout, newConnection, Optional.empty());
    }

    /** Returns a copy that uses a new connection. */
    StreamRequest onNewConnection() {
        return new StreamRequest(
                requestId, path, body, trafficClass, firstTokenTimeout, stallTimeout, true, precondition);
    }
}
