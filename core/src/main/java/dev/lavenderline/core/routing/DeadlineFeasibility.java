package dev.lavenderline.core.routing;

/**
 * Checks whether a request can still meet its deadline. The estimate of its duration is optimistic, so that only
 * requests that would very likely be late are refused.
 */
final class DeadlineFeasibility {
    /** Shortest plausible duration of a request, as a fraction of the expected one. */
    private static final double MIN_TIME_FRACTION = 0.7;

    private DeadlineFeasibility() {}

    /**
     * @param remainingNanos time until the deadline
     * @param waitNanos expected time in the queue
     * @param firstTokenNanos expected time to the first token after sending
     * @param intervalNanos expected interval between tokens, 0 if unknown
     * @param tokens expected number of tokens
     */
    static boolean feasible(long remainingNanos, long waitNanos, long firstTokenNanos, long intervalNanos, int tokens) {
        if (remainingNanos <= 0) {
            return false;
        }
        double needed = waitNanos + firstTokenNanos + (double) intervalNanos * Math.max(0, tokens - 1);
        return needed * MIN_TIME_FRACTION <= remainingNanos;
    }
}
