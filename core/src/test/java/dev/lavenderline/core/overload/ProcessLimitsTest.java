package dev.lavenderline.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against limits that don't fit the machine, or that ordinary callers meet. */
class ProcessLimitsTest {
    private static final long MB = 1 << 20;

    /** A body of the largest size that the pages allow has to be served in calm. */
    @Test
    void largestBodyFitsIntoTheShareOfLargeHoldings() {
        ProcessLimits limits = ProcessLimits.of(140 * MB, 258 * MB, 8200);
        assertTrue(OverloadPolicy.fits(
                limits.heldBytes(), 2 * HeldMemory.ofBody(4 * MB), 2 * HeldMemory.ofBody(4 * MB), 8 * MB));
        assertTrue(limits.connections() >= 1000, () -> limits.toString());
    }

    @Test
    void scarcestResourceLimitsConnections() {
        assertEquals(250, ProcessLimits.of(140 * MB, 1000 * MB, 700).connections());
        assertTrue(ProcessLimits.of(140 * MB, 230 * MB, 8200).connections() < 400);
        assertTrue(ProcessLimits.of(16 * MB, 1000 * MB, 8200).connections() < 400);
    }

    @Test
    void tinyMachinesStillAcceptConnections() {
        assertTrue(ProcessLimits.of(140 * MB, 100 * MB, 100).connections() > 0);
    }
}
