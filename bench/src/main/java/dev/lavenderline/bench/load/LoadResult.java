package dev.lavenderline.bench.load;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of a load as callers saw them. Latencies start at the planned send time, so that delays of the
 * generator count too. Not thread-safe.
 */
public final class LoadResult {
    private static final long MAX_LATENCY_MICROS = Duration.ofMinutes(2).toNanos() / 1000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram firstToken = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram shortFirstToken = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram interval = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram total = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private int sent;
    private int complete;
    private int refused;
    private int failed;
    private long tokens;

    void recordSent() {
        sent++;
    }

    void recordFirstToken(Duration latency, boolean isLong) {
        record(firstToken, latency);
        if (!isLong) {
            record(shortFirstToken, latency);
        }
    }

    void recordInterval(Duration latency) {
        record(interval, latency);
    }

    void recordComplete(Duration latency, int tokenCount) {
        record(total, latency);
        tokens += tokenCount;
        complete++;
    }

    void recordRefused() {
        refused++;
    }

    void recordFailed() {
        failed++;
    }

    /** Adds the counts and latencies of another run. */
    void add(LoadResult other) {
        firstToken.add(other.firstToken);
        shortFirstToken.add(other.shortFirstToken);
        interval.add(other.interval);
        total.add(other.total);
        sent += other.sent;
        complete += other.complete;
        refused += other.refused;
        failed += other.failed;
        tokens += other.tokens;
    }

    /** Returns a percentile of the time to the first token in milliseconds. */
    public double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns a percentile of the time to the first token of short requests in milliseconds. */
    public double shortFirstTokenMillis(double percentile) {
        return shortFirstToken.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns a percentile of the interval between tokens in milliseconds. */
    public double intervalMillis(double percentile) {
        return interval.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns the longest time to the first token in milliseconds. */
    public double slowestFirstTokenMillis() {
        return firstToken.getMaxValue() / 1e3;
    }

    /** Returns the number of requests sent. */
    public int sentCount() {
        return sent;
    }

    /** Returns the number of complete responses. */
    public int completeCount() {
        return complete;
    }

    /** Returns the number of requests refused with status 429 or 503. */
    public int refusedCount() {
        return refused;
    }

    /** Returns the number of requests that ended in any other way. */
    public int failedCount() {
        return failed;
    }

    /** Returns the number of tokens in complete responses. */
    public long tokens() {
        return tokens;
    }

    private static void record(Histogram histogram, Duration latency) {
        histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, latency.toNanos() / 1000)));
    }
}
