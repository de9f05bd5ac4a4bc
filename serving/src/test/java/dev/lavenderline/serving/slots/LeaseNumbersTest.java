package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a lease that is taken for one of another scheduler, or of an earlier process, with the same number.
 */
class LeaseNumbersTest {
    private static final int SLOTS = 2;
    private static final Duration DUE = Duration.ofSeconds(18);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<Holding> runs = new ArrayList<>();
    private final List<String> granted = new ArrayList<>();
    private final SlotDecisionListener decisions = new SlotDecisionListener() {
        @Override
        public void granted(String node, long lease, String upstream) {
            granted.add(node + " " + lease + " " + upstream);
        }

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {}

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {
            runs.add(new Holding(lease, upstream, Optional.of(item)));
        }

        @Override
        public void preempt(String node, long lease) {}
    };

    LeaseNumbersTest() {
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", SLOTS, false, "v1"));
        directory.recordStoreResponse();
    }

    private SlotScheduler newScheduler(int items) {
        return new SlotScheduler(
                time,
                directory,
                new UpstreamHealth(time),
                visitor -> {
                    for (int i = 0; i < items; i++) {
                        if (!visitor.test(new BacklogItem(
                                new ItemRef("job", i), Map.of("s", 1), time.nanos() + DUE.toNanos(), "", 0))) {
                            return;
                        }
                    }
                },
                decisions,
                EventLog.NONE,
                () -> 0.5,
                SlotScheduler.Options.defaults());
    }

    /**
     * Guards against an item that runs twice at once because a new scheduler gives the number of its lease to another
     * item: schedulers number leases from their monotonic clocks, which may be equal on two hosts.
     */
    @Test
    void heldItemIsNotStartedAgainUnderAnyClock() {
        SlotScheduler former = newScheduler(1);
        former.joined("n1", "a", 1, List.of());
        former.schedule();
        assertEquals(1, runs.size());

        SlotScheduler successor = newScheduler(3);
        successor.joined("n1", "a", 1, List.copyOf(runs));
        for (int i = 0; i < 10; i++) {
            time.advance(Duration.ofMillis(50));
            directory.recordStoreResponse();
            successor.schedule();
        }
        List<Integer> started =
                runs.stream().map(run -> run.item().orElseThrow().index()).toList();
        assertEquals(List.of(0, 1), started);
    }

    private static SlotRequest request(long lease) {
        return new SlotRequest(
                "n1", lease, "s", Duration.ofMillis(300), Duration.ofSeconds(5), Set.of(), 0, false, Optional.empty());
    }

    /** Guards against a slot that stays occupied, or is counted twice, after the wall clock of a node was set back. */
    @Test
    void processThatReusesTheNumbersOfItsPredecessorGetsItsOwnLeases() {
        SlotScheduler scheduler = newScheduler(0);
        scheduler.joined("n1", "a", 1, List.of());
        for (long lease = 1; lease <= 10; lease++) {
            scheduler.acquire(request(lease));
        }
        int grantedBefore = granted.size();
        granted.clear();

        scheduler.joined("n1", "a", 1, List.of());
        assertEquals(0, scheduler.waitingCount());
        for (long lease = 1; lease <= 10; lease++) {
            scheduler.acquire(request(lease));
        }
        assertEquals(grantedBefore, granted.size());
        assertEquals(granted.stream().distinct().toList(), granted);
    }
}
