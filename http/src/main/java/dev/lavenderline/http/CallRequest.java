package dev.lavenderline.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/**
 * A call to a plain service.
 *
 * @param requestId id of the attempt, sent as {@code X-Request-Id}
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body request body, may be empty
 * @param newConnection whether to use a new connection instead of one from the pool; set for non-repeatable calls,
 *     because a pooled connection may already be broken when the call is written to it
 * @param headTimeout longest wait for the response head
 * @param stallTimeout longest wait between chunks of the body
 */
public record CallRequest(
        String requestId,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Buffer body,
        boolean newConnection,
        Duration headTimeout,
        Duration stallTimeout) {}
