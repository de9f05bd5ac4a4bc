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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Replays loads beyond an engine's slots, and checks who gets the slots that become free. */
class WaitingOrderTest {
    private static final int SLOTS = 4;
    private static final Duration DEADLINE = Duration.ofSeconds(20);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<BacklogItem> backlog = new ArrayList<>();
    private final List<String> granted = new ArrayList<>();
    private final Map<Long, String> senders = new HashMap<>();
    private final Map<Long, Duration> rejected = new HashMap<>();
    private final List<Long> holders = new ArrayList<>();
    private final Map<Long, ItemRef> running = new HashMap<>();
    private final List<ItemRef> started = new ArrayList<>();
    private final List<ItemRef> preempted = new ArrayList<>();
    private double random = 0.5;
    private long nextLease;

    private final SlotDecisionListener decisions = new SlotDecisionListener() {
        @Override
        public void granted(String node, long lease, String upstream) {
            granted.add(senders.get(lease));
            holders.add(lease);
        }

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {
            rejected.put(lease, retryAfter);
        }

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {
            running.put(lease, item);
            started.add(item);
        }

        @Override
        public void preempt(String node, long lease) {
            preempted.add(running.get(lease));
        }
    };

    private final SlotScheduler scheduler = new SlotScheduler(
            time,
            directory,
            new UpstreamHealth(time),
            new Backlog() {
                @Override
                public void visit(Predicate<BacklogItem> visitor) {
                    backlog.stream().takeWhile(visitor).forEach(item -> {});
                }

                @Override
                public boolean shared() {
                    return true;
                }
            },
            decisions,
            EventLog.NONE,
            () -> random,
            new SlotScheduler.Options(
                    1,
                    0,
                    Duration.ofMillis(60),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1000)));

    WaitingOrderTest() {
        directory.recordStoreResponse();
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", SLOTS, false, "v1"));
        scheduler.joined("n", "a", 1, List.of());
    }

    private long acquire(String workspace, int priority, boolean retry, Duration target) {
        long lease = nextLease++;
        senders.put(lease, workspace);
        scheduler.acquire(new SlotRequest(
                "n",
                lease,
                "s",
                target,
                DEADLINE,
                Set.of(),
                0,
                retry,
                Optional.empty(),
                workspace,
                priority,
                false,
                0,
                0,
                0));
        return lease;
    }

    /** Returns as many callers as given, which wait whatever the queue. */
    private void waiting(String workspace, int priority, int count) {
        for (int i = 0; i < count; i++) {
            acquire(workspace, priority, true, Duration.ofSeconds(4));
        }
    }

    private void fillEngine() {
        waiting("", 0, SLOTS + 1);
        granted.clear();
    }

    private void freeSlots(int count) {
        for (int i = 0; i < count; i++) {
            time.advance(Duration.ofMillis(100));
            scheduler.released("n", holders.remove(0), ReleaseReason.COMPLETED, 0);
        }
    }

    /** Load: a workspace sends 30 requests at once, before one of another workspace. In order of arrival it is last. */
    @Test
    void burstOfOneWorkspaceDoesNotDelayAnother() {
        fillEngine();
        waiting("hot", 0, 30);
        waiting("other", 0, 2);
        freeSlots(4);
        assertEquals(2, granted.stream().filter("other"::equals).count(), granted.toString());
    }

    /** Load: returning callers of a lower priority, all there before a new one of a higher priority. */
    @Test
    void returningCallersOfALowerPriorityDoNotPushOutHigherOnes() {
        fillEngine();
        waiting("other", 1, 30);
        long urgent = acquire("urgent", 0, false, Duration.ofMillis(600));
        assertTrue(!rejected.containsKey(urgent), "the new request can be served in time");
        freeSlots(1);
        assertEquals(List.of("urgent"), granted);
    }

    /** Load: new requests wait, and a caller returns that was rejected and would lose its last attempt. */
    @Test
    void returningCallerGoesBeforeNewOnes() {
        fillEngine();
        acquire("new", 0, false, Duration.ofSeconds(3));
        acquire("returning", 0, true, Duration.ofSeconds(4));
        freeSlots(1);
        assertEquals(List.of("returning"), granted);
    }

    /** Load: lasting overload by a higher priority, beside a few requests of a lower one. */
    @Test
    void lowerPriorityGetsOneOfEightSlots() {
        fillEngine();
        waiting("urgent", 0, 40);
        waiting("other", 1, 3);
        freeSlots(24);
        assertEquals(
                List.of(7, 15, 23),
                List.of(
                        granted.indexOf("other"),
                        8 + granted.subList(8, 24).indexOf("other"),
                        granted.lastIndexOf("other")));
    }

    /** Load: the same callers are told to return at one time, so that they are rejected together again. */
    @Test
    void retryDelaysAreSpreadOverTheTimeToServeWhatWaits() {
        fillEngine();
        waiting("", 0, 60);
        long first = acquire("", 0, false, Duration.ofMillis(300));
        random = 1;
        long second = acquire("", 0, false, Duration.ofMillis(300));
        Duration apart = rejected.get(second).minus(rejected.get(first));
        assertTrue(apart.compareTo(Duration.ofSeconds(4)) > 0, "delays: " + rejected);
        assertTrue(rejected.get(first).compareTo(Duration.ofSeconds(10)) > 0, "room is expected after 61 requests");
    }

    private void items(String workspace, int priority, int count, int firstDueSeconds) {
        for (int i = 0; i < count; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef(workspace, i),
                    Map.of("s", 1),
                    Duration.ofSeconds(firstDueSeconds).toNanos() + i,
                    "",
                    100,
                    workspace,
                    priority));
        }
    }

    private void completeItem() {
        long lease = running.keySet().iterator().next();
        running.remove(lease);
        time.advance(Duration.ofMillis(10));
        scheduler.released("n", lease, ReleaseReason.COMPLETED, 0);
    }

    private long startedOf(String workspace) {
        return started.stream().filter(item -> item.job().equals(workspace)).count();
    }

    /** Load: 2,000 items of one workspace are due before those of another. In order of due times they all go first. */
    @Test
    void itemsOfOneWorkspaceDoNotHideThoseOfAnother() {
        items("hot", 0, 2000, 60);
        items("other", 0, 20, 61);
        scheduler.schedule();
        for (int i = 0; i < 20; i++) {
            completeItem();
        }
        assertEquals(started.size() / 2.0, startedOf("other"), 2, started.toString());
        assertTrue(startedOf("hot") > 0);
    }

    /** Load: items of a lower priority are due first, and those of a higher one are hidden behind them. */
    @Test
    void itemsOfAHigherPriorityRunFirst() {
        items("other", 1, 300, 60);
        items("urgent", 0, 2, 100);
        scheduler.schedule();
        assertEquals(2, startedOf("urgent"));
        assertEquals(SLOTS, started.size(), "the other slots are used");
    }

    /** Load: one workspace has more items than are kept, and all slots are free; none may stay unused. */
    @Test
    void allFreeSlotsAreUsedForOneWorkspace() {
        directory.put(new Upstream("e2", "s", "10.0.0.1", 80, "a", 300, false, "v1"));
        items("hot", 0, 400, 60);
        scheduler.schedule();
        assertEquals(SLOTS + 300, started.size());
        assertEquals(0, started.get(0).index(), "jobs of one workspace keep their order");
    }

    /** Load: a stream needs the slot of one of two items; due times alone would preempt the more urgent one. */
    @Test
    void itemOfTheLeastUrgentPriorityIsPreemptedFirst() {
        items("other", 1, 2, 60);
        items("urgent", 0, 2, 100);
        scheduler.schedule();
        acquire("other", 2, false, Duration.ofMillis(300));
        acquire("other", 2, false, Duration.ofMillis(300));
        acquire("other", 2, false, Duration.ofMillis(300));
        assertEquals(
                List.of("other", "other", "urgent"),
                preempted.stream().map(ItemRef::job).toList());
    }
}
