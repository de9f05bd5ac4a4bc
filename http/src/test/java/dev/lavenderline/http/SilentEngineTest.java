package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against callers that wait indefinitely on an engine or a connection that sends nothing. */
class SilentEngineTest {
    private static final HttpLimits SHORT_TIMEOUTS =
            HttpLimits.defaults().withEngineTimeouts(Duration.ofMillis(300), Duration.ofMillis(200));

    @Test
    void hangBeforeTheFirstTokenIsRetriedOnAnotherEngine() {
        try (TestFleet fleet = twoEngines()) {
            fleet.injectFault("e1", "{\"hang_ms\":20000}");
            HttpResponse<String> response = fleet.send(fleet.chat("the gate hangs", 10, true));

            assertTrue(response.body().endsWith("data: [DONE]\n\n"));
            assertEquals(List.of("e1:SILENT", "e2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void hangMidStreamContinuesOnAnotherEngine() {
        try (TestFleet fleet = twoEngines()) {
            CompletableFuture<HttpResponse<String>> pendingResponse =
                    fleet.sendAsync(fleet.chat("the drive hums", 60, true));
            fleet.awaitTokens("e1", 5);
            fleet.injectFault("e1", "{\"hang_ms\":20000}");
            String events = pendingResponse.join().body();

            assertEquals(fleet.expectedText("the drive hums", 60), TestFleet.streamedText(events));
            assertEquals(1, fleet.counter("http.resumes"));
            assertEquals(List.of("e1:SILENT", "e2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void waitingCallerReceivesComments() {
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

    private static TestFleet twoEngines() {
        return new TestFleet()
                .limits(SHORT_TIMEOUTS)
                .engine("e1", "--step-base", "10")
                .engine("e2", "--step-base", "1")
                .start();
    }
}
