package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping node takes and cuts off, and against rejecting what it could serve. */
class DrainAdmissionTest {
    private static final long EXIT_NANOS = Duration.ofMillis(7400).toNanos();
    private final DrainAdmission admission = new DrainAdmission(EXIT_NANOS);

    private boolean admits(long elapsedMillis, long limitMillis) {
        return admission.admits(Duration.ofMillis(elapsedMillis).toNanos(), Duration.ofMillis(limitMillis));
    }

    @Test
    void requestIsTakenAsLongAsItsTimeLimitPrecedesTheExit() {
        assertTrue(admits(0, 5000));
        assertTrue(admits(2300, 5000));
        assertFalse(admits(2301, 5000));
        assertTrue(admits(4000, 3000));
        assertFalse(admits(0, 15_000));
        assertFalse(admits(7400, 0));
    }
}
