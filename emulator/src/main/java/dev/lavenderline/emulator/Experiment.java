package dev.lavenderline.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

/** Plays a pattern with several policies over the same seeds and prints a table. Not thread-safe. */
final class Experiment {
    private final LoadPattern pattern;
    private final int seeds;

    /** Value of a column in each run of a policy. */
    private final Map<String, List<Double>> values = new LinkedHashMap<>();

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
        values.clear();
        results.forEach(this::add);
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

    private void add(Result result) {
        Outcome outcome = result.outcome();
        outcome.kinds().forEach((name, kind) -> {
            record(name + " sent", kind.sent());
            record(name + " in time", kind.inTime());
            record(name + " late", kind.late);
            record(name + " refused", kind.refused);
            record(name + " failed", kind.failed);
            record(name + " p50 ms", kind.millis.getValueAtPercentile(50));
            record(name + " p99 ms", kind.millis.getValueAtPercentile(99));
            record(name + " largest tenth", kind.inTimeShare() == 0 ? 0 : kind.inTimeShareOfLargest());
        });
        record("bound of items in time", result.boundOfItems());
        record("item runs", outcome.itemRuns);
        record("preemptions", outcome.preemptions);
        record("shared prompt tokens read", outcome.prefilledSharedTokens);
    }

    private void record(String name, double value) {
        values.computeIfAbsent(name, key -> new ArrayList<>()).add(value);
    }
}
