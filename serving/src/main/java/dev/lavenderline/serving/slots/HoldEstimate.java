package dev.lavenderline.serving.slots;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Moving average of the time for which a slot is held, for each service. Not thread-safe. */
final class HoldEstimate {
    private static final double WEIGHT = 0.05;

    private final double initialSeconds;
    private final Map<String, Double> seconds = new HashMap<>();

    HoldEstimate(double initialSeconds) {
        this.initialSeconds = initialSeconds;
    }

    void record(String service, long nanos) {
        double sample = nanos / 1e9;
        seconds.put(service, seconds(service) + WEIGHT * (sample - seconds(service)));
    }

    /** Returns the services with at least one sample. */
    Set<String> services() {
        return seconds.keySet();
    }

    double seconds(String service) {
        return seconds.getOrDefault(service, initialSeconds);
    }
}
