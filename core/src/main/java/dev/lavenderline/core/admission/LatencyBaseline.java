package dev.lavenderline.core.admission;

/** Average of a latency at times without batch, in microseconds. */
final class LatencyBaseline {
    private static final double SHARE = 0.1;

    private double micros;

    void add(double sample) {
        if (sample > 0) {
            micros = micros == 0 ? sample : micros + SHARE * (sample - micros);
        }
    }

    /** Returns the average, 0 if unknown. */
    double micros() {
        return micros;
    }
}
