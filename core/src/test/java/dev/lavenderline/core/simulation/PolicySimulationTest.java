package dev.lavenderline.core.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.routing.Dispatchers;
import java.util.Arrays;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Guards against a policy that sends requests to slow engines, lets long requests block short ones, hedges too much or
 * crosses regions needlessly. Bounds are the targets of docs/design.md, section 3; results are medians of five seeds.
 */
class PolicySimulationTest {
    private static final double SECONDS = 40;

    private static FleetSimulation run(double requestsPerSecond, double stragglerShare, int slowedEngines, long seed) {
        FleetSimulation simulation = new FleetSimulation(new FleetSimulation.Setup(
                Dispatchers.LATENCY_AWARE, requestsPerSecond, false, stragglerShare, slowedEngines, 6, seed));
        simulation.run(SECONDS);
        return simulation;
    }

    private static double median(ToDoubleFunction<Long> result) {
        double[] values = new double[5];
        for (int i = 0; i < values.length; i++) {
            values[i] = result.applyAsDouble(i + 1L);
        }
        Arrays.sort(values);
        return values[2];
    }

    @Test
    void slowedEnginesBarelyRaiseTheTailLatency() {
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
            FleetSimulation simulation = run(24, 0, 2, seed);
            return simulation.hedges / (double) simulation.requests;
        });
        assertTrue(ratio <= 0.1, "extra_ratio " + ratio);
    }

    @Test
    void requestsStayInTheirRegionWhileItHasCapacity() {
        double ratio = median(seed -> {
            FleetSimulation simulation = run(24, 0, 0, seed);
            return simulation.remoteAttempts / (double) simulation.requests;
        });
        assertTrue(ratio <= 0.02, "requests sent to other regions " + ratio);
    }
}
