package dev.lavenderline.core.response;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;

/** What the head of an HTTP/1.1 response says about the end of its body (RFC 9112, section 6). Thread-safe. */
public final class ResponseFraming {
    private static final int NO_CONTENT = 204;

    /** Lowest status that is no success. */
    private static final int MIN_REDIRECTION_STATUS = 300;

    private ResponseFraming() {}

    /** Returns whether the body has neither a length nor chunks, so that the end of the connection ends it. */
    public static boolean closeDelimited(MultiMap headers) {
        return !headers.contains(HttpHeaders.CONTENT_LENGTH) && !headers.contains(HttpHeaders.TRANSFER_ENCODING);
    }

    /**
     * Returns whether a response without a single byte of a body is truncated: a success that only the end of its
     * connection ends. Its sender may have stopped before it wrote the length; one without a body would state that.
     */
    public static boolean emptyBodyIsTruncated(HttpMethod method, int status, MultiMap headers) {
        return closeDelimited(headers)
                && status < MIN_REDIRECTION_STATUS
                && status != NO_CONTENT
                && !method.equals(HttpMethod.HEAD);
    }
}
