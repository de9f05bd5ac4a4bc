package dev.lavenderline.serving.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * A request as it is sent to an upstream. Immutable by convention: the headers and the body are not changed after the
 * call starts.
 *
 * @param requestId id that the answer has to bear
 * @param method method
 * @param uri path and query, unchanged from the caller
 * @param headers all headers but the length of the body
 * @param body whole body, may be empty
 */
public record UpstreamCall(String requestId, HttpMethod method, String uri, MultiMap headers, Buffer body) {}
