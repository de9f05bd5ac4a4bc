package dev.lavenderline.serving.slots;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run time of a batch item from its tokens. The time per token is an exponential moving average per
 * service, weighted by tokens, so that it does not depend on which sizes complete first. Under overload, items also wait while
 * they are preempted; the stretch tells by how much.
 *
 * <p>Not thread-safe.
 */
final class ItemTimeEstimate {
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Initial estimate of an item's run time, also used for an item whose tokens are not known. */
    private static final double INITIAL_SECONDS = 4;

    /** Upper bound of the stretch, so that an outage does not make all items look late for long. */
    private static final double MAX_STRETCH = 3;

    private final Map<String, Totals> totals = new HashMap<>();
    private final Map<String, Double> stretches = new HashMap<>();

    /** Moving averages of the run time and of the tokens of an item. */
    private record Totals(double seconds, double tokens) {}

    /** Records a complete run. */
    void record(String service, int tokens, long nanos) {
        double seconds = nanos / 1e9;
        Totals known = totals.getOrDefault(service, new Totals(seconds, tokens));
        totals.put(
                service,
                new Totals(
                        known.seconds + SMOOTHING_FACTOR * (seconds - known.seconds),
                        known.tokens + SMOOTHING_FACTOR * (tokens - known.tokens)));
    }

    /** Records the time from the first start of an item to its completion as a multiple of its run time. */
    void recordStretch(String service, double stretch) {
        double sample = Math.min(MAX_STRETCH, Math.max(1, stretch));
        stretches.put(service, stretch(service) + SMOOTHING_FACTOR * (sample - stretch(service)));
    }

    /** Returns the factor by which preemptions lengthen an item, 1 if there are none. */
    double stretch(String service) {
        return stretches.getOrDefault(service, 1.0);
    }

    /** Returns the time that an item of a service takes without interruption. */
    double seconds(String service, int tokens) {
        Totals known = totals.get(service);
        if (known == null) {
            return INITIAL_SECONDS;
        }
        return tokens == 0 || known.tokens == 0 ? known.seconds : known.seconds * tokens / known.tokens;
    }
}
