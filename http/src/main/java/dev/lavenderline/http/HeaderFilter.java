package dev.lavenderline.http;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the node sets itself. */
final class HeaderFilter {
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "host",
            "x-request-id",
            "x-request-deadline-ms");

    private HeaderFilter() {}

    /**
     * Returns the headers of a caller's request that are forwarded to a service. The bearer token is not forwarded.
     * Content encodings are not negotiated, because a recorded response may be replayed to a caller that accepts
     * others.
     */
    static MultiMap forService(MultiMap headers) {
        MultiMap forwarded = endToEnd(headers);
        forwarded.remove("authorization");
        forwarded.remove("accept-encoding");
        return forwarded;
    }

    /** Returns the headers of a service's response that are forwarded to the caller. */
    static MultiMap endToEnd(MultiMap headers) {
        Set<String> excluded = new HashSet<>(NOT_FORWARDED);
        String connection = headers.get("connection");
        if (connection != null) {
            for (String name : connection.split(",", -1)) {
                excluded.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        MultiMap forwarded = MultiMap.caseInsensitiveMultiMap();
        headers.forEach((name, value) -> {
            if (!excluded.contains(name.toLowerCase(Locale.ROOT))) {
                forwarded.add(name, value);
            }
        });
        return forwarded;
    }
}
