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

/** Guards against nodes that disagree on the scheduler or insist on one that is gone. */
class SchedulerChoiceTest {
    private final ManualTime time = new ManualTime();

    private static NodeEntry node(String name, double capacity) {
        return new NodeEntry(name, "10.0.0.1", 7000, "a", 0, capacity);
    }

    private SchedulerChoice choice(List<NodeEntry> nodes) {
        SchedulerChoice choice = new SchedulerChoice(time);
        choice.nodes(nodes);
        return choice;
    }

    @Test
    void allNodesChooseTheSameWhateverTheOrderOfRegistration() {
        List<NodeEntry> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(node("n" + i, i % 3));
        }
        NodeEntry best = choice(nodes).fresh().orElseThrow();
        Collections.reverse(nodes);
        assertEquals(best, choice(nodes).fresh().orElseThrow());
        assertEquals(2, best.capacity());
    }

    /** Replays trouble-2 of gatewright-line: nodes that return from a stop must not take the duty back. */
    @Test
    void restartedNodeComesAfterThoseThatKeptRunning() {
        NodeEntry old = new NodeEntry("old", "10.0.0.1", 7000, "a", 1_000, 1);
        NodeEntry first = new NodeEntry("first", "10.0.0.2", 7000, "a", 900, 1);
        NodeEntry restarted = new NodeEntry("first", "10.0.0.2", 7000, "a", 5_000, 1);
        assertEquals("first", choice(List.of(old, first)).fresh().orElseThrow().name());
        assertEquals(
                "old", choice(List.of(old, restarted)).fresh().orElseThrow().name());
    }

    @Test
    void nodeThatDoesNotAnswerIsPassedOverForLongerEachTime() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        choice.failed("big");
        assertEquals("small", choice.fresh().orElseThrow().name());
        time.advance(SchedulerChoice.FIRST_PASS);
        assertEquals("big", choice.fresh().orElseThrow().name());
        choice.failed("big");
        time.advance(SchedulerChoice.FIRST_PASS);
        assertEquals("small", choice.fresh().orElseThrow().name());
        time.advance(SchedulerChoice.LONGEST_PASS);
        choice.heard("big", Duration.ZERO);
        assertEquals("big", choice.fresh().orElseThrow().name());
    }

    /** Replays an outage of the store for the scheduler's node alone, in which it would miss all new jobs. */
    @Test
    void staleNodeIsReplacedByAFreshOne() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        choice.heard("big", SchedulerChoice.STALE_AGE.plusMillis(1));
        assertEquals("small", choice.fresh().orElseThrow().name());
        assertTrue(choice.mayTakeOver("small", Duration.ofSeconds(1)));
        time.advance(SchedulerChoice.STALE_PASS);
        assertEquals("big", choice.fresh().orElseThrow().name());
        assertTrue(choice.mayTakeOver("big", Duration.ZERO));
    }

    /** Replays trouble-2 of gatewright-line, where an outage for all nodes made them change schedulers ten times. */
    @Test
    void nothingChangesWhileAllAreStale() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        Duration age = SchedulerChoice.STALE_AGE.plusSeconds(1);
        choice.heard("big", age);
        assertFalse(choice.mayTakeOver("small", age));
        assertTrue(choice.fresh().isEmpty());
        assertEquals("big", choice.any().orElseThrow().name());
    }

    @Test
    void thereIsNoneWhenAllArePassedOver() {
        SchedulerChoice choice = choice(List.of(node("one", 1)));
        choice.failed("one");
        assertTrue(choice.fresh().isEmpty());
        time.advance(Duration.ofSeconds(3));
        assertEquals("one", choice.fresh().orElseThrow().name());
    }
}
