package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against a non-repeatable call that runs twice, and against a wrong report of whether it ran. */
class NonRepeatableRouteTest {
    @Test
    void connectionLostAfterWriteIsOutcomeUnknownAndExecutedOnce() {
        try (TestFleet fleet = twoServices()) {
            fleet.injectFault("s1", "{\"drop_answers\":1}");
            HttpResponse<String> response = fleet.send(lockoutRequest(fleet, null, "gate 7"));

            assertEquals(502, response.statusCode());
            assertEquals("outcome_unknown", TestFleet.errorCode(response));
            assertEquals(1, executions(fleet));
        }
    }

    @Test
    void noResponseBeforeTheDeadlineIsOutcomeUnknown() {
        try (TestFleet fleet = new TestFleet()
                .timeout(Duration.ofMillis(200))
                .service("s1")
                .service("s2")
                .start()) {
            fleet.injectFault("s1", "{\"hang_ms\":5000}");
            HttpResponse<String> response = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));

            assertEquals("outcome_unknown", TestFleet.errorCode(response));
            assertEquals(1, executions(fleet));
            assertEquals(List.of("k1:unknown"), fleet.keyedCalls.outcomes);
        }
    }

    @Test
    void refusedConnectionIsRetriedOnAnotherService() {
        try (TestFleet fleet =
                new TestFleet().unreachableService("s1").service("s2").start()) {
            HttpResponse<String> response = fleet.send(lockoutRequest(fleet, null, "gate 7"));

            assertEquals(200, response.statusCode());
            assertEquals(1, fleet.history("s2").path("runs").size());
        }
    }

    @Test
    void keyCanBeReusedIfEveryConnectionIsRefused() {
        try (TestFleet fleet = new TestFleet().unreachableService("s1").start()) {
            HttpResponse<String> response = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));

            assertEquals("not_run", TestFleet.errorCode(response));
            assertEquals(List.of("k1:not_run"), fleet.keyedCalls.outcomes);
        }
    }

    @Test
    void repeatedKeyReplaysTheResponse() {
        try (TestFleet fleet = twoServices()) {
            HttpResponse<String> first = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            HttpResponse<String> second = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            HttpResponse<String> other = fleet.send(lockoutRequest(fleet, "k1", "gate 8"));

            assertEquals(200, second.statusCode());
            assertEquals(first.body(), second.body());
            assertEquals(422, other.statusCode());
            assertEquals("key_reused", TestFleet.errorCode(other));
            assertEquals(1, executions(fleet));
        }
    }

    /** Guards against a call that is denied, or run once more, because its route has been removed since. */
    @Test
    void repeatedKeyReplaysTheResponseOfARemovedRoute() {
        try (TestFleet fleet = twoServices()) {
            HttpResponse<String> first = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            fleet.removeRoutes("/lookup/lockout");
            HttpResponse<String> onOtherRoute = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            assertEquals(200, onOtherRoute.statusCode());
            assertEquals(first.body(), onOtherRoute.body());
            fleet.removeRoutes("/lookup");
            HttpResponse<String> withoutRoute = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            assertEquals(200, withoutRoute.statusCode());
            assertEquals(first.body(), withoutRoute.body());
            assertEquals(1, executions(fleet));
            assertEquals(404, fleet.send(lockoutRequest(fleet, "k1", "gate 8")).statusCode());
            assertEquals(404, fleet.send(lockoutRequest(fleet, "k2", "gate 7")).statusCode());
            assertEquals(404, fleet.send(lockoutRequest(fleet, null, "gate 7")).statusCode());
            fleet.keyedCalls.logUnavailable = true;
            assertEquals("not_run", TestFleet.errorCode(fleet.send(lockoutRequest(fleet, "k2", "gate 7"))));
        }
    }

    @Test
    void outcomeStaysUnknownAfterALostResponse() {
        try (TestFleet fleet = twoServices()) {
            fleet.injectFault("s1", "{\"drop_answers\":1}");
            HttpResponse<String> first = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            HttpResponse<String> second = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));

            assertEquals("outcome_unknown", TestFleet.errorCode(first));
            assertEquals("outcome_unknown", TestFleet.errorCode(second));
            assertEquals(1, executions(fleet));
        }
    }

    @Test
    void callIsNotRunIfTheLogIsUnavailable() {
        try (TestFleet fleet = twoServices()) {
            fleet.keyedCalls.logUnavailable = true;
            HttpResponse<String> response = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));

            assertEquals("not_run", TestFleet.errorCode(response));
            assertEquals(0, executions(fleet));
        }
    }

    @Test
    void largeResponseIsStreamedAndNotRecorded() {
        try (TestFleet fleet =
                new TestFleet().service("s1", "--padding", "700000").start()) {
            HttpResponse<String> first = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));
            HttpResponse<String> second = fleet.send(lockoutRequest(fleet, "k1", "gate 7"));

            assertEquals(200, first.statusCode());
            assertEquals(
                    700000,
                    TestFleet.json(first.body()).path("padding").asText().length());
            assertEquals("outcome_unknown", TestFleet.errorCode(second));
            assertEquals(1, executions(fleet));
        }
    }

    @Test
    void callCompletesAfterTheCallerDisconnects() {
        try (TestFleet fleet = new TestFleet().service("s1", "--delay", "300").start()) {
            var response = fleet.sendAsync(lockoutRequest(fleet, "k1", "gate 7"));
            Awaitility.await().until(() -> executions(fleet) == 1);
            response.cancel(true);

            Awaitility.await().until(() -> fleet.keyedCalls.outcomes.equals(List.of("k1:done")));
        }
    }

    private static HttpRequest lockoutRequest(TestFleet fleet, String key, String body) {
        HttpRequest.Builder request =
                fleet.request("/lookup/lockout/notice").POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        return request.build();
    }

    private static int executions(TestFleet fleet) {
        return fleet.services().stream()
                .mapToInt(name -> fleet.history(name).path("runs").size())
                .sum();
    }

    private static TestFleet twoServices() {
        return new TestFleet().service("s1").service("s2").start();
    }
}
