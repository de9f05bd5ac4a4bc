package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a workspace that uses up the room for ends of jobs of the others. */
class EarlyEndsTest {
    private final EarlyEnds ends = new EarlyEnds();

    private static String job(int number, String workspace) {
        return JobIds.internal("j" + number, workspace);
    }

    @Test
    void oneWorkspaceLeavesRoomForTheOthers() {
        for (int i = 0; i < EarlyEnds.MAX_ENDS_OF_WORKSPACE; i++) {
            assertTrue(ends.hasRoomFor(job(i, "acme")));
            ends.add(job(i, "acme"), i);
            ends.add(job(i, "acme"), i + 1);
        }
        assertFalse(ends.hasRoomFor(job(-1, "acme")));
        assertTrue(ends.hasRoomFor(job(-1, "beta")));
        assertTrue(ends.hasRoomFor(job(-1, "")));
        assertTrue(ends.remove(job(7, "acme")));
        assertFalse(ends.remove(job(7, "acme")));
        assertTrue(ends.hasRoomFor(job(-1, "acme")));
        ends.removeIf(job -> true);
        assertEquals(0, ends.times().size());
        assertTrue(ends.hasRoomFor(job(-1, "acme")));
    }

    @Test
    void allCallersTogetherAreBounded() {
        for (int i = 0; i < EarlyEnds.MAX_ENDS; i++) {
            ends.add(job(i, i % 2 == 0 ? "" : "w" + i % 1000), i);
        }
        assertFalse(ends.hasRoomFor(job(-1, "")));
        assertFalse(ends.hasRoomFor(job(-1, "acme")));
    }
}
