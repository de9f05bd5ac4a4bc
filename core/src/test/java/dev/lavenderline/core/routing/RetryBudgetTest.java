package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against retries and hedges that multiply the load of an overloaded fleet. */
class RetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    /** Steps: 0-4 requests, 5-6 retry, 7 hedge, 8-9 time passes. */
    @Property
    void neverExceedsTheBound(@ForAll @Size(max = 400) List<@IntRange(max = 9) Integer> steps) {
        long start = Long.MAX_VALUE - SECOND;
        long now = start;
        RetryBudget budget = new RetryBudget(0.1, 1, 20, now);
        int requests = 0;
        int retries = 0;
        int hedges = 0;
        for (int step : steps) {
            if (step <= 4) {
                budget.requestStarted();
                requests++;
            } else if (step <= 6) {
                retries += budget.takeRetry(now) ? 1 : 0;
            } else if (step == 7) {
                hedges += budget.takeHedge() ? 1 : 0;
            } else {
                now += step * 40_000_000L;
            }
            double seconds = (now - start) / (double) SECOND;
            assertTrue(hedges <= 0.1 * requests + 1e-9, hedges + " hedges of " + requests + " requests");
            assertTrue(retries + hedges <= 0.1 * requests + seconds + 1 + 1e-9);
        }
    }

    /** At 100 requests a second the ratio alone allows more than the floor, so the floor must add no retries. */
    @Test
    void stormStaysWithinTheRatio() {
        long now = 0;
        RetryBudget budget = new RetryBudget(0.1, 1, 20, now);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            now += SECOND / 100;
            budget.requestStarted();
            retries += budget.takeRetry(now) ? 1 : 0;
        }
        assertTrue(retries <= 1001, "retries: " + retries);
        assertTrue(retries >= 990, "retries: " + retries);
    }

    @Test
    void floorAllowsOneRetryASecondWithoutTraffic() {
        RetryBudget budget = new RetryBudget(0.1, 1, 20, 0);
        assertTrue(budget.takeRetry(0));
        assertFalse(budget.takeRetry(SECOND / 2));
        assertTrue(budget.takeRetry(SECOND));
        assertFalse(budget.takeHedge());
    }

    @Test
    void unusedBudgetIsLimitedToTheBurst() {
        RetryBudget budget = new RetryBudget(0.1, 0, 20, 0);
        for (int i = 0; i < 10_000; i++) {
            budget.requestStarted();
        }
        int taken = 0;
        while (budget.takeRetry(0)) {
            taken++;
        }
        assertEquals(20, taken);
    }
}
