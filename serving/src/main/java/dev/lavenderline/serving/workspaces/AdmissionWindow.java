package dev.lavenderline.serving.workspaces;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Admissions of the last {@link #SPAN} in periods of {@link #PERIOD}, from which the requests left of a quota follow.
 *
 * <p>Handles callers that send bursts after quiet times and admissions that become known late and out of order: unlike
 * the level of a token bucket, the counts can be added up from several nodes, corrected and rebuilt.
 *
 * <p>Invariant: whatever a token bucket of the same rate and burst admits is admitted. Beyond that, at most the
 * requests that accrue in one period and {@link #DELAY_TOLERANCE} are. Times must not decrease. Not thread-safe.
 */
public final class AdmissionWindow {
    /** Length of a period. */
    public static final Duration PERIOD = Duration.ofMillis(250);

    /** Time for which admissions count; the window in which users compare the requests with the quota. */
    public static final Duration SPAN = Duration.ofSeconds(5);

    /**
     * Difference between the delays of two messages from nodes in different regions. Requests that were sent within the
     * limit may arrive closer together by this time.
     */
    static final Duration DELAY_TOLERANCE = Duration.ofMillis(20);

    private static final long PERIOD_NANOS = PERIOD.toNanos();

    /** The periods that {@link #SPAN} covers completely, and the current one. */
    private static final int PERIODS = (int) SPAN.dividedBy(PERIOD) + 1;

    private final int[] counts = new int[PERIODS];
    private long newest;

    AdmissionWindow(long nowNanos) {
        newest = period(nowNanos);
    }

    private static long period(long nanos) {
        return Math.floorDiv(nanos, PERIOD_NANOS);
    }

    private static int index(long period) {
        return (int) Math.floorMod(period, (long) PERIODS);
    }

    private void advance(long nowNanos) {
        long current = period(nowNanos);
        long first = Math.max(newest + 1, current - PERIODS + 1);
        for (long period = first; period <= current; period++) {
            counts[index(period)] = 0;
        }
        newest = Math.max(newest, current);
    }

    private boolean covers(long period) {
        return period <= newest && period > newest - PERIODS;
    }

    /** Adds admissions of an earlier time; has no effect if that is over. */
    void add(long nowNanos, long atNanos, int admitted) {
        advance(nowNanos);
        long period = Math.min(newest, period(atNanos));
        if (covers(period)) {
            counts[index(period)] += admitted;
        }
    }

    /** Removes admissions that were added for a time. */
    void remove(long nowNanos, long atNanos, int admitted) {
        advance(nowNanos);
        long period = Math.min(newest, period(atNanos));
        if (covers(period)) {
            counts[index(period)] = Math.max(0, counts[index(period)] - admitted);
        }
    }

    /** Adds the admissions of another window. */
    void addAll(long nowNanos, AdmissionWindow other) {
        merge(nowNanos, other, 1);
    }

    /** Removes the admissions of another window that were added to this one. */
    void removeAll(long nowNanos, AdmissionWindow other) {
        merge(nowNanos, other, -1);
    }

    private void merge(long nowNanos, AdmissionWindow other, int sign) {
        advance(nowNanos);
        other.advance(nowNanos);
        for (int i = 0; i < PERIODS; i++) {
            counts[i] = Math.max(0, counts[i] + sign * other.counts[i]);
        }
    }

    /** Returns the number of admissions in the window. */
    int total(long nowNanos) {
        advance(nowNanos);
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }

    /** Returns the admissions in each period, the current one first, up to the oldest period with admissions. */
    public List<Integer> periods(long nowNanos) {
        advance(nowNanos);
        List<Integer> periods = new ArrayList<>();
        int known = 0;
        for (int i = 0; i < PERIODS; i++) {
            periods.add(counts[index(newest - i)]);
            known = counts[index(newest - i)] > 0 ? i + 1 : known;
        }
        return List.copyOf(periods.subList(0, known));
    }

    /**
     * Returns a window with what another node has counted. As the periods of the nodes begin at different times, each
     * count is added to the period before, so that no admission counts as later than it was.
     */
    static AdmissionWindow ofOtherNode(long nowNanos, List<Integer> periods) {
        AdmissionWindow window = new AdmissionWindow(nowNanos);
        for (int i = 0; i < Math.min(periods.size(), PERIODS - 1); i++) {
            window.counts[index(window.newest - i - 1)] = Math.max(0, periods.get(i));
        }
        return window;
    }

    /** Returns the requests left of a quota now: at most the burst, negative if too many were admitted. */
    double requestsLeft(long nowNanos, Quota quota) {
        advance(nowNanos);
        double left = quota.burst();
        long admitted = 0;
        for (int i = 0; i < PERIODS; i++) {
            admitted += counts[index(newest - i)];
            left = Math.min(left, quota.burst() + quota.requestsPerSecond() * age(nowNanos, i) - admitted);
        }
        return left;
    }

    /** Returns the time until one request is left of a quota if none is admitted meanwhile. */
    Duration timeUntilOneLeft(long nowNanos, Quota quota) {
        advance(nowNanos);
        double seconds = 0;
        long admitted = 0;
        for (int i = 0; i < PERIODS; i++) {
            admitted += counts[index(newest - i)];
            double missing = 1 - quota.burst() + admitted;
            seconds = Math.max(seconds, missing / quota.requestsPerSecond() - age(nowNanos, i));
        }
        return Duration.ofNanos((long) (Math.min(seconds, SPAN.toSeconds()) * 1e9));
    }

    /** Returns the seconds since the start of a period, with the tolerance. */
    private double age(long nowNanos, int periodsAgo) {
        long startNanos = (newest - periodsAgo) * PERIOD_NANOS;
        return (nowNanos - startNanos + DELAY_TOLERANCE.toNanos()) / 1e9;
    }
}
