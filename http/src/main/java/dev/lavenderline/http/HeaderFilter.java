package dev.lavenderline.http;

import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Removes headers that belong to one connection or that the node sets itself; source: RFC 9110, section 7.6.1. */
final class HeaderFilter {
    private static final Set<String> HOP_BY_HOP = Set.of(
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
     * Returns the headers of a caller's request that a service gets. The bearer token stays at the node. Encodings are
     * not negotiated, because a recorded answer is replayed to callers that may accept others.
     */
    static MultiMap forService(MultiMap headers) {
        MultiMap kept = endToEnd(headers);
        kept.remove("authorization");
        kept.remove("accept-encoding");
        return kept;
    }

    /** Returns the headers of a service's answer that a caller gets. */
    static MultiMap endToEnd(MultiMap headers) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP);
        String connection = headers.get("connection");
        if (connection != null) {
            for (String name : connection.split(",", -1)) {
                removed.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        MultiMap kept = MultiMap.caseInsensitiveMultiMap();
        headers.forEach((name, value) -> {
            if (!removed.contains(name.toLowerCase(Locale.ROOT))) {
                kept.add(name, value);
            }
        });
        return kept;
    }
}
