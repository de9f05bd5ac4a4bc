package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against engines that are left out for good after a failure, although they are reached again. */
class EjectedUpstreamTest {
    private static final Duration STEP = Duration.ofMillis(50);

    /** Time within which an engine that is reached again must get work, far below the time in which items are due. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(10);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<BacklogItem> backlog = new ArrayList<>();
    private final Deque<Order> orders = new ArrayDeque<>();
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
            new SlotDecisionListener() {
                @Override
                public void granted(String node, long lease, String upstream) {
                    orders.add(new Order(node, lease, upstream));
                }

                @Override
                public void rejected(String node, long lease, Duration retryAfter) {}

                @Override
                public void run(String node, long lease, String upstream, ItemRef item) {
                    orders.add(new Order(node, lease, upstream));
                }

                @Override
                public void preempt(String node, long lease) {}
            },
            EventLog.NONE,
            () -> 0.5,
            SlotScheduler.Options.defaults());
    private long nextLease;

    private record Order(String node, long lease, String upstream) {}

    private void start(int engines) {
        for (int i = 0; i < engines; i++) {
            directory.put(new Upstream("e" + i, "s", "10.0.0.1", 80 + i, "a", 4, false, "v1"));
        }
        directory.recordStoreResponse();
        scheduler.joined("n1", "a", 1, List.of());
        scheduler.joined("n2", "a", 1, List.of());
    }

    private void acquire(String node) {
        scheduler.acquire(new SlotRequest(
                node,
                nextLease++,
                "s",
                Duration.ofMillis(300),
                Duration.ofSeconds(5),
                Set.of(),
                0,
                false,
                Optional.empty()));
    }

    private void addItems(int count) {
        int first = backlog.size();
        for (int i = first; i < first + count; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef("job", i),
                    Map.of("s", 1),
                    Duration.ofSeconds(18).toNanos(),
                    "",
                    0));
        }
    }

    private void release(Order order, ReleaseReason reason) {
        scheduler.released(order.node(), order.lease(), reason, 0);
    }

    /** Schedules until an order comes, which must be within {@link #RETURN_TIME}. */
    private Order awaitOrder(Runnable demand) {
        for (Duration waited = Duration.ZERO; waited.compareTo(RETURN_TIME) < 0; waited = waited.plus(STEP)) {
            demand.run();
            scheduler.schedule();
            if (!orders.isEmpty()) {
                return orders.remove();
            }
            time.advance(STEP);
        }
        throw new AssertionError("no order within " + RETURN_TIME);
    }

    /** Review case 6: without online requests, nothing ended the ejection of an engine that items had found silent. */
    @Test
    void itemsTryTheEnginesOfABatchOnlyService() {
        start(2);
        addItems(20);
        for (int i = 0; i < 8; i++) {
            Order order = awaitOrder(() -> {});
            release(order, ReleaseReason.UPSTREAM_UNREACHABLE);
        }
        int completed = 0;
        while (completed < 20) {
            release(awaitOrder(() -> {}), ReleaseReason.COMPLETED);
            scheduler.resultRecorded(backlog.remove(0).item());
            completed++;
        }
    }

    /** Review case 7: the loss of the node that tried the engine left it in a trial for good. */
    @Test
    void engineIsTriedAgainIfTheNodeOfItsTrialIsLost() {
        start(1);
        acquire("n1");
        release(orders.remove(), ReleaseReason.UPSTREAM_UNREACHABLE);
        assertEquals("n2", awaitOrder(() -> acquire("n2")).node());
        scheduler.left("n2");
        assertEquals("n1", awaitOrder(() -> acquire("n1")).node());
    }

    /** The same for a node that turns to another scheduler, which gets the result of the trial. */
    @Test
    void engineIsTriedAgainIfTheNodeOfItsTrialMoves() {
        start(1);
        acquire("n1");
        release(orders.remove(), ReleaseReason.UPSTREAM_UNREACHABLE);
        awaitOrder(() -> acquire("n2"));
        scheduler.moved("n2");
        assertEquals("n1", awaitOrder(() -> acquire("n1")).node());
    }

    /** The same for a node that is suspended, or whose request takes very long. */
    @Test
    void engineIsTriedAgainIfATrialHasNoResult() {
        start(1);
        acquire("n1");
        release(orders.remove(), ReleaseReason.UPSTREAM_UNREACHABLE);
        awaitOrder(() -> acquire("n2"));
        assertEquals("n1", awaitOrder(() -> acquire("n1")).node());
    }

    /** The same for an item, whose node declines it or has it preempted. */
    @Test
    void engineIsTriedAgainIfTheItemOfATrialIsNotRun() {
        start(1);
        addItems(3);
        release(awaitOrder(() -> {}), ReleaseReason.UPSTREAM_UNREACHABLE);
        for (ReleaseReason reason : List.of(ReleaseReason.NODE_DECLINED, ReleaseReason.CANCELLED)) {
            release(awaitOrder(() -> {}), reason);
        }
        awaitOrder(() -> {});
    }

    /** An item that tries an engine does not keep the slots of the others from online requests. */
    @Test
    void ejectedEngineGetsOneItem() {
        start(1);
        addItems(10);
        scheduler.schedule();
        List.copyOf(orders).forEach(order -> release(order, ReleaseReason.UPSTREAM_UNREACHABLE));
        orders.clear();
        awaitOrder(() -> {});
        scheduler.schedule();
        assertTrue(orders.isEmpty(), "only one trial at a time");
    }
}
