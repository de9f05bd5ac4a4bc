package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against slots that stay free while items wait, because nodes that have not read the jobs decline items at
 * once, so that their load stays at zero and the scheduler gives them the next items too. Nodes do so while they are
 * partitioned from the store or still read it after a start.
 */
class ItemsOfUnreadJobsTest {
    private static final int NODES = 30;
    private static final int UNREAD_NODES = 10;
    private static final int UPSTREAMS = 20;
    private static final int SLOTS = 8;
    private static final int ITEMS = 1000;

    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration ITEM_RUN = Duration.ofSeconds(5);
    private static final Duration ITEM_RETRY_DELAY = Duration.ofMillis(300);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<BacklogItem> backlog = new ArrayList<>();
    private final Set<String> unread = new HashSet<>();
    private final List<Run> undelivered = new ArrayList<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<ItemRef, Integer> declines = new HashMap<>();
    private int declined;
    private final SlotScheduler scheduler = new SlotScheduler(
            time,
            directory,
            new UpstreamHealth(time),
            visitor -> {
                for (BacklogItem item : backlog) {
                    if (!visitor.test(item)) {
                        return;
                    }
                }
            },
            new DeliveringListener(),
            EventLog.NONE,
            () -> 0.5,
            new SlotScheduler.Options(
                    1,
                    0,
                    Duration.ofMillis(60),
                    ITEM_RETRY_DELAY,
                    Duration.ofSeconds(30),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1000)));

    private record Run(String node, long lease, ItemRef item, long endNanos) {}

    private final class DeliveringListener implements SlotDecisionListener {
        @Override
        public void granted(String node, long lease, String upstream) {}

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {}

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {
            undelivered.add(new Run(node, lease, item, time.nanos() + ITEM_RUN.toNanos()));
        }

        @Override
        public void preempt(String node, long lease) {}
    }

    ItemsOfUnreadJobsTest() {
        for (int i = 0; i < UPSTREAMS; i++) {
            directory.put(new Upstream("e" + i, "s", "10.0.0.1", 80, domain(i), SLOTS, false, "v1"));
        }
        directory.recordStoreResponse();
        for (int i = 0; i < NODES; i++) {
            scheduler.joined("n" + i, domain(i), 1, List.of());
        }
        for (int i = 0; i < ITEMS; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef("job" + i / 50, i % 50),
                    Map.of("s", 1),
                    Duration.ofMinutes(5).toNanos() + i,
                    "",
                    0));
        }
    }

    private static String domain(int i) {
        return "d" + i % 3;
    }

    private void unreadAt(int nodes) {
        for (int i = 0; i < nodes; i++) {
            unread.add("n" + i);
        }
    }

    /** Advances the scheduler; nodes receive items and the scheduler their releases one step later. */
    private void play(Duration period) {
        long end = time.nanos() + period.toNanos();
        while (time.nanos() < end) {
            List<Run> received = List.copyOf(undelivered);
            undelivered.clear();
            time.advance(STEP);
            for (Run run : received) {
                if (unread.contains(run.node())) {
                    declined++;
                    declines.merge(run.item(), 1, Integer::sum);
                    scheduler.released(run.node(), run.lease(), ReleaseReason.ITEM_UNKNOWN, 0);
                } else {
                    running.add(run);
                }
            }
            for (Run run : List.copyOf(running)) {
                if (run.endNanos() <= time.nanos()) {
                    running.remove(run);
                    backlog.removeIf(item -> item.item().equals(run.item()));
                    scheduler.released(run.node(), run.lease(), ReleaseReason.COMPLETED, 0);
                    scheduler.resultRecorded(run.item());
                }
            }
            scheduler.schedule();
        }
    }

    @Test
    void slotsAreFilledByNodesThatKnowTheJobs() {
        unreadAt(UNREAD_NODES);
        play(Duration.ofSeconds(1));
        assertEquals(UPSTREAMS * SLOTS, running.size(), "running items after 1 s, " + declined + " declined");
        play(Duration.ofSeconds(3));
        assertEquals(UPSTREAMS * SLOTS, running.size(), "running items after 4 s, " + declined + " declined");
    }

    /** Slots that become free must be filled too, although the declining nodes are tried again now and then. */
    @Test
    void freedSlotsAreFilledWhileNodesKeepDeclining() {
        unreadAt(UNREAD_NODES);
        play(Duration.ofSeconds(10));
        int completed = ITEMS - backlog.size();
        // All slots should be filled within a second; the items that take them first have ended by 10 s.
        assertTrue(
                completed >= UPSTREAMS * SLOTS,
                completed + " items completed after 10 s, " + declined + " declined, " + running.size() + " running");
        assertTrue(
                running.size() >= UPSTREAMS * SLOTS * 9 / 10,
                running.size() + " items running after 10 s, " + declined + " declined");
    }

    @Test
    void nodesThatHaveReadTheJobsGetItemsAgain() {
        unreadAt(UNREAD_NODES);
        play(Duration.ofSeconds(9));
        unread.clear();
        play(Duration.ofSeconds(6));
        for (int i = 0; i < UNREAD_NODES; i++) {
            String node = "n" + i;
            assertTrue(running.stream().anyMatch(run -> run.node().equals(node)), node + " runs no item after 6 s");
        }
    }

    /** Guards against items that are sent and declined in a loop without delay while no node knows their jobs. */
    @Test
    void itemsAreRetriedWithDelayWhileAllNodesDecline() {
        unreadAt(NODES);
        play(Duration.ofSeconds(3));
        long delayedRuns = Duration.ofSeconds(3).dividedBy(ITEM_RETRY_DELAY) + 1;
        int mostDeclines =
                declines.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        // Without delay an item may try each node once; a loop without delay would make 150 attempts.
        assertTrue(mostDeclines <= delayedRuns + NODES, "an item was declined " + mostDeclines + " times in 3 s");
        unread.clear();
        play(Duration.ofSeconds(1));
        assertEquals(UPSTREAMS * SLOTS, running.size(), "running items 1 s after all nodes have read the jobs");
    }
}
