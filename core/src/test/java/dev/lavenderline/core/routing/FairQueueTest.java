package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against one workspace that starves others, and against long requests served before short ones. */
class FairQueueTest {
    /**
     * Closed form of start-time fair queueing: while all flows are backlogged, the normalized service of two flows
     * differs by at most one item of each.
     */
    @Property
    void sharesConvergeToTheWeights(
            @ForAll @Size(min = 2, max = 5) List<@IntRange(min = 1, max = 9) Integer> weights,
            @ForAll @Size(min = 5, max = 5) List<@IntRange(min = 1, max = 50) Integer> costs) {
        FairQueue<Integer> queue = new FairQueue<>(10_000);
        for (int flow = 0; flow < weights.size(); flow++) {
            for (int i = 0; i < 1000; i++) {
                queue.offer("w" + flow, weights.get(flow), costs.get(flow), false, flow);
            }
        }
        double[] served = new double[weights.size()];
        for (int i = 0; i < 500; i++) {
            int flow = queue.poll(true);
            served[flow] += costs.get(flow) / (double) weights.get(flow);
        }
        for (int a = 0; a < served.length; a++) {
            for (int b = 0; b < served.length; b++) {
                double bound = costs.get(a) / (double) weights.get(a) + costs.get(b) / (double) weights.get(b);
                assertTrue(served[a] - served[b] <= bound + 1e-6, served[a] + " against " + served[b]);
            }
        }
    }

    @Property
    void everyItemLeavesOnceAndPeekAgreesWithPoll(@ForAll @Size(max = 200) List<@IntRange(max = 11) Integer> items) {
        FairQueue<Integer> queue = new FairQueue<>(1000);
        for (int i = 0; i < items.size(); i++) {
            queue.offer("w" + items.get(i) % 4, 1 + items.get(i) % 3, 1 + items.get(i), items.get(i) > 7, i);
        }
        List<Integer> polled = new ArrayList<>();
        while (!queue.isEmpty()) {
            boolean allowLong = polled.size() % 3 != 0;
            Integer next = queue.peek(allowLong);
            Integer item = queue.poll(allowLong);
            assertEquals(next, item);
            polled.add(item == null ? queue.poll(true) : item);
        }
        assertEquals(items.size(), polled.stream().distinct().count());
    }

    @Test
    void shortGoesBeforeLongButLongIsNotStarved() {
        FairQueue<String> queue = new FairQueue<>(100);
        queue.offer("w", 1, 1, true, "long");
        for (int i = 0; i < 20; i++) {
            queue.offer("w", 1, 1, false, "short" + i);
        }
        List<String> order = new ArrayList<>();
        while (!queue.isEmpty()) {
            order.add(queue.poll(true));
        }
        assertEquals(8, order.indexOf("long"));
    }

    @Test
    void longIsSkippedWhileNotAllowed() {
        FairQueue<String> queue = new FairQueue<>(100);
        queue.offer("a", 1, 1, true, "long");
        assertNull(queue.poll(false));
        queue.offer("b", 1, 100, false, "short");
        assertEquals("short", queue.poll(false));
        assertEquals(1, queue.size());
    }

    /** An idle workspace must not accumulate credit and then block the others. */
    @Test
    void idleWorkspaceAccumulatesNoCredit() {
        FairQueue<String> queue = new FairQueue<>(1000);
        for (int i = 0; i < 200; i++) {
            queue.offer("busy", 1, 1, false, "busy");
        }
        for (int i = 0; i < 100; i++) {
            queue.poll(true);
        }
        for (int i = 0; i < 100; i++) {
            queue.offer("idle", 1, 1, false, "idle");
        }
        int idle = 0;
        for (int i = 0; i < 50; i++) {
            idle += queue.poll(true).equals("idle") ? 1 : 0;
        }
        assertTrue(idle >= 24 && idle <= 26, "idle got " + idle + " of 50");
    }

    @Test
    void rejectsItemsAboveItsBoundUntilOthersAreRemoved() {
        FairQueue<Integer> queue = new FairQueue<>(2);
        assertTrue(queue.offer("a", 1, 1, false, 1));
        assertTrue(queue.offer("b", 1, 1, true, 2));
        assertFalse(queue.offer("c", 1, 1, false, 3));
        List<Integer> removed = new ArrayList<>();
        queue.removeIf(item -> item == 1, removed::add);
        assertEquals(List.of(1), removed);
        assertTrue(queue.offer("c", 1, 1, false, 3));
        assertEquals(2, queue.size());
    }
}
