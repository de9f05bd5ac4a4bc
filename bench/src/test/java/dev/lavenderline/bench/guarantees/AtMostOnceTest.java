package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.Poll;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Checks guarantees G5 and G6: a non-repeatable call runs at most once, and a call that is refused with {@code not_run}
 * did not run.
 */
final class AtMostOnceTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static DeployedFleet fleet;

    @BeforeAll
    static void start() {
        fleet = DeployedFleet.builder(Path.of("target", "fleets", "AtMostOnceTest"))
                .engines(1)
                .services(1)
                .nodes(3)
                .start();
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** A client sends the same call to two nodes at the same time. */
    @Test
    void sameKeyOnTwoNodesAtOnce() {
        for (int i = 0; i < 20; i++) {
            String key = "twice-" + i;
            List<CompletableFuture<CallerClient.Response>> responses = new ArrayList<>();
            for (int node = 0; node < 2; node++) {
                int index = node;
                responses.add(CompletableFuture.supplyAsync(() -> call(index, key, "{\"lock\":1}")));
            }
            List<CallerClient.Response> results =
                    responses.stream().map(CompletableFuture::join).toList();
            assertEquals(1, runCount(key), "runs of " + key);
            assertEquals(200, results.get(0).status(), results.get(0).body());
            assertEquals(results.get(0), results.get(1), "both callers get the response of the only run");
        }
    }

    /** The service runs the call, but its response is lost. */
    @Test
    void answerOfTheServiceLost() {
        injectServiceFault("drop_answers", 1);
        CallerClient.Response first = call(0, "lost", "{}");
        CallerClient.Response second = call(1, "lost", "{}");

        assertEquals("outcome_unknown", code(first), first.body());
        assertEquals("outcome_unknown", code(second), second.body());
        assertEquals(1, runCount("lost"));
    }

    /** A key is reused for a different request. */
    @Test
    void keyUsedForAnotherRequest() {
        assertEquals(200, call(0, "reused", "{\"a\":1}").status());
        CallerClient.Response other = call(1, "reused", "{\"a\":2}");

        assertEquals(422, other.status());
        assertEquals("key_reused", code(other));
        assertEquals(1, runCount("reused"));
    }

    /** The log is down: the claim cannot be recorded, so the call must not be sent. */
    @Test
    void logDown() {
        fleet.localFleet().injectLogFault(JSON.createObjectNode().put("outage_ms", 4000));
        CallerClient.Response refused = call(0, "log-down", "{}");

        assertEquals(503, refused.status(), refused.body());
        assertEquals("not_run", code(refused));
        assertEquals(0, runCount("log-down"));
        Poll.until(
                "the key is usable again",
                Duration.ofSeconds(20),
                () -> call(1, "log-down", "{}").status() == 200);
        assertEquals(1, runCount("log-down"));
    }

    /** The node is killed after it sent the call and before it returned the response. */
    @Test
    void nodeKilledBetweenSendingAndAnswering() {
        injectServiceFault("hang_ms", 4000);
        CompletableFuture<Void> first = CompletableFuture.runAsync(() -> call(2, "node-killed", "{}"));
        Poll.until("the service runs the call", Duration.ofSeconds(5), () -> runCount("node-killed") == 1);
        fleet.node(2).process().kill();
        first.handle((done, failure) -> null).join();
        CallerClient.Response second = call(0, "node-killed", "{}");

        assertEquals("outcome_unknown", code(second), second.body());
        assertEquals(1, runCount("node-killed"));
        assertTrue(second.status() >= 500);
        fleet.startNode("node-2", "north-moor");
    }

    private static CallerClient.Response call(int node, String key, String body) {
        return fleet.client()
                .post(
                        fleet.node(node).callersUrl() + "/lockout/gate-7",
                        "application/json",
                        body,
                        Map.of("Idempotency-Key", key));
    }

    private static String code(CallerClient.Response response) {
        return response.json().path("error").path("code").asText();
    }

    private static void injectServiceFault(String name, int value) {
        ObjectNode fault = JSON.createObjectNode().put(name, value);
        fleet.localFleet().injectFault(fleet.upstreams().get("service-0").port(), fault);
    }

    private static long runCount(String key) {
        long count = 0;
        JsonNode history =
                fleet.localFleet().get(fleet.upstreams().get("service-0").url() + "/history");
        for (JsonNode run : history.path("runs")) {
            count += run.path("idempotency_key").asText().equals(key) ? 1 : 0;
        }
        return count;
    }
}
