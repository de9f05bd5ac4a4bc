package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.routing.Refusal;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against {@code not_run} for a request that an upstream received, and other errors for one not received. */
class NotRunTest {
    @Test
    void refusedConnectionsAreNotRun() {
        try (TestFleet fleet =
                new TestFleet().unreachableEngine("e1").unreachableEngine("e2").start()) {
            HttpResponse<String> response = fleet.send(fleet.chat("hello", 5, true));

            assertNotRun(response);
            assertEquals(java.util.List.of("e1:CONNECT", "e2:CONNECT"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void refusalOfTheDispatcherIsNotRun() {
        try (TestFleet fleet = new TestFleet().engine("e1").start()) {
            fleet.dispatcher.refusal =
                    Optional.of(new Refusal(Refusal.Reason.RATE_LIMITED, Duration.ofMillis(1500), "over the rate"));
            HttpResponse<String> response = fleet.send(fleet.chat("hello", 5, false));

            assertNotRun(response);
            assertEquals("2", response.headers().firstValue("Retry-After").orElseThrow());
            assertEquals(0, fleet.history("e1").path("requests").size());
        }
    }

    @Test
    void rejectionByAnEngineIsNotReportedAsNotRun() {
        try (TestFleet fleet =
                new TestFleet().engine("e1").unreachableEngine("e2").start()) {
            fleet.injectFault("e1", "{\"reject\":1}");
            HttpResponse<String> response = fleet.send(fleet.chat("hello", 5, true));

            assertEquals(502, response.statusCode());
            assertEquals("outcome_unknown", TestFleet.errorCode(response));
        }
    }

    @Test
    void deadlineAfterTheRequestWasSentIsNotReportedAsNotRun() {
        try (TestFleet fleet =
                new TestFleet().engine("e1", "--step-base", "5000").start()) {
            HttpResponse<String> response = fleet.send(fleet.request("/v1/chat/completions")
                    .header("X-Request-Deadline-Ms", "200")
                    .POST(java.net.http.HttpRequest.BodyPublishers.ofString("{\"model\":\"" + TestFleet.DEPLOYMENT
                            + "\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}"))
                    .build());

            assertEquals(504, response.statusCode());
            assertEquals("deadline_exceeded", TestFleet.errorCode(response));
            assertEquals(java.util.List.of("e1:cancelled"), fleet.dispatcher.outcomes);
        }
    }

    private static void assertNotRun(HttpResponse<String> response) {
        assertEquals(503, response.statusCode());
        assertEquals("not_run", TestFleet.errorCode(response));
        assertEquals(true, response.headers().firstValue("Retry-After").isPresent());
    }
}
