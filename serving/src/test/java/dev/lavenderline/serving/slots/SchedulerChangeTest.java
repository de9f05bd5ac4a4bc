package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against engines that get more items than they have slots while nodes move from one scheduler to another: the
 * former one takes the slots of nodes that have moved for free, the new one does not know those of nodes that have not.
 */
class SchedulerChangeTest {
    private static final int SLOTS = 8;
    private static final int ITEMS = 100;

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<ItemRef> started = new ArrayList<>();
    private final SlotDecisionListener decisions = new SlotDecisionListener() {
        @Override
        public void granted(String node, long lease, String upstream) {}

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {}

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {
            started.add(item);
        }

        @Override
        public void preempt(String node, long lease) {}
    };
    private final SlotScheduler scheduler = new SlotScheduler(
            time,
            directory,
            new UpstreamHealth(time),
            visitor -> {
                for (int i = 0; i < ITEMS; i++) {
                    if (!visitor.test(new BacklogItem(
                            new ItemRef("job", i),
                            Map.of("s", 1),
                            time.nanos() + Duration.ofSeconds(18).toNanos(),
                            "",
                            0))) {
                        return;
                    }
                }
            },
            decisions,
            EventLog.NONE,
            () -> 0.5,
            new SlotScheduler.Options(
                    1,
                    0,
                    Duration.ofMillis(60),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1000)));

    SchedulerChangeTest() {
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", SLOTS, false, "v1"));
        directory.recordStoreResponse();
        scheduler.joined("n1", "a", 1, List.of());
        scheduler.joined("n2", "a", 1, List.of());
        scheduler.schedule();
        assertEquals(SLOTS, started.size());
    }

    private void schedule(Duration period) {
        for (Duration at = Duration.ZERO; at.compareTo(period) < 0; at = at.plusMillis(50)) {
            directory.recordStoreResponse();
            scheduler.schedule();
            time.advance(Duration.ofMillis(50));
        }
    }

    @Test
    void formerSchedulerDoesNotReuseTheSlotsOfNodesThatMoved() {
        scheduler.moved("n1");
        schedule(Duration.ofMillis(1500));
        assertEquals(SLOTS, started.size(), "the nodes that moved still run their items");
        schedule(Duration.ofSeconds(1));
        assertEquals(SLOTS + SLOTS / 2, started.size());
    }

    @Test
    void itemsOfNodesThatMovedAreNotStartedAgain() {
        directory.put(new Upstream("e2", "s", "10.0.0.2", 80, "a", SLOTS, false, "v1"));
        scheduler.moved("n1");
        schedule(Duration.ofMillis(1500));
        Set<ItemRef> distinct = new HashSet<>(started);
        assertEquals(distinct.size(), started.size(), started.toString());
    }

    @Test
    void slotsOfLostNodesAreFreeAtOnce() {
        scheduler.left("n1");
        scheduler.schedule();
        assertEquals(SLOTS + SLOTS / 2, started.size());
    }

    @Test
    void nodeThatReturnsReportsItsSlotsItself() {
        scheduler.moved("n1");
        scheduler.joined("n1", "a", 1, List.of());
        scheduler.schedule();
        assertEquals(SLOTS + SLOTS / 2, started.size());
    }

    @Test
    void newSchedulerWaitsForNodesThatMayHoldSlots() {
        Duration fresh = Duration.ofMillis(100);
        Duration stale = Duration.ofSeconds(10);
        OptionalInt nodes = OptionalInt.of(81);
        assertFalse(SlotService.mayStartItems(60, nodes, Duration.ofMillis(500), fresh), "21 nodes have not joined");
        assertFalse(
                SlotService.mayStartItems(81, nodes, Duration.ofMillis(400), fresh),
                "draining nodes may not have joined");
        assertTrue(SlotService.mayStartItems(81, nodes, Duration.ofMillis(500), fresh));
        assertTrue(SlotService.mayStartItems(60, nodes, Duration.ofMillis(2100), stale));
        assertTrue(SlotService.mayStartItems(20, nodes, Duration.ofMillis(2100), fresh));
        assertFalse(SlotService.mayStartItems(20, nodes, Duration.ofMillis(2100), stale), "partitioned from the store");
        assertFalse(
                SlotService.mayStartItems(6, OptionalInt.empty(), Duration.ofMillis(2100), fresh),
                "the scheduler does not know the other nodes");
    }
}
