package dev.lavenderline.serving.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * A request to an upstream. Immutable by convention: the headers and the body are not changed once it has been sent.
 *
 * @param requestId id that the response must carry
 * @param method HTTP method
 * @param uri path and query, unchanged from the caller's request
 * @param headers all headers except Content-Length
 * @param body complete body, may be empty
 */
public record UpstreamRequest(String requestId, HttpMethod method, String uri, MultiMap headers, Buffer body) {}
