package dev.lavenderline.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/**
 * A call to a plain service.
 *
 * @param requestId id of the attempt
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body body, may be empty
 * @param newConnection whether to use a new connection instead of one from the pool; set for non-repeatable calls,
 *     because a pooled connection may already be broken when the call is written to it
 * @param head longest time until the response head
 * @param stall longest time between pieces of the body
 */
public record CallRequest(
        String requestId,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Buffer body,
        boolean newConnection,
        Duration head,
        Duration stall) {}
