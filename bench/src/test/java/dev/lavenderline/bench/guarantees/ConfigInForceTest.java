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

/** Guards G9: configuration that differs between nodes, arrives late or reverts. */
final class ConfigInForceTest {
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(17);
    private static final int ROUNDS = 8;

    /** Operators race, the log is down for a while, and a node is killed and replaced, all during changes. */
    @Test
    void racingOperatorsLogOutageAndRestart() {
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("target", "fleets", "ConfigInForceTest"))
                .engines(1)
                .nodes(3);
        try (DeployedFleet fleet = builder.start()) {
            Map<String, Long> seen = new HashMap<>();
            long base = fleet.node(0).revision();
            for (int round = 0; round < ROUNDS; round++) {
                List<Long> offsets = race(fleet, base, round);
                long winner = offsets.stream().min(Long::compare).orElseThrow();
                if (round == 2) {
                    fleet.local().logFault(new ObjectMapper().createObjectNode().put("outage_ms", 3000));
                }
                if (round == 5) {
                    fleet.node(2).process().kill();
                    fleet.startNode("node-2", "north-moor");
                }
                Poll.until("revision " + winner + " is in force on all nodes", IN_FORCE_LIMIT, () -> {
                    fleet.nodes().forEach(node -> observe(seen, node));
                    return fleet.nodes().stream().allMatch(node -> node.revision() == winner);
                });
                base = winner;
            }
            assertEquals(3, seen.size());
        }
    }

    /** Publishes two changes from the same base at the same time; both get an offset, only the first one is valid. */
    private static List<Long> race(DeployedFleet fleet, long base, int round) {
        List<CompletableFuture<Long>> changes = new ArrayList<>();
        for (int operator = 0; operator < 2; operator++) {
            String weight = Integer.toString(operator + 1);
            Map<String, String> files =
                    Map.of("10-operator-" + round + ".yaml", "workspaces: {bench: {weight: " + weight + "}}\n");
            changes.add(CompletableFuture.supplyAsync(() -> new ConfigPublisher(fleet.local()).publish(base, files)));
        }
        return changes.stream().map(CompletableFuture::join).toList();
    }

    private static void observe(Map<String, Long> seen, LocalNode node) {
        long revision = node.revision();
        if (revision < 0) {
            return;
        }
        long before = seen.getOrDefault(node.name(), 0L);
        assertTrue(revision >= before, node.name() + " went from revision " + before + " back to " + revision);
        seen.put(node.name(), revision);
    }
}
