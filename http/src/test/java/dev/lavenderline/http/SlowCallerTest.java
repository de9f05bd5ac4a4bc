package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against lost tokens or a stalled stream when a caller reads more slowly than the engine generates. */
class SlowCallerTest {
    @Test
    void callerThatReadsLateGetsTheFullCompletion() throws IOException, InterruptedException {
        // About 8 MB of events, more than fits into the socket buffers on the path.
        int tokens = 40_000;
        try (TestFleet fleet = new TestFleet()
                .engine("e1", "--step-base", "0.02", "--step-per-sequence", "0")
                .start()) {
            HttpResponse<InputStream> response = fleet.http.send(
                    fleet.chat("a very long diagnosis", tokens, true), HttpResponse.BodyHandlers.ofInputStream());
            Awaitility.await()
                    .until(() -> fleet.newestRequest("e1").path("end").asText().equals("completed"));
            assertEquals(1, fleet.openRequests());
            String events = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);

            assertEquals(tokens, TestFleet.streamedText(events).split(" ").length);
            assertEquals(
                    "data: [DONE]",
                    events.substring(events.lastIndexOf("data:")).strip());
        }
    }
}
