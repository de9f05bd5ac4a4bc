package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against engines that keep generating after the caller has disconnected. */
class CallerDisconnectTest {
    @Test
    void closedStreamCancelsTheEngineRequest() throws IOException, InterruptedException {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            HttpResponse<InputStream> response = fleet.http.send(
                    fleet.chat("a long diagnosis", 100_000, true), HttpResponse.BodyHandlers.ofInputStream());
            response.body().read();
            response.body().close();

            awaitCancelled(fleet);
        }
    }

    @Test
    void closedConnectionWithoutStreamCancelsTheEngineRequest() {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            CompletableFuture<HttpResponse<String>> pendingResponse =
                    fleet.sendAsync(fleet.chat("a long diagnosis", 100_000, false));
            fleet.awaitTokens("e1", 3);
            pendingResponse.cancel(true);

            awaitCancelled(fleet);
        }
    }

    private static void awaitCancelled(TestFleet fleet) {
        Awaitility.await()
                .until(() -> fleet.newestRequest("e1").path("end").asText().equals("cancelled"));
        Awaitility.await().until(() -> fleet.openRequests() == 0);
        assertEquals(List.of("e1:cancelled"), fleet.dispatcher.outcomes);
        assertEquals(0, fleet.dispatcher.openTickets);
    }
}
