package dev.lavenderline.serving.slots;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run time of a batch item from its tokens. The time per token is an exponential moving average per
 * service, weighted by tokens, so that it does not depend on which sizes complete first.
 *
 * <p>Not thread-safe.
 */
final class ItemTimeEstimate {
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Initial estimate of an item's run time, also used for an item whose tokens are not known. */
    private static final double INITIAL_SECONDS = 4;

    private final Map<String, Totals> totals = new HashMap<>();

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

    /** Returns the time that an item of a service takes without interruption. */
    double seconds(String service, int tokens) {
        Totals known = totals.get(service);
        if (known == null) {
            return INITIAL_SECONDS;
        }
        return tokens == 0 || known.tokens == 0 ? known.seconds : known.seconds * tokens / known.tokens;
    }

    /** Returns the tokens that are left of an item that ran for a time; an item of unknown size counts as one token. */
    double tokensLeft(String service, int tokens, Duration ranFor) {
        double ran = ranFor.toNanos() / 1e9 / seconds(service, tokens);
        return Math.max(1, tokens) * Math.max(0, 1 - ran);
    }
}
