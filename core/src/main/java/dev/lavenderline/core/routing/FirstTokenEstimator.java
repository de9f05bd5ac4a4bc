package dev.lavenderline.core.routing;

/** Estimates the time to the first token of a request sent to an upstream now. */
final class FirstTokenEstimator {
    private FirstTokenEstimator() {}

    /** Returns the expected time in nanoseconds. */
    static double estimate(UpstreamState state, UpstreamGroup group, long nowNanos) {
        double base = state.unloadedFirstToken(nowNanos);
        if (base == 0) {
            base = group.typicalFirstToken();
        }
        double interval = state.interval(nowNanos);
        if (interval == 0) {
            interval = group.medianInterval();
        }
        int sequences = Math.max(1, state.config().maxConcurrent());
        int occupancy = state.occupancy();
        double estimate =
                base * (1 + UpstreamStatistics.DELAY_PER_PENDING * state.pending(group.typicalFirstToken(), nowNanos))
                        + interval * Math.min(1.0, occupancy / (double) sequences);
        int online = state.totalOnline();
        if (online >= sequences) {
            // A sequence becomes available after the service time of a request divided by the number of sequences.
            estimate += (online - sequences + 1) * group.serviceTime() / sequences;
        } else if (occupancy >= sequences) {
            // Batch items are preempted within about two engine steps.
            estimate += 2 * interval;
        }
        return Math.max(estimate, state.oldestWithoutTokenNanos(nowNanos));
    }
}
