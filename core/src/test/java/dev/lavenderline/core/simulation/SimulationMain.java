package dev.lavenderline.core.simulation;

import dev.lavenderline.core.routing.Dispatchers;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Prints the ratios of docs/design.md, section 3, for each policy, as the median of five seeds. */
public final class SimulationMain {
    private static final double SECONDS = Integer.getInteger("seconds", 60);
    private static final int NODES = 6;
    /** Requests per second; 64 would occupy all sequences. */
    private static final double ONLINE_RATE = Integer.getInteger("rate", 24);

    private SimulationMain() {}

    public static void main(String[] args) {
        List<String> policies = args.length > 0
                ? List.of(args)
                : List.of(Dispatchers.LATENCY_AWARE, Dispatchers.LEAST_IN_FLIGHT, Dispatchers.ROUND_ROBIN);
        for (String policy : policies) {
            print(
                    policy,
                    "harm_ratio",
                    seed -> p99Millis(policy, ONLINE_RATE, true, 0, 0, seed)
                            / p99Millis(policy, ONLINE_RATE, false, 0, 0, seed));
            print(policy, "batch_share", seed -> {
                FleetSimulation simulation =
                        new FleetSimulation(new FleetSimulation.Setup(policy, ONLINE_RATE, true, 0, 0, NODES, seed));
                simulation.run(SECONDS);
                return simulation.batchShare();
            });
            print(
                    policy,
                    "hol_ratio",
                    seed -> p99Millis(policy, 14, false, 0.05, 0, seed) / p99Millis(policy, 14, false, 0, 0, seed));
            print(
                    policy,
                    "slowed_ratio",
                    seed -> p99Millis(policy, ONLINE_RATE, false, 0, 2, seed)
                            / p99Millis(policy, ONLINE_RATE, false, 0, 0, seed));
            print(policy, "extra_ratio", seed -> {
                FleetSimulation simulation =
                        new FleetSimulation(new FleetSimulation.Setup(policy, 24, true, 0, 2, NODES, seed));
                simulation.run(SECONDS);
                return simulation.hedges / (double) simulation.requests;
            });
            printDetails(policy);
        }
    }

    private static double p99Millis(
            String policy,
            double requestsPerSecond,
            boolean batch,
            double stragglerShare,
            int slowedEngines,
            long seed) {
        return new FleetSimulation(new FleetSimulation.Setup(
                        policy, requestsPerSecond, batch, stragglerShare, slowedEngines, NODES, seed))
                .run(SECONDS);
    }

    private static void print(String policy, String key, ToDoubleFunction<Long> result) {
        double[] values = new double[5];
        for (int i = 0; i < values.length; i++) {
            values[i] = result.applyAsDouble((long) i + 1);
        }
        Arrays.sort(values);
        System.out.printf(Locale.ROOT, "%-16s %-13s %8.3f   %s%n", policy, key, values[2], Arrays.toString(values));
    }

    private static void printDetails(String policy) {
        for (boolean batch : new boolean[] {false, true}) {
            for (int slowed : new int[] {0, 2}) {
                for (double stragglers : new double[] {0, 0.05}) {
                    double rate = stragglers > 0 ? 14 : 24;
                    FleetSimulation simulation = new FleetSimulation(
                            new FleetSimulation.Setup(policy, rate, batch, stragglers, slowed, NODES, 1));
                    simulation.run(SECONDS);
                    System.out.printf(
                            Locale.ROOT,
                            "  batch=%s slowed=%d stragglers=%.2f p50=%.0f p95=%.0f p99=%.0f max=%.0f n=%d refused=%d"
                                    + " extra=%d remote=%d batchDone=%d cancelled=%d engineWait=%.0f %s%n",
                            batch,
                            slowed,
                            stragglers,
                            simulation.percentile(0.5),
                            simulation.percentile(0.95),
                            simulation.percentile(0.99),
                            simulation.percentile(1),
                            simulation.requests,
                            simulation.refusedRequests,
                            simulation.hedges,
                            simulation.remoteAttempts,
                            simulation.batchFinished,
                            simulation.batchCancelled,
                            simulation.maxOnlineWaitMillis,
                            simulation.occupancy());
                }
            }
        }
    }
}
