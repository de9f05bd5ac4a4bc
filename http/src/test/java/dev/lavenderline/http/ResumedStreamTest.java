package dev.lavenderline.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against tokens that are lost or repeated when the connection to an engine is lost mid-stream. */
class ResumedStreamTest {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void interruptedStreamYieldsTheFullCompletion(boolean stream) {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            CompletableFuture<HttpResponse<String>> pendingResponse =
                    fleet.sendAsync(fleet.chat("the motor hums", 60, stream));
            fleet.awaitTokens("e1", 5);
            fleet.injectFault("e1", "{\"cut_streams\":true}");
            fleet.awaitTokens("e1", 30);
            fleet.injectFault("e1", "{\"cut_streams\":true}");
            HttpResponse<String> response = pendingResponse.join();

            String text = stream ? TestFleet.streamedText(response.body()) : TestFleet.completionText(response);
            assertEquals(fleet.expectedText("the motor hums", 60), text);
            assertTrue(!stream || response.body().endsWith("data: [DONE]\n\n"));
            assertEquals(2, fleet.counter("http.resumes"));
            assertEquals(1, fleet.history("e1").path("requests").size());
            assertEquals(List.of("e1:finished"), fleet.dispatcher.outcomes);
        }
    }

    /** Guards against a retry, for which the budget may be used up, although the same engine still has the stream. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void streamThatBreaksAgainBeforeTheNextTokenIsResumedAgain(boolean stream) {
        try (TestFleet fleet =
                new TestFleet().engine("e1", "--step-base", "400").start()) {
            CompletableFuture<HttpResponse<String>> pendingResponse =
                    fleet.sendAsync(fleet.chat("the motor hums", 4, stream));
            fleet.awaitTokens("e1", 1);
            for (long resumes = 1; resumes <= 3; resumes++) {
                long expected = resumes;
                fleet.injectFault("e1", "{\"cut_streams\":true}");
                await().pollInterval(Duration.ofMillis(5)).until(() -> fleet.counter("http.resumes") == expected);
            }
            HttpResponse<String> response = pendingResponse.join();

            String text = stream ? TestFleet.streamedText(response.body()) : TestFleet.completionText(response);
            assertEquals(fleet.expectedText("the motor hums", 4), text);
            assertEquals(1, fleet.history("e1").path("requests").size());
            assertEquals(List.of("e1:finished"), fleet.dispatcher.outcomes);
        }
    }
}
