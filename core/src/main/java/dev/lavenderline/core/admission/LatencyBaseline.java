package dev.lavenderline.core.admission;

/** Moving average of a latency while the engine has no batch items, in microseconds. */
final class LatencyBaseline {
    private static final double SMOOTHING_FACTOR = 0.1;

    private double micros;

    void add(double sample) {
        if (sample > 0) {
            micros = micros == 0 ? sample : micros + SMOOTHING_FACTOR * (sample - micros);
        }
    }

    /** Returns the average, 0 if unknown. */
    double micros() {
        return micros;
    }
}
