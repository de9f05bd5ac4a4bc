package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against slow upstreams that keep their full weight, and against ones that regain it all at once. */
class OutlierDetectorTest {
    private static final long MILLI = 1_000_000L;
    private final OutlierDetector detector = new OutlierDetector();
    private long now = Long.MAX_VALUE - 60_000 * MILLI;

    private void assess(double ratio, long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            now += 10 * MILLI;
            detector.assess(ratio, now);
        }
    }

    @Test
    void weightFollowsTheRatio() {
        assess(1.9, 10);
        assertEquals(1, detector.weight());
        assess(3, 10);
        assertEquals(2.0 / 3, detector.weight(), 1e-9);
        assess(4.1, 10);
        assertTrue(detector.ejected());
    }

    @Test
    void recoversOverSecondsAfterALongSlowdown() {
        assess(5, 3000);
        assess(1, 1000);
        assertTrue(detector.weight() > 0 && detector.weight() < 0.3, "weight " + detector.weight());
        assess(1, 5000);
        assertEquals(1, detector.weight(), 1e-9);
    }

    /** A single stalled step must not reduce an upstream's weight for seconds. */
    @Test
    void recoversQuicklyAfterAShortStall() {
        assess(5, 20);
        assess(1, 260);
        assertEquals(1, detector.weight(), 1e-9);
    }

    @Test
    void failedProbesBackOffAndSuccessStartsRecovery() {
        detector.failure(Dispatcher.Failure.CONNECT, now);
        assertTrue(detector.ejected());
        assertFalse(detector.probeDue(now + 499 * MILLI));
        assertTrue(detector.probeDue(now + 500 * MILLI));
        now += 500 * MILLI;
        detector.probeSent(now);
        assertFalse(detector.probeDue(now + 999 * MILLI));
        assertTrue(detector.probeDue(now + 1000 * MILLI));
        assess(1, 2000);
        assertTrue(detector.ejected(), "a failed upstream must not recover without a probe");
        detector.probeSucceeded(now);
        assess(1, 100);
        assertTrue(detector.weight() > 0 && detector.weight() < 0.1, "weight " + detector.weight());
    }

    @Test
    void singleBrokenConnectionDoesNotEject() {
        detector.failure(Dispatcher.Failure.BROKEN, now);
        detector.failure(Dispatcher.Failure.REJECTED, now);
        assertFalse(detector.ejected());
        detector.success();
        detector.failure(Dispatcher.Failure.BROKEN, now);
        assertFalse(detector.ejected());
        detector.failure(Dispatcher.Failure.BROKEN, now);
        detector.failure(Dispatcher.Failure.BROKEN, now);
        assertTrue(detector.ejected());
    }
}
