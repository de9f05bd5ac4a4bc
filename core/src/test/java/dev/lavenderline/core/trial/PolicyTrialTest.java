package dev.lavenderline.core.trial;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.routing.Dispatchers;
import java.util.Arrays;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Guards against a policy that loses sight of slow engines, lets long requests block short ones or pays for needless
 * traffic. Bounds are the targets of docs/design.md, section 3; figures are medians of five seeds.
 */
class PolicyTrialTest {
    private static final double SECONDS = 40;

    private static FleetTrial run(double rate, double stragglers, int slowed, long seed) {
        FleetTrial trial = new FleetTrial(
                new FleetTrial.Setup(Dispatchers.LATENCY_AWARE, rate, false, stragglers, slowed, 6, seed));
        trial.run(SECONDS);
        return trial;
    }

    private static double median(ToDoubleFunction<Long> figure) {
        double[] values = new double[5];
        for (int i = 0; i < values.length; i++) {
            values[i] = figure.applyAsDouble(i + 1L);
        }
        Arrays.sort(values);
        return values[2];
    }

    @Test
    void slowedEnginesHardlyShow() {
        double ratio = median(seed ->
                run(24, 0, 2, seed).percentile(0.99) / run(24, 0, 0, seed).percentile(0.99));
        assertTrue(ratio <= 1.5, "slowed_ratio " + ratio);
    }

    @Test
    void stragglersDoNotBlockShortRequests() {
        double ratio = median(seed ->
                run(14, 0.05, 0, seed).percentile(0.99) / run(14, 0, 0, seed).percentile(0.99));
        assertTrue(ratio <= 1.25, "hol_ratio " + ratio);
    }

    @Test
    void hedgesStayWithinTheBudget() {
        double ratio = median(seed -> {
            FleetTrial trial = run(24, 0, 2, seed);
            return trial.extra / (double) trial.requests;
        });
        assertTrue(ratio <= 0.1, "extra_ratio " + ratio);
    }

    @Test
    void requestsStayInTheirRegionWhileItHasCapacity() {
        double ratio = median(seed -> {
            FleetTrial trial = run(24, 0, 0, seed);
            return trial.remote / (double) trial.requests;
        });
        assertTrue(ratio <= 0.02, "requests sent to other regions " + ratio);
    }
}
