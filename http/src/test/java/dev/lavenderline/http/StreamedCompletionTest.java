package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Guards against completions that lose, repeat or reorder tokens without any fault, and against wrong end markers. */
class StreamedCompletionTest {
    @Test
    void streamedTextEqualsTheTextWithoutStreaming() {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "1").start()) {
            HttpResponse<String> notStreamed = fleet.send(fleet.chat("the gate does not close", 40, false));
            HttpResponse<String> streamed = fleet.send(fleet.chat("the gate does not close", 40, true));

            assertEquals(200, notStreamed.statusCode());
            assertEquals(40, TestFleet.completionText(notStreamed).split(" ").length);
            assertEquals(TestFleet.completionText(notStreamed), TestFleet.streamedText(streamed.body()));
            assertTrue(streamed.body().endsWith("data: [DONE]\n\n"));
            assertEquals(
                    40,
                    TestFleet.json(notStreamed.body())
                            .path("usage")
                            .path("completion_tokens")
                            .asInt());
            assertEquals(0, fleet.dispatcher.openTickets);
            assertEquals(java.util.List.of("e1:finished", "e1:finished"), fleet.dispatcher.outcomes);
        }
    }
}
