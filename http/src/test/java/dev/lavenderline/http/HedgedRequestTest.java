package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against mixing the tokens of two attempts, and against a slower attempt that keeps its engine busy. */
class HedgedRequestTest {
    @Test
    void fasterAttemptWinsAndTheOtherIsCancelled() {
        try (TestFleet fleet = new TestFleet()
                .engine("e1", "--step-base", "3000")
                .engine("e2", "--step-base", "1")
                .start()) {
            fleet.dispatcher.hedgeDelay = Optional.of(Duration.ofMillis(50));
            HttpResponse<String> response = fleet.send(fleet.chat("part lookup", 20, true));

            assertEquals(fleet.expectedText("part lookup", 20), TestFleet.streamedText(response.body()));
            assertEquals(List.of("e1:cancelled", "e2:finished"), fleet.dispatcher.outcomes);
            Awaitility.await()
                    .until(() -> fleet.newestRequest("e1").path("end").asText().equals("cancelled"));
            assertEquals(1, fleet.counter("http.hedges"));
        }
    }

    @Test
    void otherAttemptContinuesAfterAFailure() {
        try (TestFleet fleet = new TestFleet()
                .engine("e1", "--step-base", "300")
                .engine("e2", "--step-base", "1")
                .start()) {
            fleet.dispatcher.hedgeDelay = Optional.of(Duration.ofMillis(20));
            fleet.injectFault("e2", "{\"reject\":1}");
            HttpResponse<String> response = fleet.send(fleet.chat("part lookup", 2, false));

            assertEquals(200, response.statusCode());
            assertEquals(List.of("e2:REJECTED", "e1:finished"), fleet.dispatcher.outcomes);
        }
    }
}
