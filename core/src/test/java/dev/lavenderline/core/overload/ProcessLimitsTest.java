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
        assertEquals(4000, ProcessLimits.of(1000 * MB, 4000 * MB, 8200).connections());
        assertTrue(ProcessLimits.of(140 * MB, 88 * MB, 8200).connections() < 500);
        assertTrue(ProcessLimits.of(64 * MB, 1000 * MB, 8200).connections() < 2000);
    }

    /** The heap that the deploy file allows is larger than the memory of some machines. */
    @Test
    void smallMachinesServeOrdinaryCallersAndTheLargestRequest() {
        ProcessLimits limits = ProcessLimits.of(140 * MB, 88 * MB, 4100);
        assertTrue(limits.connections() >= 256, () -> limits.toString());
        long body = HeldMemory.ofBody(4 * MB);
        assertTrue(OverloadPolicy.fits(limits.heldBytes(), body, body, body));
        assertTrue(limits.heldBytes() <= 88 * MB / 4, () -> limits.toString());
    }

    @Test
    void memoryHeldFollowsTheMachine() {
        assertTrue(ProcessLimits.of(140 * MB, 130 * MB, 4100).heldBytes()
                < ProcessLimits.of(140 * MB, 160 * MB, 4100).heldBytes());
        assertEquals(
                140 * MB / 8 * 3, ProcessLimits.of(140 * MB, 258 * MB, 8200).heldBytes());
    }

    @Test
    void fewDescriptorsStillAcceptConnections() {
        assertTrue(ProcessLimits.of(140 * MB, 100 * MB, 100).connections() > 0);
    }
}
