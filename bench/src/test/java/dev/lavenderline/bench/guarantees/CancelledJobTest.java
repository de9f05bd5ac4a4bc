package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Guards G2: items of a cancelled job that start after the cancellation was acknowledged. */
final class CancelledJobTest {
    private static final int ITEMS = 3000;
    private static final long START_LIMIT_MS = 2000;
    private static final Duration OBSERVATION = Duration.ofSeconds(5);

    private DeployedFleet fleet;

    @BeforeEach
    void start(TestInfo test) {
        fleet = DeployedFleet.builder(
                        Path.of("target", "fleets", test.getDisplayName().replaceAll("\\W", "")))
                .engines(2)
                .nodes(2)
                .start();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** The cancellation reaches another node than the one that runs the job. */
    @Test
    void cancelledOnAnotherNode() {
        BatchSession session = new BatchSession(fleet, "cancel");
        String job = session.create(fleet.node(0), ITEMS, 16);
        LocalNode holder = session.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("items are done", Duration.ofSeconds(20), () -> session.done(other) > 0);
        CallerClient.Answer answer = session.cancel(other);
        long acknowledged = System.currentTimeMillis();

        assertEquals(200, answer.status(), answer.body());
        observe(acknowledged);
        assertEquals(List.of(), startedAfter(job, acknowledged + START_LIMIT_MS));
        assertEquals("cancelled", session.status(other));
    }

    /** The holder is frozen while the job is cancelled; when it wakes, it must not go on. */
    @Test
    void cancelledWhileTheHolderIsFrozen() {
        BatchSession session = new BatchSession(fleet, "cancel-frozen");
        String job = session.create(fleet.node(0), ITEMS, 16);
        LocalNode holder = session.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("items are done", Duration.ofSeconds(20), () -> session.done(other) > 0);
        holder.process().pause();
        CallerClient.Answer answer = session.cancel(other);
        long acknowledged = System.currentTimeMillis();
        observe(acknowledged);
        holder.process().resume();
        observe(System.currentTimeMillis());

        assertEquals(200, answer.status(), answer.body());
        assertEquals(List.of(), startedAfter(job, acknowledged + START_LIMIT_MS));
    }

    private LocalNode otherThan(LocalNode node) {
        return fleet.nodes().stream().filter(other -> other != node).findFirst().orElseThrow();
    }

    /** Lets the fleet run for the time in which a late start would be seen. */
    private static void observe(long fromMs) {
        Poll.until(
                "the observation time has passed",
                OBSERVATION.plusSeconds(2),
                () -> System.currentTimeMillis() > fromMs + OBSERVATION.toMillis());
    }

    private List<String> startedAfter(String job, long limitMs) {
        List<String> late = new ArrayList<>();
        for (DeployedFleet.Upstream engine : fleet.upstreams().values()) {
            for (JsonNode request : fleet.local().get(engine.url() + "/history").path("requests")) {
                boolean isLate = request.path("arrived_ms").asLong() > limitMs;
                if (isLate && request.path("id").asText().startsWith(job)) {
                    late.add(request.path("id").asText());
                }
            }
        }
        return late;
    }
}
