package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
        return new NodeEntry(name, "10.0.0.1", 7000, "a", capacity);
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
        NodeEntry best = choice(nodes).best().orElseThrow();
        Collections.reverse(nodes);
        assertEquals(best, choice(nodes).best().orElseThrow());
        assertEquals(2, best.capacity());
    }

    @Test
    void nodeThatDoesNotAnswerIsPassedOverForLongerEachTime() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        choice.failed("big");
        assertEquals("small", choice.best().orElseThrow().name());
        time.advance(SchedulerChoice.FIRST_PASS);
        assertEquals("big", choice.best().orElseThrow().name());
        choice.failed("big");
        time.advance(SchedulerChoice.FIRST_PASS);
        assertEquals("small", choice.best().orElseThrow().name());
        time.advance(SchedulerChoice.LONGEST_PASS);
        choice.heard("big", false);
        assertEquals("big", choice.best().orElseThrow().name());
    }

    /** Replays an outage of the store for the scheduler's node alone, in which it would miss all new jobs. */
    @Test
    void nodeThatDoesNotHearFromTheStoreComesLast() {
        SchedulerChoice choice = choice(List.of(node("big", 2), node("small", 1)));
        choice.heard("big", true);
        assertEquals("small", choice.best().orElseThrow().name());
        choice.heard("small", true);
        assertEquals("big", choice.best().orElseThrow().name());
        choice.heard("big", false);
        assertEquals("big", choice.best().orElseThrow().name());
    }

    @Test
    void thereIsNoneWhenAllArePassedOver() {
        SchedulerChoice choice = choice(List.of(node("one", 1)));
        choice.failed("one");
        assertTrue(choice.best().isEmpty());
        time.advance(Duration.ofSeconds(3));
        assertEquals("one", choice.best().orElseThrow().name());
    }
}
