package dev.lavenderline.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Settings of a dispatcher.
 *
 * @param retryRatio retries and hedges as a fraction of the requests, 0 to 1
 * @param minRetriesPerSecond retries per second allowed at any request rate; hedges never use them
 * @param retryBurst maximum number of unused retries that accumulate
 * @param priceThreshold reduction of the expected wait that justifies billed traffic to another region
 * @param queueBound maximum number of requests waiting in one group's queue
 * @param hedging whether hedges are sent
 * @param candidates maximum number of upstreams evaluated for one decision
 */
public record DispatcherOptions(
        double retryRatio,
        double minRetriesPerSecond,
        int retryBurst,
        Duration priceThreshold,
        int queueBound,
        boolean hedging,
        int candidates) {
    private static final DispatcherOptions DEFAULTS =
            new DispatcherOptions(0.1, 1, 5, Duration.ofMillis(150), 1000, true, 32);

    public DispatcherOptions {
        checkArgument(retryRatio >= 0 && retryRatio <= 1, "retryRatio is not between 0 and 1: %s", retryRatio);
        checkArgument(minRetriesPerSecond >= 0, "minRetriesPerSecond is negative: %s", minRetriesPerSecond);
        checkArgument(retryBurst >= 1, "retryBurst is below 1: %s", retryBurst);
        checkArgument(!priceThreshold.isNegative(), "priceThreshold is negative: %s", priceThreshold);
        checkArgument(queueBound >= 1, "queueBound is below 1: %s", queueBound);
        checkArgument(candidates >= 2, "candidates is below 2: %s", candidates);
    }

    /** Returns the default settings. */
    public static DispatcherOptions defaults() {
        return DEFAULTS;
    }

    /** Returns these settings with hedging on or off. */
    public DispatcherOptions withHedging(boolean enabled) {
        return new DispatcherOptions(
                retryRatio, minRetriesPerSecond, retryBurst, priceThreshold, queueBound, enabled, candidates);
    }

    /** Returns these settings with another queue bound. */
    public DispatcherOptions withQueueBound(int bound) {
        return new DispatcherOptions(
                retryRatio, minRetriesPerSecond, retryBurst, priceThreshold, bound, hedging, candidates);
    }

    /** Returns these settings with another price threshold. */
    public DispatcherOptions withPriceThreshold(Duration threshold) {
        return new DispatcherOptions(
                retryRatio, minRetriesPerSecond, retryBurst, threshold, queueBound, hedging, candidates);
    }
}
