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
class SchedulerChoiceTest {
    private final ManualTime time = new ManualTime();

    private static NodeEntry node(String name, double capacity) {
        return new NodeEntry(name, "10.0.0.1", 7000, "a", 0, capacity);
    }

    private SchedulerChoice choice(List<NodeEntry> nodes) {
        SchedulerChoice choice = new SchedulerChoice(time);
        choice.replaceNodes(nodes);
        return choice;
    }

    @Test
    void selectionIsIndependentOfRegistrationOrder() {
        List<NodeEntry> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(node("n" + i, i % 3));
        }
        NodeEntry best = choice(nodes).firstFresh().orElseThrow();
        Collections.reverse(nodes);
        assertEquals(best, choice(nodes).firstFresh().orElseThrow());
        assertEquals(2, best.capacity());
    }

    /** Guards against restarted nodes taking the scheduler role back from nodes that kept running. */
    @Test
    void restartedNodeIsOrderedAfterRunningNodes() {
        NodeEntry old = new NodeEntry("old", "10.0.0.1", 7000, "a", 1_000, 1);
        NodeEntry first = new NodeEntry("first", "10.0.0.2", 7000, "a", 900, 1);
        NodeEntry restarted = new NodeEntry("first", "10.0.0.2", 7000, "a", 5_000, 1);
        assertEquals(
                "first", choice(List.of(old, first)).firstFresh().orElseThrow().name());
        assertEquals(
                "old",
                choice(List.of(old, restarted)).firstFresh().orElseThrow().name());
    }

    @Test
    void backoffOfUnresponsiveNodeGrowsWithEachFailure() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        choice.failed("big");
        assertEquals("small", choice.firstFresh().orElseThrow().name());
        time.advance(SchedulerChoice.INITIAL_BACKOFF);
        assertEquals("big", choice.firstFresh().orElseThrow().name());
        choice.failed("big");
        time.advance(SchedulerChoice.INITIAL_BACKOFF);
        assertEquals("small", choice.firstFresh().orElseThrow().name());
        time.advance(SchedulerChoice.MAX_BACKOFF);
        choice.responded("big", Duration.ZERO);
        assertEquals("big", choice.firstFresh().orElseThrow().name());
    }

    /** Guards against a store outage that affects only the scheduler's node, which would miss all new jobs. */
    @Test
    void staleNodeIsReplacedByFreshNode() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        choice.responded("big", SchedulerChoice.STALE_STATE_AGE.plusMillis(1));
        assertEquals("small", choice.firstFresh().orElseThrow().name());
        assertTrue(choice.mayTakeOver("small", Duration.ofSeconds(1)));
        time.advance(SchedulerChoice.STALE_BACKOFF);
        assertEquals("big", choice.firstFresh().orElseThrow().name());
        assertTrue(choice.mayTakeOver("big", Duration.ZERO));
    }

    /** Guards against repeated failovers: a store outage for all nodes made them change schedulers ten times. */
    @Test
    void schedulerStaysWhileAllNodesAreStale() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        Duration age = SchedulerChoice.STALE_STATE_AGE.plusSeconds(1);
        choice.responded("big", age);
        assertFalse(choice.mayTakeOver("small", age));
        assertTrue(choice.firstFresh().isEmpty());
        assertEquals("big", choice.firstCandidate().orElseThrow().name());
    }

    @Test
    void noNodeIsSelectedWhileAllAreInBackoff() {
        SchedulerChoice choice = choice(List.of(node("one", 1)));
        choice.failed("one");
        assertTrue(choice.firstFresh().isEmpty());
        time.advance(Duration.ofSeconds(3));
        assertEquals("one", choice.firstFresh().orElseThrow().name());
    }
}
