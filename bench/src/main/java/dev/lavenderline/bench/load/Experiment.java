package dev.lavenderline.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import java.time.Duration;
import java.util.List;

/**
 * Runs the phases of one round with one policy and records the results. Ratios compare phases of the same round,
 * because absolute times drift on a shared machine. Not thread-safe.
 */
final class Experiment {
    private static final int TOKENS = 16;
    private static final int BATCH_TOKENS = 32;
    private static final double LONG_SHARE = 0.05;
    private static final int LONG_FACTOR = 30;
    private static final double SLOW_FACTOR = 5;
    private static final int SLOW_ENGINES = 2;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

    private final String policy;
    private final DeployedFleet fleet;
    private final DeployedFleet engineFleet;
    private final LoadGenerator load;
    private final Measurements measurements;
    private final Scale scale;

    /**
     * Size of the experiment.
     *
     * @param engineCount number of engines of the deployment
     * @param length duration of a measured phase
     * @param requestsPerSecond mean rate of online requests
     * @param burst number of requests in a burst
     */
    record Scale(int engineCount, Duration length, double requestsPerSecond, int burst) {}

    Experiment(
            String policy,
            DeployedFleet fleet,
            DeployedFleet engineFleet,
            LoadGenerator load,
            Measurements measurements,
            Scale scale) {
        this.policy = policy;
        this.fleet = fleet;
        this.engineFleet = engineFleet;
        this.load = load;
        this.measurements = measurements;
        this.scale = scale;
    }

    /** Runs all phases; the seed determines the arrivals and prompts. */
    void run(long seed) {
        LoadPlan usual = LoadPlan.poisson(seed, scale.requestsPerSecond(), scale.length(), TOKENS, 0, 1);
        LoadPlan burst = LoadPlan.burst(seed, scale.burst(), TOKENS);
        warmUp(seed);
        LoadResult alone = runLoad(usual, false);
        record("alone_p50_ms", alone.firstTokenMillis(50));
        record("alone_p99_ms", alone.firstTokenMillis(99));
        record("alone_interval_p99_ms", alone.intervalMillis(99));
        LoadResult burstAlone = runLoad(burst, false);
        awaitIdle();
        measureWithBatch(usual, burst, alone, burstAlone, seed);
        awaitIdle();
        double extraRatio = measureHeadOfLineBlocking(alone, seed);
        awaitIdle();
        extraRatio = Math.max(extraRatio, measureWithSlowEngines(usual, alone));
        awaitIdle();
        record("extra_ratio", Math.max(extraRatio, measureRetryStorm(usual)));
        awaitIdle();
    }

    private void warmUp(long seed) {
        runLoad(
                LoadPlan.poisson(
                        seed + 1, scale.requestsPerSecond(), scale.length().dividedBy(3), TOKENS, 0, 1),
                false);
        awaitIdle();
    }

    private void measureWithBatch(LoadPlan usual, LoadPlan burst, LoadResult alone, LoadResult burstAlone, long seed) {
        BatchLoad batch = new BatchLoad(fleet);
        int items = (int) (EngineModel.STANDARD.tokensPerSecond(scale.engineCount())
                / BATCH_TOKENS
                * (scale.length().toSeconds() + 20)
                / fleet.nodes().size());
        batch.start(items, BATCH_TOKENS, policy + "-" + seed + "-");
        // Unmeasured: the slot limits of the engines take some round trips to converge.
        runLoad(
                LoadPlan.poisson(
                        seed + 2, scale.requestsPerSecond(), scale.length().dividedBy(2), TOKENS, 0, 1),
                false);
        int itemsBefore = batch.finishedItems();
        long start = System.nanoTime();
        LoadResult mixed = runLoad(usual, false);
        double seconds = (System.nanoTime() - start) / 1e9;
        int finishedItems = batch.finishedItems() - itemsBefore;
        record("harm_ratio", mixed.firstTokenMillis(99) / alone.firstTokenMillis(99));
        record("harm_interval_ratio", mixed.intervalMillis(99) / alone.intervalMillis(99));
        double spareTokensPerSecond =
                EngineModel.STANDARD.tokensPerSecond(scale.engineCount()) - mixed.tokens() / seconds;
        record("batch_share", finishedItems * BATCH_TOKENS / seconds / spareTokensPerSecond);
        record("batch_items_per_second", finishedItems / seconds);
        LoadResult burstMixed = runLoad(burst, false);
        record("yield_ms", Math.max(0, burstMixed.slowestFirstTokenMillis() - burstAlone.slowestFirstTokenMillis()));
        batch.stop();
    }

