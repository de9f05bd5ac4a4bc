package dev.lavenderline.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against waiting forever for the rest of a response body, as LeavingUpstreamTest did when a body stalled. */
class JsonFetcherTest {
    private static final Duration READ_TIMEOUT = Duration.ofMillis(300);
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);
    private static final byte[] BODY = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);

    private final AtomicInteger requests = new AtomicInteger();
    private HttpServer server;
    private String url;
    private int stalledResponses;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::respond);
        server.start();
        url = "http://127.0.0.1:" + server.getAddress().getPort() + "/";
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    private void respond(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(200, BODY.length);
        boolean stalls = requests.incrementAndGet() <= stalledResponses;
        exchange.getResponseBody().write(BODY, 0, stalls ? 3 : BODY.length);
        exchange.getResponseBody().flush();
        if (!stalls) {
            exchange.close();
        }
    }

    @Test
    void retriesAStalledBody() {
        stalledResponses = 1;
        assertTimeoutPreemptively(
                TEST_TIMEOUT,
                () -> assertEquals(
                        1, JsonFetcher.get(url, READ_TIMEOUT).path("a").asInt()));
        assertEquals(2, requests.get());
    }

    @Test
    void failsIfEveryBodyStalls() {
        stalledResponses = Integer.MAX_VALUE;
        assertTimeoutPreemptively(
                TEST_TIMEOUT, () -> assertThrows(UncheckedIOException.class, () -> JsonFetcher.get(url, READ_TIMEOUT)));
    }
}
