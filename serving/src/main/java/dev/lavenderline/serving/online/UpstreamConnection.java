package dev.lavenderline.serving.online;

import io.vertx.core.http.HttpClientConnection;
import java.util.HashSet;
import java.util.Set;

/**
 * A connection to an upstream and the requests that it has carried. A response names its request but not the sending,
 * as a request that is sent again keeps its id; so the id proves the sending only on a connection that carries it once.
 *
 * <p>Invariants: no id is carried twice; a connection that carries a request without id carries no other request. Not
 * thread-safe; confined to the event loop.
 */
final class UpstreamConnection {
    /** Number of requests after which a connection is closed; bounds the memory for their ids. */
    static final int MAX_REQUESTS = 256;

    private final HttpClientConnection http;
    private final Set<String> ids = new HashSet<>();

    UpstreamConnection(HttpClientConnection http) {
        this.http = http;
    }

    HttpClientConnection http() {
        return http;
    }

    /** Records that a request with an id, or an empty one, is about to be sent. */
    void carries(String id) {
        if (!ids.add(id)) {
            throw new IllegalStateException("connection has carried request " + id);
        }
    }

    /** Returns whether a request with an id has been sent on this connection. */
    boolean carried(String id) {
        return ids.contains(id);
    }

    /** Returns whether further requests may be sent. */
    boolean reusable() {
        return ids.size() < MAX_REQUESTS && !carried("");
    }

    /** Returns the number of requests that have been sent, the current one included. */
    int requests() {
        return ids.size();
    }

    void close() {
        http.close();
    }
}
