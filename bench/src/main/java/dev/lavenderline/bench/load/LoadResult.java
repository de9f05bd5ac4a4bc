package dev.lavenderline.bench.load;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/**
 * What callers saw of a load; latencies count from the planned arrival. Not thread-safe.
 */
public final class LoadResult {
    private static final long HIGHEST_MICROS = Duration.ofMinutes(2).toNanos() / 1000;
    private static final int DIGITS = 3;

    private final Histogram firstToken = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram shortFirstToken = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram interval = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram total = new Histogram(HIGHEST_MICROS, DIGITS);
    private int sent;
    private int whole;
    private int refused;
    private int failed;
    private long tokens;

    void sent() {
        sent++;
    }

    void firstToken(Duration latency, boolean isLong) {
        record(firstToken, latency);
        if (!isLong) {
            record(shortFirstToken, latency);
        }
    }

    void interval(Duration latency) {
        record(interval, latency);
    }

    void whole(Duration latency, int tokenCount) {
        record(total, latency);
        tokens += tokenCount;
        whole++;
    }

    void refused() {
        refused++;
    }

    void failed() {
        failed++;
    }

    /** Adds the figures of another run. */
    void add(LoadResult other) {
        firstToken.add(other.firstToken);
        shortFirstToken.add(other.shortFirstToken);
        interval.add(other.interval);
        total.add(other.total);
        sent += other.sent;
        whole += other.whole;
        refused += other.refused;
        failed += other.failed;
        tokens += other.tokens;
    }

    /** Returns a percentile of the time to the first token in milliseconds. */
    public double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns a percentile of the time to the first token of the requests that are no stragglers, in milliseconds. */
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

    /** Returns the number of whole answers. */
    public int wholeCount() {
        return whole;
    }

    /** Returns the number of refusals (429, 503). */
    public int refusedCount() {
        return refused;
    }

    /** Returns the number of requests that ended in any other way. */
    public int failedCount() {
        return failed;
    }

    /** Returns the tokens of whole answers. */
    public long tokens() {
        return tokens;
    }

    private static void record(Histogram histogram, Duration latency) {
        histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(0, latency.toNanos() / 1000)));
    }
}
