package dev.lavenderline.core.admission;

/**
 * Limit on the batch items in flight on an engine, adapted by additive increase, multiplicative decrease (AIMD).
 *
 * <p>The limit grows by one per interval without harm to online requests. On harm it is multiplied by
 * {@value #DECREASE_FACTOR}, at most once per feedback delay. It never exceeds the current upper bound.
 */
final class BatchLimit {
    private static final double DECREASE_FACTOR = 0.7;
    /** Keeps a slot that an online request freed from being granted at once, as the next one often needs it back. */
    private static final long INCREASE_INTERVAL_NANOS = 200_000_000L;

    private static final long IDLE_INCREASE_INTERVAL_NANOS = 50_000_000L;
    /** Load reports reflect a decrease only once items are cancelled and the latencies of new tokens are averaged. */
    private static final long FEEDBACK_DELAY_NANOS = 300_000_000L;

    /** Delay of the first increase: two heartbeats, after which the controller knows every node's online requests. */
    private static final long START_DELAY_NANOS = 1_000_000_000L;

    private double limit = 1;
    private long intervalStartNanos;
    private long lastDecreaseNanos;

    /** Creates a limit of 1 that does not grow before all nodes have had time to report. */
    BatchLimit(long nowNanos) {
        intervalStartNanos = nowNanos + START_DELAY_NANOS;
        lastDecreaseNanos = nowNanos - FEEDBACK_DELAY_NANOS;
    }

    /** Effect of batch items on the latency of online requests. */
    enum Signal {
        /** There are no online requests; the limit may grow faster. */
        NONE,
        /** The latency is close to its baseline; the limit may grow. */
        GOOD,
        /** The latency is raised but tolerable; the limit stays. */
        HOLD,
        /** The latency is too high; the limit decreases. */
        BAD
    }

    /**
     * Adapts the limit.
     *
     * @param bound current upper bound
     */
    void update(Signal signal, int bound, long nowNanos) {
        if (signal == Signal.BAD && nowNanos - lastDecreaseNanos >= FEEDBACK_DELAY_NANOS) {
            limit = Math.max(1, limit * DECREASE_FACTOR);
            lastDecreaseNanos = nowNanos;
            intervalStartNanos = nowNanos;
        }
        long interval = signal == Signal.NONE ? IDLE_INCREASE_INTERVAL_NANOS : INCREASE_INTERVAL_NANOS;
        boolean mayIncrease = signal == Signal.NONE || signal == Signal.GOOD;
        if (limit >= bound) {
            limit = bound;
            intervalStartNanos = Math.max(intervalStartNanos, nowNanos);
        } else if (mayIncrease && nowNanos - intervalStartNanos >= interval) {
            limit = Math.min(bound, limit + 1);
            intervalStartNanos = nowNanos;
        } else if (!mayIncrease) {
            intervalStartNanos = Math.max(intervalStartNanos, nowNanos);
        }
    }

    /** Returns the limit, rounded down. */
    int slots() {
        return (int) limit;
    }
}
