package dev.lavenderline.log;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * Requests to one platform service. A request that gets no answer in time closes its connection, and later requests use
 * new connections, because the idle ones of the pool may be silent for the same reason.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
final class HttpCalls {
    private static final int POOL_SIZE = 32;
    private static final int KEEP_ALIVE_SECONDS = 10;

    private final Vertx vertx;
    private final String base;
    private final Duration timeout;
    private WebClient client;
    /** Largest timeout of a request so far; a replaced client is closed after it. */
    private long longestMs;

    HttpCalls(Vertx vertx, URI base, Duration timeout) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        if (base.getHost() == null || !"http".equals(base.getScheme())) {
            throw new IllegalArgumentException("base must be an http address, not " + base);
        }
        if (timeout.toMillis() < 1) {
            throw new IllegalArgumentException("timeout must be at least 1 ms, not " + timeout);
        }
        String text = base.toString();
        this.base = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
        this.timeout = timeout;
        this.client = create();
    }

    private WebClient create() {
        WebClientOptions options = new WebClientOptions()
                .setUserAgentEnabled(false)
                .setFollowRedirects(false)
                .setTcpNoDelay(true)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setConnectTimeout((int) Math.min(timeout.toMillis(), Integer.MAX_VALUE));
        return WebClient.create(vertx, options, new PoolOptions().setHttp1MaxSize(POOL_SIZE));
    }

    /** Sends a request; the future fails with the exception of the client if no answer arrives. */
    Future<HttpResponse<Buffer>> send(
            HttpMethod method, String path, Map<String, String> query, Buffer body, Duration extraTime) {
        WebClient used = client;
        long limitMs = timeout.plus(extraTime).toMillis();
        longestMs = Math.max(longestMs, limitMs);
        HttpRequest<Buffer> request = used.requestAbs(method, base + path).timeout(limitMs);
        query.forEach(request::addQueryParam);
        Future<HttpResponse<Buffer>> answer = body == null ? request.send() : request.sendBuffer(body);
        return answer.onFailure(error -> {
            if (!neverSent(error)) {
                replace(used);
            }
        });
    }

    private void replace(WebClient used) {
        if (used != client) {
            return;
        }
        PlatformEvent.CONNECTIONS_REPLACED.info(base);
        client = create();
        // Other requests on the replaced connections may still be answered.
        vertx.setTimer(longestMs + 1, timer -> used.close());
    }

    void close() {
        client.close();
    }

    /** Returns whether the failure shows that no byte of the request was sent. */
    static boolean neverSent(Throwable error) {
        return error instanceof ConnectException || error instanceof UnknownHostException;
    }

    String describe(HttpMethod method, String path, Throwable error) {
        return method + " " + base + path + ": " + error.getMessage();
    }

    String describe(HttpMethod method, String path, HttpResponse<Buffer> response) {
        return method + " " + base + path + ": status " + response.statusCode();
    }
}
