package dev.lavenderline.serving.slots;

/**
 * The expected cost of placing an online request on an upstream, in milliseconds of its caller's wait.
 *
 * <p>Answers the question when leaving the failure domain pays: under crests in which the own domain's engines are
 * full, when they are gone or slow, a round trip to another domain is shorter than the wait; with a free slot at home
 * it is not. As all terms have one unit, the same comparison decides how much goes and when it comes back: each request
 * that is placed elsewhere makes that place dearer for the next one.
 *
 * <p>Pure; immutable and thread-safe.
 */
final class PlacementCost {
    /** Time until the slot of a preempted item can be used, and the time in which the item's prompt is read again. */
    private static final double PREEMPTION_MILLIS = 40;

    /** Part of the mean hold time by which each running request delays the first event of another one. */
    private static final double CONTENTION = 0.0015;

    /** Extra time on a slow upstream: waiting in the queue of a sound one is worse, preempting an item is better. */
    private static final double SLOW_MILLIS = 70;

    /** Extra time on an upstream that has used up its limit; ranks like a slow one. */
    private static final double LIMITED_MILLIS = 65;

    /** An upstream on trial after an ejection: one request in thirty is lost there, which costs 0.9 s. */
    private static final double SUSPECTED_MILLIS = 30;

    /** An upstream that may be lost like others of the service: half of the 0.9 s that it may cost. */
    private static final double UNPROVEN_MILLIS = 450;

    /** Prompt tokens that an engine reads in a millisecond. */
    private static final double PREFILL_TOKENS_PER_MILLI = 66;

    /** Shared prompt tokens of a request that does not say how many it has. */
    private static final int USUAL_SHARED_TOKENS = 200;

    /** Size of a request and its response, in megabytes. */
    private static final double MEGABYTES = 0.006;

    private final Topology topology;

    /**
     * What is known of an upstream when a request is placed.
     *
     * @param slots number of requests that it runs concurrently
     * @param online online requests that it has
     * @param items batch items that it runs
     * @param prefixCached whether it may have the shared part of the prompt
     * @param suspected whether it has failed, and is not to be tried again before others are full
     * @param unproven whether it may be lost like others: it has failed and enough requests try such upstreams, or one
     *     has failed this request and it has not been reached lately
     */
    record Candidate(
            String failureDomain,
            int slots,
            int online,
            int items,
            boolean prefixCached,
            boolean slow,
            boolean suspected,
            boolean unproven,
            boolean limitUsedUp) {}

    /** The terms of an estimate, in milliseconds. */
    record Estimate(double slotWait, double prefill, double contention, double network, double risk, double price) {
        double total() {
            return slotWait + prefill + contention + network + risk + price;
        }
    }

    PlacementCost(Topology topology) {
        this.topology = topology;
    }

    /**
     * Estimates the cost of a placement.
     *
     * @param failureDomain failure domain of the requesting node
     * @param sharedTokens tokens of the shared part of the prompt, 0 if unknown
     * @param meanHoldSeconds mean time for which a request of the service holds a slot
     */
    Estimate estimate(Candidate candidate, String failureDomain, int sharedTokens, double meanHoldSeconds) {
        Topology.Distance distance = topology.distance(failureDomain, candidate.failureDomain());
        double holdMillis = meanHoldSeconds * 1000;
        int tokens = sharedTokens > 0 ? sharedTokens : USUAL_SHARED_TOKENS;
        return new Estimate(
                waitMillis(candidate, holdMillis),
                candidate.prefixCached() ? 0 : tokens / PREFILL_TOKENS_PER_MILLI,
                CONTENTION * holdMillis * Math.min(candidate.slots(), candidate.online() + candidate.items()),
                distance.roundTripMillis(),
                riskMillis(candidate),
                MEGABYTES * topology.millisPerMegabyte(distance));
    }

    private static double waitMillis(Candidate candidate, double holdMillis) {
        if (candidate.online() + candidate.items() < candidate.slots()) {
            return 0;
        }
        int queued = candidate.online() - candidate.slots();
        return queued < 0 ? PREEMPTION_MILLIS : PREEMPTION_MILLIS + holdMillis / candidate.slots() * (queued + 1);
    }

    private static double riskMillis(Candidate candidate) {
        return (candidate.slow() ? SLOW_MILLIS : 0)
                + (candidate.limitUsedUp() ? LIMITED_MILLIS : 0)
                + (candidate.suspected() ? SUSPECTED_MILLIS : 0)
                + (candidate.unproven() ? UNPROVEN_MILLIS : 0);
    }
}
