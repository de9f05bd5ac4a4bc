package dev.lavenderline.serving.slots;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Exponential moving average of slot hold times, per service. Not thread-safe. */
final class HoldTimeEstimate {
    private static final double SMOOTHING_FACTOR = 0.05;

    private final double initialSeconds;
    private final Map<String, Double> meanSeconds = new HashMap<>();

    HoldTimeEstimate(double initialSeconds) {
        this.initialSeconds = initialSeconds;
    }

    void record(String service, long nanos) {
        double sample = nanos / 1e9;
        meanSeconds.put(service, meanSeconds(service) + SMOOTHING_FACTOR * (sample - meanSeconds(service)));
    }

    /** Returns the services with at least one sample. */
    Set<String> services() {
        return meanSeconds.keySet();
    }

    double meanSeconds(String service) {
        return meanSeconds.getOrDefault(service, initialSeconds);
    }
}
