package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against a non-repeatable call that runs twice, and against a wrong statement on whether it ran. */
class NonRepeatableRouteTest {
    @Test
    void cutAfterWriteIsOutcomeUnknownAndRanOnce() {
        try (TestFleet fleet = twoServices()) {
            fleet.fault("s1", "{\"drop_answers\":1}");
            HttpResponse<String> response = fleet.send(lockout(fleet, null, "gate 7"));

            assertEquals(502, response.statusCode());
            assertEquals("outcome_unknown", TestFleet.code(response));
            assertEquals(1, runs(fleet));
        }
    }

    @Test
    void silenceUntilTheDeadlineIsOutcomeUnknown() {
        try (TestFleet fleet = new TestFleet()
                .timeout(Duration.ofMillis(200))
                .service("s1")
                .service("s2")
                .start()) {
            fleet.fault("s1", "{\"hang_ms\":5000}");
            HttpResponse<String> response = fleet.send(lockout(fleet, "k1", "gate 7"));

            assertEquals("outcome_unknown", TestFleet.code(response));
            assertEquals(1, runs(fleet));
            assertEquals(List.of("k1:unknown"), fleet.keyedCalls.outcomes);
        }
    }

    @Test
    void refusedConnectIsSentToAnotherService() {
        try (TestFleet fleet = new TestFleet().deadService("s1").service("s2").start()) {
            HttpResponse<String> response = fleet.send(lockout(fleet, null, "gate 7"));

            assertEquals(200, response.statusCode());
            assertEquals(1, fleet.history("s2").path("runs").size());
        }
    }

    @Test
    void refusedConnectEverywhereFreesTheKey() {
        try (TestFleet fleet = new TestFleet().deadService("s1").start()) {
            HttpResponse<String> response = fleet.send(lockout(fleet, "k1", "gate 7"));

            assertEquals("not_run", TestFleet.code(response));
            assertEquals(List.of("k1:not_run"), fleet.keyedCalls.outcomes);
        }
    }

    @Test
    void repeatedKeyReplaysTheAnswer() {
        try (TestFleet fleet = twoServices()) {
            HttpResponse<String> first = fleet.send(lockout(fleet, "k1", "gate 7"));
            HttpResponse<String> second = fleet.send(lockout(fleet, "k1", "gate 7"));
            HttpResponse<String> other = fleet.send(lockout(fleet, "k1", "gate 8"));

            assertEquals(200, second.statusCode());
            assertEquals(first.body(), second.body());
            assertEquals(422, other.statusCode());
            assertEquals("key_reused", TestFleet.code(other));
            assertEquals(1, runs(fleet));
        }
    }

    @Test
    void lostAnswerOfAKeyedCallStaysUnknown() {
        try (TestFleet fleet = twoServices()) {
            fleet.fault("s1", "{\"drop_answers\":1}");
            HttpResponse<String> first = fleet.send(lockout(fleet, "k1", "gate 7"));
            HttpResponse<String> second = fleet.send(lockout(fleet, "k1", "gate 7"));

            assertEquals("outcome_unknown", TestFleet.code(first));
            assertEquals("outcome_unknown", TestFleet.code(second));
            assertEquals(1, runs(fleet));
        }
    }

    @Test
    void unavailableLogIsNotRun() {
        try (TestFleet fleet = twoServices()) {
            fleet.keyedCalls.logDown = true;
            HttpResponse<String> response = fleet.send(lockout(fleet, "k1", "gate 7"));

            assertEquals("not_run", TestFleet.code(response));
            assertEquals(0, runs(fleet));
        }
    }

    @Test
    void largeAnswerIsPassedOnAndNotRecorded() {
        try (TestFleet fleet =
                new TestFleet().service("s1", "--padding", "700000").start()) {
            HttpResponse<String> first = fleet.send(lockout(fleet, "k1", "gate 7"));
            HttpResponse<String> second = fleet.send(lockout(fleet, "k1", "gate 7"));

            assertEquals(200, first.statusCode());
            assertEquals(
                    700000,
                    TestFleet.json(first.body()).path("padding").asText().length());
            assertEquals("outcome_unknown", TestFleet.code(second));
            assertEquals(1, runs(fleet));
        }
    }

    @Test
    void callerThatLeavesDoesNotStopTheCall() {
        try (TestFleet fleet = new TestFleet().service("s1", "--delay", "300").start()) {
            var answer = fleet.sendAsync(lockout(fleet, "k1", "gate 7"));
            Awaitility.await().until(() -> runs(fleet) == 1);
            answer.cancel(true);

            Awaitility.await().until(() -> fleet.keyedCalls.outcomes.equals(List.of("k1:done")));
        }
    }

    private static HttpRequest lockout(TestFleet fleet, String key, String body) {
        HttpRequest.Builder request =
                fleet.request("/lookup/lockout/notice").POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        return request.build();
    }

    private static int runs(TestFleet fleet) {
        return fleet.services().stream()
                .mapToInt(name -> fleet.history(name).path("runs").size())
                .sum();
    }

    private static TestFleet twoServices() {
        return new TestFleet().service("s1").service("s2").start();
    }
}
