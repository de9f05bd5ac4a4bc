package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against callers that wait for an engine or a connection that says nothing. */
class SilentEngineTest {
    private static final HttpLimits SHORT =
            HttpLimits.defaults().withSilence(Duration.ofMillis(300), Duration.ofMillis(200));

    @Test
    void hangBeforeTheFirstTokenIsRetriedElsewhere() {
        try (TestFleet fleet = fleet()) {
            fleet.fault("e1", "{\"hang_ms\":20000}");
            HttpResponse<String> response = fleet.send(fleet.chat("the gate hangs", 10, true));

            assertTrue(response.body().endsWith("data: [DONE]\n\n"));
            assertEquals(List.of("e1:SILENT", "e2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void hangInMidStreamIsContinuedElsewhere() {
        try (TestFleet fleet = fleet()) {
            CompletableFuture<HttpResponse<String>> answer = fleet.sendAsync(fleet.chat("the drive hums", 60, true));
            fleet.awaitTokens("e1", 5);
            fleet.fault("e1", "{\"hang_ms\":20000}");
            String events = answer.join().body();

            assertEquals(fleet.expectedText("the drive hums", 60), TestFleet.streamedText(events));
            assertEquals(1, fleet.counter("http.resumes"));
            assertEquals(List.of("e1:SILENT", "e2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void waitingCallerGetsComments() {
        HttpLimits limits = HttpLimits.defaults().withCommentInterval(Duration.ofMillis(50));
        try (TestFleet fleet = new TestFleet()
                .limits(limits)
                .engine("e1", "--step-base", "400")
                .start()) {
            String events = fleet.send(fleet.chat("slow", 1, true)).body();

            assertTrue(events.startsWith(": waiting\n\n"));
            assertTrue(events.endsWith("data: [DONE]\n\n"));
        }
    }

    private static TestFleet fleet() {
        return new TestFleet()
                .limits(SHORT)
                .engine("e1", "--step-base", "10")
                .engine("e2", "--step-base", "1")
                .start();
    }
}
