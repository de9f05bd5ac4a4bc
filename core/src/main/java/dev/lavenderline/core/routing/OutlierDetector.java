package dev.lavenderline.core.routing;

/**
 * Weight of one upstream, derived from the ratio of its latency to the median of its group and from failures.
 *
 * <p>Up to a ratio of 2 the weight is 1; up to 4 it is {@code 2 / ratio}; above 4, or after failures, it is 0 and the
 * upstream only gets probes. A weight is reduced immediately and recovers gradually: recovery takes four times as long
 * as the slowdown lasted, at least 250 ms and at most 5 s. It requires evidence: tokens of open streams at a normal
 * rate, or a successful probe; after failures only a successful probe.
 */
final class OutlierDetector {
    static final double REDUCED_RATIO = 2;
    static final double EJECTED_RATIO = 4;
    private static final int FAILURES_TO_EJECT = 3;
    private static final long MIN_PROBE_DELAY_NANOS = 500_000_000L;
    private static final long MAX_PROBE_DELAY_NANOS = 4_000_000_000L;
    private static final long PROBE_OVERDUE_NANOS = 10_000_000_000L;
    private static final long MIN_RECOVERY_NANOS = 250_000_000L;
    private static final long MAX_RECOVERY_NANOS = 5_000_000_000L;
    private static final double RECOVERY_FACTOR = 4;
    private static final double INITIAL_RECOVERY_WEIGHT = 0.05;

    private double weight = 1;
    private boolean failed;
    private boolean latencyUnknown;
    private int consecutiveFailures;
    private long degradedSinceNanos;
    private long recoveryNanos = MIN_RECOVERY_NANOS;
    private long assessedNanos = Long.MIN_VALUE;
    private long nextProbeNanos;
    private long probeDelayNanos = MIN_PROBE_DELAY_NANOS;

    double weight() {
        return weight;
    }

    boolean ejected() {
        return weight == 0;
    }

    /** Returns whether only a probe can show that the upstream recovered. */
    boolean needsProbe() {
        return ejected() || (weight < 1 && latencyUnknown);
    }

    /**
     * Updates the weight.
     *
     * @param ratio latency relative to the median of the group, 0 if unknown
     */
    void assess(double ratio, long nowNanos) {
        latencyUnknown = ratio == 0;
        double target = failed ? 0 : latencyUnknown ? weight : target(ratio);
        if (target < weight) {
            if (weight >= 1) {
                degradedSinceNanos = nowNanos;
            }
            reduceWeight(target, nowNanos);
        } else if (target > weight) {
            long elapsed = assessedNanos == Long.MIN_VALUE ? 0 : nowNanos - assessedNanos;
            weight = Math.min(target, weight + elapsed / (double) recoveryNanos);
        } else if (weight < 1 && !latencyUnknown) {
            updateRecoveryTime(nowNanos);
        }
        assessedNanos = nowNanos;
    }

    private void reduceWeight(double target, long nowNanos) {
        if (weight >= 1) {
            probeDelayNanos = MIN_PROBE_DELAY_NANOS;
            nextProbeNanos = nowNanos + probeDelayNanos;
        }
        weight = target;
        updateRecoveryTime(nowNanos);
    }

    private void updateRecoveryTime(long nowNanos) {
        long scaledNanos = (long) ((nowNanos - degradedSinceNanos) * RECOVERY_FACTOR);
        recoveryNanos = Math.min(MAX_RECOVERY_NANOS, Math.max(MIN_RECOVERY_NANOS, scaledNanos));
    }

    private static double target(double ratio) {
        if (ratio > EJECTED_RATIO) {
            return 0;
        }
        return ratio > REDUCED_RATIO ? REDUCED_RATIO / ratio : 1;
    }

    /** Records a failure; a refused or silent connection ejects immediately, other failures after three in a row. */
    void failure(Dispatcher.Failure failure, long nowNanos) {
        consecutiveFailures++;
        boolean ejectsImmediately = failure == Dispatcher.Failure.CONNECT || failure == Dispatcher.Failure.SILENT;
        if (!ejectsImmediately && consecutiveFailures < FAILURES_TO_EJECT) {
            return;
        }
        if (weight >= 1) {
            degradedSinceNanos = nowNanos;
        }
        failed = true;
        reduceWeight(0, nowNanos);
        probeFailed(nowNanos);
        assessedNanos = nowNanos;
    }

    /** Records a complete answer. */
    void success() {
        consecutiveFailures = 0;
    }

    boolean probeDue(long nowNanos) {
        return needsProbe() && nowNanos - nextProbeNanos >= 0;
    }

    /** Returns whether a probe is so overdue that it is sent as a regular attempt if it cannot be a hedge. */
    boolean probeOverdue(long nowNanos) {
        return needsProbe() && nowNanos - nextProbeNanos >= PROBE_OVERDUE_NANOS;
    }

    /** Records that a probe was sent and schedules the next one; the delay doubles with each probe. */
    void probeSent(long nowNanos) {
        probeDelayNanos = Math.min(MAX_PROBE_DELAY_NANOS, 2 * probeDelayNanos);
        nextProbeNanos = nowNanos + probeDelayNanos;
    }

    /** Restarts the delay until the next probe when the last one fails. */
    void probeFailed(long nowNanos) {
        nextProbeNanos = nowNanos + probeDelayNanos;
    }

    /** Records a probe with normal latency; the weight starts to recover. */
    void probeSucceeded(long nowNanos) {
        failed = false;
        consecutiveFailures = 0;
        weight = Math.max(weight, INITIAL_RECOVERY_WEIGHT);
        probeDelayNanos = MIN_PROBE_DELAY_NANOS;
        assessedNanos = nowNanos;
    }
}
