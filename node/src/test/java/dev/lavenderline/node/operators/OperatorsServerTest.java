package dev.lavenderline.node.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.overload.HoldingAccount;
import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OperatorsServerTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against upgrades to HTTP/2 that the JDK's client asks for and that break off large responses. */
    @Test
    void clientThatAsksForAnUpgradeStaysWithHttp1() throws Exception {
        OperatorsServer server = new OperatorsServer(
                vertx,
                HoldingAccount.unbounded(Ticker.system()),
                new MetricRegistry(),
                () -> Map.of("a", 1),
                () -> true,
                () -> {});
        server.start("127.0.0.1", 0).toCompletionStage().toCompletableFuture().join();
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + "/state"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals(HttpClient.Version.HTTP_1_1, response.version());
        assertEquals(200, response.statusCode());
    }
}
