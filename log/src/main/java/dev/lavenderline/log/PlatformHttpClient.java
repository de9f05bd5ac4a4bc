package dev.lavenderline.log;

import dev.lavenderline.core.response.ResponseCodec;
import dev.lavenderline.core.response.ResponseIntegrity;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * HTTP client for one platform service. A request that gets no response closes its connection, and later requests
 * use a new pool, because the idle connections of the old one may be unresponsive for the same reason.
 *
 * <p>Not thread-safe; confined to one event loop.
 */
final class PlatformHttpClient {
    private static final ResponseIntegrity INTEGRITY = new ResponseIntegrity(List.of());
    private static final int POOL_SIZE = 32;
    private static final int KEEP_ALIVE_SECONDS = 10;

    private final Vertx vertx;
    private final String baseUrl;
    private final Duration timeout;
    private WebClient client;
    /** Longest timeout of any request so far; a replaced client is closed after it. */
    private long longestTimeoutMs;

    PlatformHttpClient(Vertx vertx, URI base, Duration timeout) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        if (base.getHost() == null || !"http".equals(base.getScheme())) {
            throw new IllegalArgumentException("base must be an http URL, not " + base);
        }
        if (timeout.toMillis() < 1) {
            throw new IllegalArgumentException("timeout must be at least 1 ms, not " + timeout);
        }
        String url = base.toString();
        this.baseUrl = url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
        this.timeout = timeout;
        this.client = createClient();
    }

    private WebClient createClient() {
        WebClientOptions options = new WebClientOptions()
                .setUserAgentEnabled(false)
                .setFollowRedirects(false)
                .setTcpNoDelay(true)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setConnectTimeout((int) Math.min(timeout.toMillis(), Integer.MAX_VALUE));
        return WebClient.wrap(
                ResponseCodec.client(vertx, options, new PoolOptions().setHttp1MaxSize(POOL_SIZE)), options);
    }

    /**
     * Sends a request; the future fails if no response arrives.
     *
     * @param extraTime added to the request timeout, for a long poll
     */
    Future<HttpResponse<Buffer>> send(
            HttpMethod method, String path, Map<String, String> query, Buffer body, Duration extraTime) {
        WebClient sender = client;
        long timeoutMs = timeout.plus(extraTime).toMillis();
        longestTimeoutMs = Math.max(longestTimeoutMs, timeoutMs);
        HttpRequest<Buffer> request = sender.requestAbs(method, baseUrl + path).timeout(timeoutMs);
        query.forEach(request::addQueryParam);
        Future<HttpResponse<Buffer>> response = body == null ? request.send() : request.sendBuffer(body);
        return response.compose(PlatformHttpClient::requireOneResponse).onFailure(error -> {
            if (!neverSent(error)) {
                replaceClient(sender);
            }
        });
    }

    /** Fails if a response holds parts of another one: it proves nothing about the request, which may have run. */
    private static Future<HttpResponse<Buffer>> requireOneResponse(HttpResponse<Buffer> response) {
        return INTEGRITY
                .headDefect(response.statusMessage(), response.headers())
                .or(() -> INTEGRITY.trailerDefect(response.trailers()))
                .map(defect -> Future.<HttpResponse<Buffer>>failedFuture(new IOException(defect.toString())))
                .orElseGet(() -> Future.succeededFuture(response));
    }

    private void replaceClient(WebClient sender) {
        if (sender != client) {
            return;
        }
        PlatformEvent.CONNECTIONS_REPLACED.info(baseUrl);
        client = createClient();
        // Other requests on the replaced connections may still get a response.
        vertx.setTimer(longestTimeoutMs + 1, timer -> sender.close());
    }

    void close() {
        client.close();
    }

    /** Returns whether the failure proves that no byte of the request was sent. */
    static boolean neverSent(Throwable error) {
        return error instanceof ConnectException || error instanceof UnknownHostException;
    }

    String describe(HttpMethod method, String path, Throwable error) {
        return method + " " + baseUrl + path + ": " + error.getMessage();
    }

    String describe(HttpMethod method, String path, HttpResponse<Buffer> response) {
        return method + " " + baseUrl + path + ": status " + response.statusCode();
    }
}
