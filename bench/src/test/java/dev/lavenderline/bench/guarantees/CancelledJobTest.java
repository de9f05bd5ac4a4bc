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

/** Checks guarantee G2: no item of a job starts later than 2 s after its cancellation was acknowledged. */
final class CancelledJobTest {
    private static final int ITEMS = 3000;
    private static final long CANCEL_GRACE_MS = 2000;
    private static final Duration OBSERVATION_TIME = Duration.ofSeconds(5);

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

    /** A node that does not run the job receives the cancellation. */
    @Test
    void cancelledOnAnotherNode() {
        BatchJobClient batch = new BatchJobClient(fleet, "cancel");
        String job = batch.create(fleet.node(0), ITEMS, 16);
        LocalNode holder = batch.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("an item is finished", Duration.ofSeconds(20), () -> batch.finishedItems(other) > 0);
        CallerClient.Response response = batch.cancel(other);
        long acknowledged = System.currentTimeMillis();

        assertEquals(200, response.status(), response.body());
        observe(acknowledged);
        assertEquals(List.of(), startedAfter(job, acknowledged + CANCEL_GRACE_MS));
        assertEquals("cancelled", batch.status(other));
    }

    /** The holder is suspended while the job is cancelled; after it resumes, it must not start more items. */
    @Test
    void cancelledWhileTheHolderIsSuspended() {
        BatchJobClient batch = new BatchJobClient(fleet, "cancel-frozen");
        String job = batch.create(fleet.node(0), ITEMS, 16);
        LocalNode holder = batch.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("an item is finished", Duration.ofSeconds(20), () -> batch.finishedItems(other) > 0);
        holder.process().pause();
        CallerClient.Response response = batch.cancel(other);
        long acknowledged = System.currentTimeMillis();
        observe(acknowledged);
        holder.process().resume();
        observe(System.currentTimeMillis());

        assertEquals(200, response.status(), response.body());
        assertEquals(List.of(), startedAfter(job, acknowledged + CANCEL_GRACE_MS));
    }

    private LocalNode otherThan(LocalNode node) {
        return fleet.nodes().stream().filter(other -> other != node).findFirst().orElseThrow();
    }

    /** Waits long enough for late starts to show up. */
    private static void observe(long fromMs) {
        Poll.until(
                OBSERVATION_TIME + " have passed",
                OBSERVATION_TIME.plusSeconds(2),
                () -> System.currentTimeMillis() > fromMs + OBSERVATION_TIME.toMillis());
    }

    private List<String> startedAfter(String job, long limitMs) {
        List<String> late = new ArrayList<>();
        for (DeployedFleet.Upstream engine : fleet.upstreams().values()) {
            for (JsonNode request :
                    fleet.localFleet().get(engine.url() + "/history").path("requests")) {
                boolean isLate = request.path("arrived_ms").asLong() > limitMs;
                if (isLate && request.path("id").asText().startsWith(job)) {
                    late.add(request.path("id").asText());
                }
            }
        }
        return late;
    }
}
