package dev.lavenderline.core.routing;

import dev.lavenderline.core.Ticker;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Creates dispatchers by the name of their policy.
 *
 * <pre>{@code
 * LoadAwareDispatcher dispatcher = Dispatchers.create(
 *         Dispatchers.LATENCY_AWARE, DispatcherOptions.defaults(), Ticker.system(), random, locality);
 * }</pre>
 */
public final class Dispatchers {
    /** The lowest expected time to the first token, with outlier detection, hedging and region preference. */
    public static final String LATENCY_AWARE = "latency-aware";
    /** Each upstream in turn. */
    public static final String ROUND_ROBIN = "round-robin";
    /** The upstream with the fewest requests in flight from this node. */
    public static final String LEAST_IN_FLIGHT = "least-in-flight";

    private Dispatchers() {}

    /**
     * Creates a dispatcher.
     *
     * @throws IllegalArgumentException if the policy is unknown
     */
    public static LoadAwareDispatcher create(
            String policy, DispatcherOptions options, Ticker ticker, UniformRandomProvider random, Locality locality) {
        return switch (policy) {
            case LATENCY_AWARE -> new LatencyAwareDispatcher(options, ticker, random, locality);
            case ROUND_ROBIN -> new RoundRobinDispatcher(options, ticker, locality);
            case LEAST_IN_FLIGHT -> new LeastInFlightDispatcher(options, ticker, locality);
            default -> throw new IllegalArgumentException("unknown policy: " + policy);
        };
    }
}
