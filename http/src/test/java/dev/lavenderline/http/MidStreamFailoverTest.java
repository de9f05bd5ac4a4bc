package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a changed or truncated completion when an engine crashes mid-stream. */
class MidStreamFailoverTest {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void streamContinuesOnAnotherEngine(boolean stream) {
        try (TestFleet fleet = twoEngines()) {
            CompletableFuture<HttpResponse<String>> pendingResponse =
                    fleet.sendAsync(fleet.chat("the sensor is blind", 60, stream));
            fleet.awaitTokens("e1", 5);
            fleet.injectFault("e1", "{\"exit\":true}");
            HttpResponse<String> response = pendingResponse.join();

            String text = stream ? TestFleet.streamedText(response.body()) : TestFleet.completionText(response);
            assertEquals(fleet.expectedText("the sensor is blind", 60), text);
            assertTrue(!stream || response.body().endsWith("data: [DONE]\n\n"));
            assertTrue(fleet.newestRequest("e2").path("first_index").asInt() >= 5);
        }
    }

    @Test
    void textCompletionContinuesOnAnotherEngine() {
        String body = "{\"model\":\"" + TestFleet.DEPLOYMENT + "\",\"max_tokens\":50,\"prompt\":\"fault code 17 \"}";
        try (TestFleet fleet = twoEngines()) {
            HttpRequest request = fleet.request("/v1/completions")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            CompletableFuture<HttpResponse<String>> pendingResponse = fleet.sendAsync(request);
            fleet.awaitTokens("e1", 5);
            fleet.injectFault("e1", "{\"exit\":true}");
            String continued = TestFleet.json(pendingResponse.join().body())
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();
            String uninterrupted = TestFleet.json(fleet.send(request).body())
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();

            assertEquals(uninterrupted, continued);
            assertEquals(50, continued.split(" ").length);
        }
    }

    @Test
    void streamThatCannotBeContinuedEndsWithAnErrorEvent() {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            CompletableFuture<HttpResponse<String>> pendingResponse = fleet.sendAsync(fleet.chat("hinge", 500, true));
            fleet.awaitTokens("e1", 5);
            fleet.injectFault("e1", "{\"exit\":true}");
            String events = pendingResponse.join().body();

            assertFalse(events.contains("[DONE]"));
            assertFalse(events.contains("\"finish_reason\":\"length\""));
            String last = events.substring(events.lastIndexOf("data: ") + 6);
            assertEquals(
                    "outcome_unknown",
                    TestFleet.json(last).path("error").path("code").asText());
            assertEquals(0, fleet.dispatcher.openTickets);
        }
    }

    private static TestFleet twoEngines() {
        return new TestFleet()
                .engine("e1", "--step-base", "10")
                .engine("e2", "--step-base", "1")
                .start();
    }
}
