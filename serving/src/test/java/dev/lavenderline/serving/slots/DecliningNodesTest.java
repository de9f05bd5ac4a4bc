package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against avoidance that ends too early for a partitioned node, or too late for one that has read the jobs. */
class DecliningNodesTest {
    private static final Duration ROUND_TRIP = Duration.ofMillis(2);

    private final ManualTime time = new ManualTime();
    private final DecliningNodes nodes = new DecliningNodes(time);

    DecliningNodesTest() {
        time.advance(Duration.ofSeconds(1));
    }

    private boolean grantAndDecline() {
        long grant = time.nanos();
        time.advance(ROUND_TRIP);
        return nodes.declined("n1", grant);
    }

    /** Returns the time until the node is no longer avoided. */
    private Duration avoidance() {
        long start = time.nanos();
        while (nodes.avoided("n1")) {
            time.advance(Duration.ofMillis(1));
        }
        return Duration.ofNanos(time.nanos() - start);
    }

    @Test
    void periodDoublesUpToMaximumWhileNodeKeepsDeclining() {
        Duration expected = DecliningNodes.FIRST_PERIOD;
        for (int i = 0; i < 10; i++) {
            assertTrue(grantAndDecline(), "the node was not avoided");
            assertEquals(expected, avoidance());
            expected = expected.multipliedBy(2);
            expected = expected.compareTo(DecliningNodes.MAX_PERIOD) < 0 ? expected : DecliningNodes.MAX_PERIOD;
        }
    }

    @Test
    void itemsGivenTogetherCountAsOneDecline() {
        long grant = time.nanos();
        time.advance(ROUND_TRIP);
        for (int i = 0; i < 20; i++) {
            assertTrue(nodes.declined("n1", grant), "the node was not avoided when it got the items");
        }
        assertEquals(DecliningNodes.FIRST_PERIOD, avoidance());
    }

    @Test
    void declineOfAvoidedNodeIsReportedAndExtendsPeriod() {
        grantAndDecline();
        time.advance(ROUND_TRIP);
        assertFalse(grantAndDecline());
        assertEquals(DecliningNodes.FIRST_PERIOD.multipliedBy(2), avoidance());
    }

    @Test
    void runGivenAfterDeclineEndsAvoidance() {
        grantAndDecline();
        time.advance(ROUND_TRIP);
        nodes.ran("n1", time.nanos());
        assertFalse(nodes.avoided("n1"));
        assertEquals(0, nodes.extraItemLoad("n1"));
        grantAndDecline();
        assertEquals(DecliningNodes.FIRST_PERIOD, avoidance());
    }

    /** A node partitioned from the store still completes items of jobs that it read before. */
    @Test
    void runGivenBeforeDeclineDoesNotEndAvoidance() {
        long earlier = time.nanos();
        time.advance(ROUND_TRIP);
        grantAndDecline();
        nodes.ran("n1", earlier);
        assertTrue(nodes.avoided("n1"));
    }

    @Test
    void nodeThatJoinsAgainIsNotAvoided() {
        grantAndDecline();
        nodes.nodeLeft("n1");
        assertFalse(nodes.avoided("n1"));
    }
}
