package dev.lavenderline.core.admission;

/**
 * Number of batch items that an engine may hold: additive increase, multiplicative decrease.
 *
 * <p>The limit grows by one for each period without harm to online requests and falls by {@value #DECREASE} at most once
 * for each feedback delay. It never exceeds the upper bound of the moment.
 */
final class BatchLimit {
    private static final double DECREASE = 0.7;
    /** A slot that returns at once after an online request ended is often taken away by the next one. */
    private static final long INCREASE_NANOS = 200_000_000L;

    private static final long INCREASE_WITHOUT_ONLINE_NANOS = 50_000_000L;
    /** Reports show the effect of a decrease after the items were cancelled and new tokens were averaged. */
    private static final long FEEDBACK_NANOS = 300_000_000L;

    /** A new controller has every node's online counts after two heartbeats. */
    private static final long SETTLE_NANOS = 1_000_000_000L;

    private double limit = 1;
    private long changedNanos;
    private long decreasedNanos;

    /** Starts with a limit of 1, which does not grow before all nodes had the time to report. */
    BatchLimit(long nowNanos) {
        changedNanos = nowNanos + SETTLE_NANOS;
        decreasedNanos = nowNanos - FEEDBACK_NANOS;
    }

    /** What the latency of online requests says about batch. */
    enum Signal {
        /** There are no online requests. */
        NONE,
        /** Batch does no harm. */
        GOOD,
        /** The latency is near its limit. */
        HOLD,
        /** Batch does harm. */
        BAD
    }

    /**
     * Adapts the limit.
     *
     * @param bound upper bound at the moment
     */
    void update(Signal signal, int bound, long nowNanos) {
        if (signal == Signal.BAD && nowNanos - decreasedNanos >= FEEDBACK_NANOS) {
            limit = Math.max(1, limit * DECREASE);
            decreasedNanos = nowNanos;
            changedNanos = nowNanos;
        }
        long period = signal == Signal.NONE ? INCREASE_WITHOUT_ONLINE_NANOS : INCREASE_NANOS;
        boolean mayGrow = signal == Signal.NONE || signal == Signal.GOOD;
        if (limit >= bound) {
            limit = bound;
            changedNanos = Math.max(changedNanos, nowNanos);
        } else if (mayGrow && nowNanos - changedNanos >= period) {
            limit = Math.min(bound, limit + 1);
            changedNanos = nowNanos;
        } else if (!mayGrow) {
            changedNanos = Math.max(changedNanos, nowNanos);
        }
    }

    /** Returns the whole number of items that are allowed. */
    int slots() {
        return (int) limit;
    }
}
