package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against a drain that interrupts open requests, and against one that never completes. */
class DrainTest {
    @Test
    void openRequestsFinishAndNewConnectionsAreRefused() throws Exception {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                responses.add(fleet.sendAsync(fleet.chat("request " + i, 60, i % 2 == 0)));
            }
            Awaitility.await().until(() -> fleet.openRequests() == 6);
            fleet.awaitTokens("e1", 2);
            Future<Void> drained = fleet.drain(Duration.ofSeconds(30));
            Awaitility.await()
                    .untilAsserted(() -> assertThrows(
                            UncheckedIOException.class, () -> fleet.send(fleet.chat("too late", 1, false))));
            assertFalse(drained.isComplete());

            for (int i = 0; i < responses.size(); i++) {
                HttpResponse<String> response = responses.get(i).join();
                assertEquals(200, response.statusCode());
                assertTrue(i % 2 == 1 || response.body().endsWith("data: [DONE]\n\n"));
            }
            drained.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
            assertEquals(0, fleet.openRequests());
        }
    }

    @Test
    void requestsStillOpenAfterTheTimeoutAreAborted() throws Exception {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            CompletableFuture<HttpResponse<String>> response = fleet.sendAsync(fleet.chat("endless", 100_000, true));
            fleet.awaitTokens("e1", 2);
            Future<Void> drained = fleet.drain(Duration.ofMillis(200));

            drained.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
            assertThrows(Exception.class, () -> response.get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void callersAreAskedToCloseTheirConnections() {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "1").start()) {
            fleet.announceDrain();
            HttpResponse<String> response = fleet.send(fleet.chat("still served", 2, false));

            assertEquals(200, response.statusCode());
            assertEquals("close", response.headers().firstValue("Connection").orElse(""));
        }
    }
}
