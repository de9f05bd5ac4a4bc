package dev.lavenderline.core.routing;

/** Exponentially weighted average of samples at irregular times. */
final class DecayingAverage {
    private final double timeConstantNanos;
    private final double minWeight;
    private double value;
    private long lastNanos;
    private int samples;

    /**
     * @param timeConstantNanos age at which a sample's weight has fallen to 1/e
     * @param minWeight minimum weight of a new sample, so that a burst of samples is not ignored
     */
    DecayingAverage(double timeConstantNanos, double minWeight) {
        this.timeConstantNanos = timeConstantNanos;
        this.minWeight = minWeight;
    }

    void add(double sample, long nowNanos) {
        if (samples == 0) {
            value = sample;
        } else {
            double elapsed = Math.max(0, nowNanos - lastNanos);
            double weight = Math.max(minWeight, -Math.expm1(-elapsed / timeConstantNanos));
            value += weight * (sample - value);
        }
        samples++;
        lastNanos = nowNanos;
    }

    /** Returns the average, 0 if there is no sample. */
    double value() {
        return samples == 0 ? 0 : value;
    }

    int samples() {
        return samples;
    }

    /** Returns whether the last sample is at most this old. */
    boolean fresh(long nowNanos, long maxAgeNanos) {
        return samples > 0 && nowNanos - lastNanos <= maxAgeNanos;
    }

    void reset() {
        samples = 0;
    }
}
