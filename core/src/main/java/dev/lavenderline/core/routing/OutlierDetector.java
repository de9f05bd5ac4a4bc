package dev.lavenderline.core.routing;

/**
 * Weight of one upstream, derived from the ratio of its latency to the median of its group and from failures.
 *
 * <p>Up to a ratio of 2 the weight is 1; up to 4 it is {@code 2 / ratio}; above 4, or after failures, it is 0 and the
 * upstream only gets probes. A weight falls at once and returns gradually: the return takes four times as long as the
 * slowdown lasted, at least 250 ms and at most 5 s. It returns only on evidence: tokens of open streams at a usual rate,
 * or a successful probe; after failures only after a probe.
 */
final class OutlierDetector {
    static final double REDUCED_RATIO = 2;
    static final double EJECTED_RATIO = 4;
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_PROBE_NANOS = 500_000_000L;
    private static final long LONGEST_PROBE_NANOS = 4_000_000_000L;
    private static final long OVERDUE_NANOS = 10_000_000_000L;
    private static final long SHORTEST_RETURN_NANOS = 250_000_000L;
    private static final long LONGEST_RETURN_NANOS = 5_000_000_000L;
    private static final double RETURN_FACTOR = 4;
    private static final double FIRST_WEIGHT = 0.05;

    private double weight = 1;
    private boolean failed;
    private boolean unknown;
    private int failuresInRow;
    private long slowSinceNanos;
    private long returnNanos = SHORTEST_RETURN_NANOS;
    private long assessedNanos = Long.MIN_VALUE;
    private long probeAtNanos;
    private long probeWaitNanos = FIRST_PROBE_NANOS;

    double weight() {
        return weight;
    }

    boolean ejected() {
        return weight == 0;
    }

    /** Returns whether only a probe can show that the upstream recovered. */
    boolean needsProbe() {
        return ejected() || (weight < 1 && unknown);
    }

    /**
     * Updates the weight.
     *
     * @param ratio latency relative to the median of the group, 0 if unknown
     */
    void assess(double ratio, long nowNanos) {
        unknown = ratio == 0;
        double target = failed ? 0 : unknown ? weight : target(ratio);
        if (target < weight) {
            if (weight >= 1) {
                slowSinceNanos = nowNanos;
            }
            fall(target, nowNanos);
        } else if (target > weight) {
            long elapsed = assessedNanos == Long.MIN_VALUE ? 0 : nowNanos - assessedNanos;
            weight = Math.min(target, weight + elapsed / (double) returnNanos);
        } else if (weight < 1 && !unknown) {
            lengthenReturn(nowNanos);
        }
        assessedNanos = nowNanos;
    }

    private void fall(double target, long nowNanos) {
        if (weight >= 1) {
            probeWaitNanos = FIRST_PROBE_NANOS;
            probeAtNanos = nowNanos + probeWaitNanos;
        }
        weight = target;
        lengthenReturn(nowNanos);
    }

    private void lengthenReturn(long nowNanos) {
        long lasted = (long) ((nowNanos - slowSinceNanos) * RETURN_FACTOR);
        returnNanos = Math.min(LONGEST_RETURN_NANOS, Math.max(SHORTEST_RETURN_NANOS, lasted));
    }

    private static double target(double ratio) {
        if (ratio > EJECTED_RATIO) {
            return 0;
        }
        return ratio > REDUCED_RATIO ? REDUCED_RATIO / ratio : 1;
    }

    /** Records a failure; a refused or silent connection ejects at once, other failures after three in a row. */
    void failure(Dispatcher.Failure failure, long nowNanos) {
        failuresInRow++;
        boolean atOnce = failure == Dispatcher.Failure.CONNECT || failure == Dispatcher.Failure.SILENT;
        if (!atOnce && failuresInRow < FAILURES_TO_EJECT) {
            return;
        }
        if (weight >= 1) {
            slowSinceNanos = nowNanos;
        }
        failed = true;
        fall(0, nowNanos);
        probeFailed(nowNanos);
        assessedNanos = nowNanos;
    }

    /** Records a complete answer. */
    void success() {
        failuresInRow = 0;
    }

    boolean probeDue(long nowNanos) {
        return needsProbe() && nowNanos - probeAtNanos >= 0;
    }

    /** Returns whether a probe is due for so long that it is sent without a second attempt. */
    boolean probeOverdue(long nowNanos) {
        return needsProbe() && nowNanos - probeAtNanos >= OVERDUE_NANOS;
    }

    /** Plans the next probe when one is sent; the wait doubles with each probe. */
    void probed(long nowNanos) {
        probeWaitNanos = Math.min(LONGEST_PROBE_NANOS, 2 * probeWaitNanos);
        probeAtNanos = nowNanos + probeWaitNanos;
    }

    /** Lets the wait for the next probe begin with the failure of the last one. */
    void probeFailed(long nowNanos) {
        probeAtNanos = nowNanos + probeWaitNanos;
    }

    /** Records a probe that was answered as fast as by other upstreams; the weight starts to return. */
    void probeSucceeded(long nowNanos) {
        failed = false;
        failuresInRow = 0;
        weight = Math.max(weight, FIRST_WEIGHT);
        probeWaitNanos = FIRST_PROBE_NANOS;
        assessedNanos = nowNanos;
    }
}
