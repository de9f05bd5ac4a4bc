package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against nodes that select different schedulers or keep one that is gone. */
class SchedulerSelectorTest {
    private final ManualTime time = new ManualTime();

    private static NodeEntry node(String name, double capacity) {
        return new NodeEntry(name, "10.0.0.1", 7000, "a", 0, capacity);
    }

    private SchedulerSelector selector(List<NodeEntry> nodes) {
        SchedulerSelector selector = new SchedulerSelector(time);
        selector.replaceNodes(nodes);
        return selector;
    }

    @Test
    void selectionIsIndependentOfRegistrationOrder() {
        List<NodeEntry> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(node("n" + i, i % 3));
        }
        NodeEntry best = selector(nodes).firstFresh().orElseThrow();
        Collections.reverse(nodes);
        assertEquals(best, selector(nodes).firstFresh().orElseThrow());
        assertEquals(2, best.capacity());
    }

    /** Guards against restarted nodes taking the scheduler role back from nodes that kept running. */
    @Test
    void restartedNodeIsOrderedAfterRunningNodes() {
        NodeEntry old = new NodeEntry("old", "10.0.0.1", 7000, "a", 1_000, 1);
        NodeEntry first = new NodeEntry("first", "10.0.0.2", 7000, "a", 900, 1);
        NodeEntry restarted = new NodeEntry("first", "10.0.0.2", 7000, "a", 5_000, 1);
        assertEquals(
                "first",
                selector(List.of(old, first)).firstFresh().orElseThrow().name());
        assertEquals(
                "old",
                selector(List.of(old, restarted)).firstFresh().orElseThrow().name());
    }

    @Test
    void backoffOfUnresponsiveNodeGrowsWithEachFailure() {
        SchedulerSelector selector = selector(List.of(node("big", 2), node("small", 1)));
        selector.failed("big");
        assertEquals("small", selector.firstFresh().orElseThrow().name());
        time.advance(SchedulerSelector.INITIAL_BACKOFF);
        assertEquals("big", selector.firstFresh().orElseThrow().name());
        selector.failed("big");
        time.advance(SchedulerSelector.INITIAL_BACKOFF);
        assertEquals("small", selector.firstFresh().orElseThrow().name());
        time.advance(SchedulerSelector.MAX_BACKOFF);
        selector.responded("big", Duration.ZERO);
        assertEquals("big", selector.firstFresh().orElseThrow().name());
    }

    /** Guards against a store outage that affects only the scheduler's node, which would miss all new jobs. */
    @Test
    void staleNodeIsReplacedByFreshNode() {
        SchedulerSelector selector = selector(List.of(node("big", 2), node("small", 1)));
        selector.responded("big", SchedulerSelector.STALE_STATE_AGE.plusMillis(1));
        assertEquals("small", selector.firstFresh().orElseThrow().name());
        assertTrue(selector.mayTakeOver("small", Duration.ofSeconds(1)));
        time.advance(SchedulerSelector.STALE_BACKOFF);
        assertEquals("big", selector.firstFresh().orElseThrow().name());
        assertTrue(selector.mayTakeOver("big", Duration.ZERO));
    }

    /** Guards against repeated failovers: a store outage for all nodes made them change schedulers ten times. */
    @Test
    void schedulerStaysWhileAllNodesAreStale() {
        SchedulerSelector selector = selector(List.of(node("big", 2), node("small", 1)));
        Duration age = SchedulerSelector.STALE_STATE_AGE.plusSeconds(1);
        selector.responded("big", age);
        assertFalse(selector.mayTakeOver("small", age));
        assertTrue(selector.firstFresh().isEmpty());
        assertEquals("big", selector.firstCandidate().orElseThrow().name());
    }

    @Test
    void noNodeIsSelectedWhileAllAreInBackoff() {
        SchedulerSelector selector = selector(List.of(node("one", 1)));
        selector.failed("one");
        assertTrue(selector.firstFresh().isEmpty());
        time.advance(Duration.ofSeconds(3));
        assertEquals("one", selector.firstFresh().orElseThrow().name());
    }
}
