package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.load.LoadGenerator;
import dev.lavenderline.bench.load.LoadPlan;
import dev.lavenderline.bench.load.LoadResult;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Checks guarantee G7: an upstream gets no new requests from 3 s after the host list marked it as leaving. */
final class LeavingUpstreamTest {
    private static final long LEAVING_GRACE_MS = 3000;

    @Test
    void noNewWorkAfterTheHostListSaysLeaving() {
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("target", "fleets", "LeavingUpstreamTest"))
                .engines(2)
                .nodes(2);
        try (DeployedFleet fleet = builder.start();
                LoadGenerator load = new LoadGenerator(DeployedFleet.TOKEN, DeployedFleet.DEPLOYMENT)) {
            List<String> urls =
                    fleet.nodes().stream().map(LocalNode::callersUrl).toList();
            BatchJobClient batch = new BatchJobClient(fleet, "leaving");
            batch.create(fleet.node(0), 2000, 16);
            LoadPlan plan = LoadPlan.poisson(7, 20, Duration.ofSeconds(8), 8, 0, 1);
            CompletableFuture<LoadResult> result =
                    CompletableFuture.supplyAsync(() -> load.run(plan, () -> urls, false));
            batch.awaitHolder();
            DeployedFleet.Upstream leaving = fleet.upstreams().get("engine-0");
            fleet.localFleet().register("upstream", leaving.address(), "leaving");
            long leavingSinceMs = System.currentTimeMillis();

            LoadResult got = result.join();
            assertEquals(got.sentCount(), got.completeCount(), "complete responses");
            assertTrue(
                    System.currentTimeMillis() > leavingSinceMs + LEAVING_GRACE_MS,
                    "the load ended too early to show late requests");
            assertEquals(
                    0,
                    arrivedAfter(fleet, leaving, leavingSinceMs + LEAVING_GRACE_MS),
                    "late requests at the leaving engine");
            assertTrue(arrivedAfter(fleet, fleet.upstreams().get("engine-1"), leavingSinceMs + LEAVING_GRACE_MS) > 0);
        }
    }

    private static int arrivedAfter(DeployedFleet fleet, DeployedFleet.Upstream engine, long limitMs) {
        int late = 0;
        for (JsonNode request :
                fleet.localFleet().get(engine.url() + "/history").path("requests")) {
            late += request.path("arrived_ms").asLong() > limitMs ? 1 : 0;
        }
        return late;
    }
}
