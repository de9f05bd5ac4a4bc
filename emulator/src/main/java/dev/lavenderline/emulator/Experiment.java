package dev.lavenderline.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

/** Plays a pattern with several policies over the same seeds and prints a table. Immutable. */
final class Experiment {
    private final LoadPattern pattern;
    private final int seeds;

    Experiment(LoadPattern pattern, int seeds) {
        this.pattern = pattern;
        this.seeds = seeds;
    }

    /** A run and the bound of the items in time for its load. */
    record Result(Outcome outcome, int boundOfItems) {}

    /** Plays all seeds, from 1, beside each other; the results are in order of the seeds. */
    List<Result> play(String policy) {
        return IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> {
                    Draws draws = Draws.draw(pattern, seed);
                    Outcome outcome = Emulation.run(pattern, Policies.named(policy), draws);
                    return new Result(outcome, Bound.itemsInTime(pattern, draws, outcome));
                })
                .toList();
    }

    /** Returns a table with the mean of each figure over the seeds, its lowest and its highest value. */
    String table(List<Result> results) {
        Map<String, List<Double>> values = new LinkedHashMap<>();
        results.forEach(result -> figures(result)
                .forEach((name, value) ->
                        values.computeIfAbsent(name, key -> new ArrayList<>()).add(value)));
        StringBuilder table = new StringBuilder();
        values.forEach((name, column) -> table.append(String.format(
                Locale.ROOT,
                "  %-34s %10.3f  [%.3f, %.3f]%n",
                name,
                column.stream().mapToDouble(value -> value).average().orElse(0),
                column.stream().mapToDouble(value -> value).min().orElse(0),
                column.stream().mapToDouble(value -> value).max().orElse(0))));
        return table.toString();
    }

    private static Map<String, Double> figures(Result result) {
        Map<String, Double> figures = new LinkedHashMap<>();
        Outcome outcome = result.outcome();
        outcome.kinds().forEach((name, kind) -> {
            figures.put(name + " sent", (double) kind.sent());
            figures.put(name + " in time", (double) kind.inTime());
            figures.put(name + " late", (double) kind.late);
            figures.put(name + " refused", (double) kind.refused);
            figures.put(name + " failed", (double) kind.failed);
            figures.put(name + " p50 ms", (double) kind.millis.getValueAtPercentile(50));
            figures.put(name + " p99 ms", (double) kind.millis.getValueAtPercentile(99));
            figures.put(name + " in time, largest tenth", kind.inTimeShareOfLargest());
        });
        figures.putAll(outcome.shares());
        figures.put("bound of items in time", (double) result.boundOfItems());
        figures.put("item runs", (double) outcome.itemRuns);
        figures.put("preemptions", (double) outcome.preemptions);
        figures.put("requests in 4 s, limited engine", (double) outcome.mostLimitedArrivals);
        figures.put("shared prompt tokens read", (double) outcome.prefilledSharedTokens);
        return figures;
    }
}
