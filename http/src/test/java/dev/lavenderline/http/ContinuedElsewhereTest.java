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

/** Guards against a different or truncated answer when an engine is lost in mid-stream. */
class ContinuedElsewhereTest {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostEngineIsReplacedInMidStream(boolean stream) {
        try (TestFleet fleet = twoEngines()) {
            CompletableFuture<HttpResponse<String>> answer =
                    fleet.sendAsync(fleet.chat("the sensor is blind", 60, stream));
            fleet.awaitTokens("e1", 5);
            fleet.fault("e1", "{\"exit\":true}");
            HttpResponse<String> response = answer.join();

            String text = stream ? TestFleet.streamedText(response.body()) : TestFleet.text(response);
            assertEquals(fleet.expectedText("the sensor is blind", 60), text);
            assertTrue(!stream || response.body().endsWith("data: [DONE]\n\n"));
            assertTrue(fleet.newest("e2").path("first_index").asInt() >= 5);
        }
    }

    @Test
    void textCompletionIsContinuedToo() {
        String body = "{\"model\":\"" + TestFleet.ENGINES + "\",\"max_tokens\":50,\"prompt\":\"fault code 17 \"}";
        try (TestFleet fleet = twoEngines()) {
            HttpRequest request = fleet.request("/v1/completions")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            CompletableFuture<HttpResponse<String>> answer = fleet.sendAsync(request);
            fleet.awaitTokens("e1", 5);
            fleet.fault("e1", "{\"exit\":true}");
            String continued = TestFleet.json(answer.join().body())
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();
            String undisturbed = TestFleet.json(fleet.send(request).body())
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();

            assertEquals(undisturbed, continued);
            assertEquals(50, continued.split(" ").length);
        }
    }

    @Test
    void streamThatCannotBeContinuedEndsWithAnErrorEvent() {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "10").start()) {
            CompletableFuture<HttpResponse<String>> answer = fleet.sendAsync(fleet.chat("hinge", 500, true));
            fleet.awaitTokens("e1", 5);
            fleet.fault("e1", "{\"exit\":true}");
            String events = answer.join().body();

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
