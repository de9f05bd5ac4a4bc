package dev.lavenderline.core.routing;

/**
 * Recent latency of one upstream as this node observed it. All durations are in nanoseconds; 0 stands for unknown.
 *
 * <p>Attempts with long prompts are not recorded, because their time to the first token says more of the prompt than of
 * the upstream.
 */
final class UpstreamStatistics {
    /** Share of the first-token time that each attempt ahead without a token adds. */
    static final double SHARE_PER_PENDING = 0.5;

    private static final long MAX_AGE_NANOS = 10_000_000_000L;
    private static final long REPORT_AGE_NANOS = 5_000_000_000L;
    private static final long SLICE_NANOS = 5_000_000_000L;
    private static final int SLICES = 4;

    private final DecayingAverage firstToken = new DecayingAverage(2e9, 0.4);
    private final DecayingAverage firstTokenBase = new DecayingAverage(2e9, 0.25);
    private final DecayingAverage interval = new DecayingAverage(2e8, 0);
    /** Slower average, so that single steps with a prefill do not show. */
    private final DecayingAverage steadyInterval = new DecayingAverage(1e9, 0);
    /** Allocated with the first sample, because most upstreams of a large fleet are unused by a node. */
    private SlidingHistogram firstTokens;

    private SlidingHistogram intervals;
    private long lastObservationNanos = Long.MIN_VALUE;

    /**
     * Records the time to a first token.
     *
     * @param ahead attempts of this node on the upstream that had no token yet when this one was sent
     */
    void firstToken(long nanos, int ahead, long nowNanos) {
        firstToken.add(nanos, nowNanos);
        firstTokenBase.add(nanos / (1 + SHARE_PER_PENDING * ahead), nowNanos);
        if (firstTokens == null) {
            firstTokens = new SlidingHistogram(SLICE_NANOS, SLICES);
        }
        firstTokens.add(nanos, nowNanos);
    }

    /** Records the interval between two tokens of one stream. */
    void interval(long nanos, long nowNanos) {
        interval.add(nanos, nowNanos);
        steadyInterval.add(nanos, nowNanos);
        if (intervals == null) {
            intervals = new SlidingHistogram(SLICE_NANOS, SLICES);
        }
        intervals.add(nanos, nowNanos);
    }

    /** Records that something arrived from the upstream. */
    void observed(long nowNanos) {
        lastObservationNanos = nowNanos;
    }

    long lastObservationNanos() {
        return lastObservationNanos;
    }

    double firstToken(long nowNanos) {
        return firstToken.fresh(nowNanos, MAX_AGE_NANOS) ? firstToken.value() : 0;
    }

    /** Returns the first-token time of an attempt with none ahead of it. */
    double firstTokenBase(long nowNanos) {
        return firstTokenBase.fresh(nowNanos, MAX_AGE_NANOS) ? firstTokenBase.value() : 0;
    }

    double interval(long nowNanos) {
        return interval.fresh(nowNanos, MAX_AGE_NANOS) ? interval.value() : 0;
    }

    int firstTokenSamples() {
        return firstToken.samples();
    }

    /** Returns the averages that are recent enough for peers. */
    double reportedFirstToken(long nowNanos) {
        return firstToken.fresh(nowNanos, REPORT_AGE_NANOS) ? firstToken.value() : 0;
    }

    double reportedInterval(long nowNanos) {
        return steadyInterval.fresh(nowNanos, REPORT_AGE_NANOS) ? steadyInterval.value() : 0;
    }

    long firstTokenQuantile(double q, long nowNanos) {
        return firstTokens == null ? 0 : firstTokens.quantile(q, nowNanos);
    }

    long intervalQuantile(double q, long nowNanos) {
        return intervals == null ? 0 : intervals.quantile(q, nowNanos);
    }

    /** Forgets the averages after the upstream recovered or was replaced. */
    void reset() {
        firstToken.reset();
        firstTokenBase.reset();
        interval.reset();
        steadyInterval.reset();
    }
}
