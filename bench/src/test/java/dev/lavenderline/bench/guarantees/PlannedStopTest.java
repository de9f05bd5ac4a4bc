package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import dev.lavenderline.bench.load.LoadGenerator;
import dev.lavenderline.bench.load.LoadPlan;
import dev.lavenderline.bench.load.LoadResult;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Checks guarantee G8: no request fails when nodes are stopped gracefully, one after another, under load. */
final class PlannedStopTest {
    private static final Duration LOAD_DURATION = Duration.ofSeconds(20);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final long SEED = 8;

    @Test
    void eachNodeInTurnUnderLoad() {
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("target", "fleets", "PlannedStopTest"))
                .engines(3)
                .nodes(3);
        try (DeployedFleet fleet = builder.start();
                LoadGenerator load = new LoadGenerator(DeployedFleet.TOKEN, DeployedFleet.DEPLOYMENT)) {
            AtomicReference<List<String>> readyUrls = new AtomicReference<>(urls(fleet.nodes()));
            LoadPlan plan = LoadPlan.poisson(SEED, 20, LOAD_DURATION, 40, 0.05, 4);
            CompletableFuture<LoadResult> result =
                    CompletableFuture.supplyAsync(() -> load.run(plan, readyUrls::get, false));
            BatchJobClient batch = new BatchJobClient(fleet, "planned-stop");
            batch.create(fleet.node(0), 200, 8);
            for (LocalNode node : List.copyOf(fleet.nodes())) {
                replaceNode(fleet, node, readyUrls);
            }

            LoadResult got = result.join();
            assertTrue(got.sentCount() > 300, "sent " + got.sentCount());
            assertEquals(0, got.failedCount(), "failed requests");
            assertEquals(0, got.refusedCount(), "refused requests");
            assertEquals(got.sentCount(), got.completeCount(), "complete responses");
            LocalNode node = fleet.node(0);
            Poll.until(
                    "the job is completed",
                    Duration.ofSeconds(40),
                    () -> batch.status(node).equals("completed"));
            assertEquals(200, batch.readCustomIds(node).size());
        }
    }

    /** Replaces one node as an orchestrator would: the load balancer stops using it when its readiness check fails. */
    private static void replaceNode(DeployedFleet fleet, LocalNode node, AtomicReference<List<String>> readyUrls) {
        node.process().terminate();
        Poll.until("the node is unready", Duration.ofSeconds(5), () -> !node.isReady());
        readyUrls.set(urls(fleet.nodes().stream().filter(other -> other != node).toList()));
        assertEquals(0, node.process().awaitExit(STOP_TIMEOUT), "exit code of " + node.name());
        LocalNode replacement = fleet.startNode(node.name(), "north-moor");
        Poll.until("the replacement is ready", Duration.ofSeconds(20), replacement::isReady);
        readyUrls.set(urls(fleet.nodes()));
    }

    private static List<String> urls(List<LocalNode> nodes) {
        return nodes.stream().map(LocalNode::callersUrl).toList();
    }
}
