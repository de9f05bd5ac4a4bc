package dev.lavenderline.serving.slots;

import java.util.HashMap;
import java.util.Map;

/** Moving average of the time for which online requests hold a slot. Not thread-safe. */
final class HoldEstimate {
    private static final double INITIAL_SECONDS = 0.7;
    private static final double WEIGHT = 0.05;

    private final Map<String, Double> seconds = new HashMap<>();

    void record(String service, long nanos) {
        double sample = nanos / 1e9;
        seconds.merge(service, sample, (before, now) -> before + WEIGHT * (now - before));
    }

    double seconds(String service) {
        return seconds.getOrDefault(service, INITIAL_SECONDS);
    }
}
