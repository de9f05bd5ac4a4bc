package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/** Base class of tests that call a stand-in for a platform service over HTTP. */
abstract class StandinFixture {
    /** Request timeout of the clients under test. */
    static final Duration TIMEOUT = Duration.ofMillis(400);

    final Vertx vertx = Vertx.vertx();
    final WebClient client = WebClient.create(vertx);

    @AfterEach
    void closeVertx() throws Exception {
        await(vertx.close());
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    static <T> T await(Uni<T> uni) throws Exception {
        return await(Futures.toFuture(uni));
    }

    static URI address(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }

    void post(int port, String path, JsonObject body) throws Exception {
        int status =
                await(client.postAbs(address(port) + path).sendJsonObject(body)).statusCode();
        assertTrue(status < 300, "status " + status);
    }
}
