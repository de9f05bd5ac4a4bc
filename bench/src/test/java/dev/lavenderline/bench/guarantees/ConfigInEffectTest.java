package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import dev.lavenderline.bench.fleet.ConfigPublisher;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Checks guarantee G9: all nodes apply the same configuration in time and never go back to an older revision. */
final class ConfigInEffectTest {
    private static final Duration CONFIG_TIMEOUT = Duration.ofSeconds(17);
    private static final int ROUNDS = 8;

    /** Two operators publish conflicting changes; meanwhile the log is down, and a node is killed and replaced. */
    @Test
    void racingOperatorsLogOutageAndRestart() {
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("target", "fleets", "ConfigInEffectTest"))
                .engines(1)
                .nodes(3);
        try (DeployedFleet fleet = builder.start()) {
            Map<String, Long> latestRevisions = new HashMap<>();
            long base = fleet.node(0).revision();
            for (int round = 0; round < ROUNDS; round++) {
                List<Long> offsets = publishConcurrently(fleet, base, round);
                long winner = offsets.stream().min(Long::compare).orElseThrow();
                if (round == 2) {
                    fleet.localFleet()
                            .injectLogFault(
                                    new ObjectMapper().createObjectNode().put("outage_ms", 3000));
                }
                if (round == 5) {
                    fleet.node(2).process().kill();
                    fleet.startNode("node-2", "north-moor");
                }
                Poll.until("revision " + winner + " is in effect on all nodes", CONFIG_TIMEOUT, () -> {
                    fleet.nodes().forEach(node -> checkRevision(latestRevisions, node));
                    return fleet.nodes().stream().allMatch(node -> node.revision() == winner);
                });
                base = winner;
            }
            assertEquals(3, latestRevisions.size());
        }
    }

    /** Publishes two changes of the same base concurrently. Both get an offset, but only the first is accepted. */
    private static List<Long> publishConcurrently(DeployedFleet fleet, long base, int round) {
        List<CompletableFuture<Long>> changes = new ArrayList<>();
        for (int operator = 0; operator < 2; operator++) {
            String weight = Integer.toString(operator + 1);
            Map<String, String> files =
                    Map.of("10-operator-" + round + ".yaml", "workspaces: {bench: {weight: " + weight + "}}\n");
            changes.add(
                    CompletableFuture.supplyAsync(() -> new ConfigPublisher(fleet.localFleet()).publish(base, files)));
        }
        return changes.stream().map(CompletableFuture::join).toList();
    }

    private static void checkRevision(Map<String, Long> latestRevisions, LocalNode node) {
        long revision = node.revision();
        if (revision < 0) {
            return;
        }
        long before = latestRevisions.getOrDefault(node.name(), 0L);
        assertTrue(revision >= before, node.name() + " went from revision " + before + " back to " + revision);
        latestRevisions.put(node.name(), revision);
    }
}
