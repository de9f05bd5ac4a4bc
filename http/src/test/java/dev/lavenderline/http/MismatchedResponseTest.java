package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against sending a caller the response to another request. */
class MismatchedResponseTest {
    @Test
    void responseWithAnotherIdIsRetriedOnAnotherEngine() {
        try (TestFleet fleet = new TestFleet()
                .engine("e1", "--step-base", "1")
                .engine("e2", "--step-base", "1")
                .start()) {
            fleet.injectFault("e1", "{\"cross_answers\":1}");
            HttpResponse<String> response = fleet.send(fleet.chat("whose answer", 5, false));

            assertEquals(200, response.statusCode());
            assertEquals("req-1", TestFleet.json(response.body()).path("id").asText());
            assertEquals(List.of("e1:BROKEN", "e2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void responseWithAnotherIdIsNotSentToTheCaller() {
        try (TestFleet fleet = new TestFleet().engine("e1", "--step-base", "1").start()) {
            fleet.injectFault("e1", "{\"cross_answers\":1}");
            HttpResponse<String> response = fleet.send(fleet.chat("whose answer", 5, true));

            assertEquals(502, response.statusCode());
            assertEquals("outcome_unknown", TestFleet.errorCode(response));
        }
    }
}
