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

/** Guards against a test that waits forever for the rest of an answer, as LeavingUpstreamTest once did. */
class JsonReadsTest {
    private static final Duration LIMIT = Duration.ofMillis(300);
    private static final Duration TOO_LONG = Duration.ofSeconds(10);
    private static final byte[] BODY = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);

    private final AtomicInteger requests = new AtomicInteger();
    private HttpServer server;
    private String url;
    private int stalled;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::answer);
        server.start();
        url = "http://127.0.0.1:" + server.getAddress().getPort() + "/";
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    private void answer(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(200, BODY.length);
        boolean cut = requests.incrementAndGet() <= stalled;
        exchange.getResponseBody().write(BODY, 0, cut ? 3 : BODY.length);
        exchange.getResponseBody().flush();
        if (!cut) {
            exchange.close();
        }
    }

    @Test
    void bodyThatStopsIsReadAgain() {
        stalled = 1;
        assertTimeoutPreemptively(
                TOO_LONG,
                () -> assertEquals(1, JsonReads.get(url, LIMIT).path("a").asInt()));
        assertEquals(2, requests.get());
    }

    @Test
    void bodyThatNeverComesFails() {
        stalled = Integer.MAX_VALUE;
        assertTimeoutPreemptively(
                TOO_LONG, () -> assertThrows(UncheckedIOException.class, () -> JsonReads.get(url, LIMIT)));
    }
}