    private double measureHeadOfLineBlocking(LoadResult alone, long seed) {
        LoadPlan plan =
                LoadPlan.poisson(seed, scale.requestsPerSecond(), scale.length(), TOKENS, LONG_SHARE, LONG_FACTOR);
        long requestsBefore = upstreamRequests();
        LoadResult result = runLoad(plan, true);
        record("hol_ratio", result.shortFirstTokenMillis(99) / alone.firstTokenMillis(99));
        return extraRequestRatio(requestsBefore, result);
    }

    private double measureWithSlowEngines(LoadPlan usual, LoadResult alone) {
        ObjectNode fault = new ObjectMapper().createObjectNode();
        fault.put("slow_factor", SLOW_FACTOR)
                .put("for_ms", scale.length().plusSeconds(5).toMillis());
        for (int i = 0; i < SLOW_ENGINES; i++) {
            engineFleet
                    .localFleet()
                    .injectFault(engineFleet.upstreams().get("engine-" + i).port(), fault);
        }
        long requestsBefore = upstreamRequests();
        LoadResult result = runLoad(usual, false);
        record("slowed_ratio", result.firstTokenMillis(99) / alone.firstTokenMillis(99));
        record("slowed_p50_ms", result.firstTokenMillis(50));
        fault.put("slow_factor", 1).put("for_ms", 0);
        for (int i = 0; i < SLOW_ENGINES; i++) {
            engineFleet
                    .localFleet()
                    .injectFault(engineFleet.upstreams().get("engine-" + i).port(), fault);
        }
        return extraRequestRatio(requestsBefore, result);
    }

    /** All engines reject a number of requests at the start of the usual load. */
    private double measureRetryStorm(LoadPlan usual) {
        ObjectNode fault = new ObjectMapper().createObjectNode();
        fault.put("reject", (int) scale.requestsPerSecond() / 4);
        engineFleet.upstreams().values().stream()
                .filter(upstream -> upstream.name().startsWith("engine"))
                .forEach(upstream -> engineFleet.localFleet().injectFault(upstream.port(), fault));
        long requestsBefore = upstreamRequests();
        LoadResult result = runLoadToleratingFailures(usual, false);
        record("storm_whole_ratio", (double) result.completeCount() / result.sentCount());
        ObjectNode reset = new ObjectMapper().createObjectNode();
        reset.put("reject", 0);
        engineFleet.upstreams().values().stream()
                .filter(upstream -> upstream.name().startsWith("engine"))
                .forEach(upstream -> engineFleet.localFleet().injectFault(upstream.port(), reset));
        return extraRequestRatio(requestsBefore, result);
    }

    private double extraRequestRatio(long requestsBefore, LoadResult result) {
        double requests = upstreamRequests() - requestsBefore;
        return Math.max(0, requests / result.sentCount() - 1);
    }

    /** Returns the number of online requests that the engines received, without continuations of broken streams. */
    private long upstreamRequests() {
        long count = 0;
        for (DeployedFleet.Upstream upstream : engineFleet.upstreams().values()) {
            if (!upstream.name().startsWith("engine")) {
                continue;
            }
            JsonNode history = engineFleet.localFleet().get(upstream.url() + "/history");
            for (JsonNode request : history.path("requests")) {
                boolean isNew = request.path("first_index").asInt() == 0;
                count += isNew && request.path("class").asText().equals("online") ? 1 : 0;
            }
        }
        return count;
    }

    /** Runs a load and records the number of failed requests. */
    private LoadResult runLoad(LoadPlan plan, boolean abortLong) {
        LoadResult result = runLoadToleratingFailures(plan, abortLong);
        if (result.failedCount() > 0) {
            measurements.add(policy, "failed_requests", result.failedCount());
        }
        return result;
    }

    private LoadResult runLoadToleratingFailures(LoadPlan plan, boolean abortLong) {
        List<String> urls = fleet.nodes().stream().map(LocalNode::callersUrl).toList();
        return load.run(plan, () -> urls, abortLong);
    }

    /** Waits until no engine has work, so that a phase does not affect the next one. */
    private void awaitIdle() {
        Poll.until(
                "the engines are idle",
                IDLE_TIMEOUT,
                () -> engineFleet.upstreams().values().stream()
                        .filter(upstream -> upstream.name().startsWith("engine"))
                        .map(upstream -> engineFleet.localFleet().get(upstream.url() + "/v1/load"))
                        .allMatch(report -> report.path("running").asInt()
                                        + report.path("waiting").asInt()
                                == 0));
    }

    private void record(String key, double value) {
        measurements.add(policy, key, value);
    }
}
