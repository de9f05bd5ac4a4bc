package dev.lavenderline.serving.online;

import io.vertx.core.http.HttpClientConnection;

/**
 * A connection to an upstream and the number of requests that it has carried.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class UpstreamConnection {
    private final HttpClientConnection http;
    private int requests;

    UpstreamConnection(HttpClientConnection http) {
        this.http = http;
    }

    HttpClientConnection http() {
        return http;
    }

    /** Records that a request is about to be sent. */
    void carries() {
        requests++;
    }

    /** Returns the number of requests that have been sent, the current one included. */
    int requests() {
        return requests;
    }

    void close() {
        http.close();
    }
}
