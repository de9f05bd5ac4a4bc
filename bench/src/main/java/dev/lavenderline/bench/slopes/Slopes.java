package dev.lavenderline.bench.slopes;

import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;

/**
 * Measures how the cost of operations grows with their input size. Prints one line for each operation: the fitted
 * slope, its error and the measured points.
 *
 * <p>Each point is the median of several runs after warm-up runs. Single-threaded.
 */
public final class Slopes {
    private static final int WARM_UP_RUNS = 2;
    private static final int MEASURED_RUNS = 5;
    private static final int IDLE_NODES = 4;
    private static final Duration IDLE_WARM_UP = Duration.ofSeconds(20);
    private static final Duration IDLE_DURATION = Duration.ofSeconds(20);

    private Slopes() {}

    /** Runs all measurements; {@code --no-fleet} skips the one that starts processes. Returns the exit code. */
    public static int run(List<String> args) {
        measure("config.parse", "upstreams", "us", CoreCosts::parseUpstreams, 100, 400, 1600, 3700);
        measure("config.parse", "workspaces", "us", CoreCosts::parseWorkspaces, 100, 200, 400, 820);
        measure("config.change", "files", "us", CoreCosts::applyChange, 50, 100, 200, 400);
        measure("dispatch.decision", "engines", "us", CoreCosts::dispatch, 8, 50, 200, 400);
        measure("slots.tick", "engines", "us", CoreCosts::slotTick, 10, 50, 100, 400);
        measure("ledger.apply", "items", "us", CoreCosts::applyResults, 10_000, 20_000, 80_000, 160_000);
        measure("ledger.replay", "records", "us", CoreCosts::replayRecords, 500, 1000, 4000, 8000);
        measure("ledger.snapshot", "items", "bytes", CoreCosts::snapshotBytes, 10_000, 20_000, 80_000, 160_000);
        measure("ledger.restore", "items", "us", CoreCosts::restore, 10_000, 20_000, 80_000, 160_000);
        measure("ledger.jobs", "jobs", "us", CoreCosts::applyJobs, 500, 1000, 4000, 8000);
        measure("members.heartbeat", "members", "us", CoreCosts::heartbeat, 11, 100, 265, 530);
        measure("members.neighbours", "members", "us", CoreCosts::neighbours, 11, 100, 265, 530);
        if (!args.contains("--no-fleet")) {
            measureIdleNode();
        }
        return 0;
    }

    private static void measure(String name, String size, String unit, IntToDoubleFunction cost, int... sizes) {
        double[] costs = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            costs[i] = medianCost(cost, sizes[i]);
        }
        LinearFit fit = LinearFit.of(Arrays.stream(sizes).asDoubleStream().toArray(), costs);
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < sizes.length; i++) {
            points.append(String.format(Locale.ROOT, " %d:%.1f", sizes[i], costs[i]));
        }
        System.out.printf(
                Locale.ROOT,
                "SLOPE %s per %s: %.4f %s + %.1f %s, worst error %.0f%%, points%s%n",
                name,
                size,
                fit.slope(),
                unit,
                fit.intercept(),
                unit,
                fit.worstError() * 100,
                points);
    }

    private static double medianCost(IntToDoubleFunction cost, int size) {
        for (int i = 0; i < WARM_UP_RUNS; i++) {
            double ignored = cost.applyAsDouble(size);
        }
        double[] values = new double[MEASURED_RUNS];
        for (int i = 0; i < MEASURED_RUNS; i++) {
            values[i] = cost.applyAsDouble(size);
        }
        Arrays.sort(values);
        return values[MEASURED_RUNS / 2];
    }

    /** Prints the CPU, memory and peer traffic of a node without requests. */
    private static void measureIdleNode() {
        DeployedFleet.Builder builder =
                DeployedFleet.builder(Path.of("run", "slopes")).engines(8).nodes(IDLE_NODES);
        try (DeployedFleet fleet = builder.start()) {
            waitFor(IDLE_WARM_UP);
            LocalNode node = fleet.node(0);
            Duration cpuBefore = node.process().cpuTime();
            long sentBefore = peerBytesSent(node);
            long start = System.nanoTime();
            waitFor(IDLE_DURATION);
            double seconds = (System.nanoTime() - start) / 1e9;
            double cpu = node.process().cpuTime().minus(cpuBefore).toNanos() / 1e9 / seconds;
            System.out.printf(
                    Locale.ROOT,
                    "IDLE node of %d: %.2f%% of a core, %.0f MB resident, %.0f bytes/s of peer frames sent%n",
                    IDLE_NODES,
                    cpu * 100,
                    node.process().residentBytes() / 1e6,
                    (peerBytesSent(node) - sentBefore) / seconds);
        }
    }

    private static long peerBytesSent(LocalNode node) {
        return node.state()
                .map(state -> state.path("metrics").path("peer.bytes.sent").asLong())
                .orElse(0L);
    }

    private static void waitFor(Duration length) {
        long end = System.nanoTime() + length.toNanos();
        Poll.until(length + " have passed", length.plusSeconds(5), () -> System.nanoTime() >= end);
    }
}
