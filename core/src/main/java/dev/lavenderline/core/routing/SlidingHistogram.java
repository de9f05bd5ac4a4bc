package dev.lavenderline.core.routing;

/**
 * Histogram of durations over a sliding window. Buckets grow by a factor of 2^(1/8), so a percentile is at most 9% too
 * high. The window advances in slices.
 */
final class SlidingHistogram {
    private static final int BUCKETS_PER_OCTAVE = 8;
    /** Durations below 2^14 ns (16 µs) share the first bucket. */
    private static final int MIN_EXPONENT = 14;
    /** Durations above 2^42 ns (73 minutes) share the last bucket. */
    private static final int MAX_EXPONENT = 42;

    private static final int BUCKETS = (MAX_EXPONENT - MIN_EXPONENT) * BUCKETS_PER_OCTAVE;

    private final long sliceNanos;
    private final int[][] slices;
    private final int[] totals = new int[BUCKETS];
    private long count;
    private long currentSlice = Long.MIN_VALUE;

    SlidingHistogram(long sliceNanos, int slices) {
        this.sliceNanos = sliceNanos;
        this.slices = new int[slices][BUCKETS];
    }

    void add(long nanos, long nowNanos) {
        advance(nowNanos);
        int bucket = bucket(nanos);
        slices[(int) Math.floorMod(currentSlice, (long) slices.length)][bucket]++;
        totals[bucket]++;
        count++;
    }

    long count(long nowNanos) {
        advance(nowNanos);
        return count;
    }

    /** Returns the upper bound of the bucket that holds the quantile, 0 if the window is empty. */
    long quantile(double q, long nowNanos) {
        advance(nowNanos);
        if (count == 0) {
            return 0;
        }
        long rank = Math.max(1, (long) Math.ceil(q * count));
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            rank -= totals[bucket];
            if (rank <= 0) {
                return upperBound(bucket);
            }
        }
        return upperBound(BUCKETS - 1);
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (currentSlice == Long.MIN_VALUE) {
            currentSlice = slice;
            return;
        }
        long steps = Math.min(slice - currentSlice, slices.length);
        for (long step = 1; step <= steps; step++) {
            int[] expired = slices[(int) Math.floorMod(currentSlice + step, (long) slices.length)];
            for (int bucket = 0; bucket < BUCKETS; bucket++) {
                totals[bucket] -= expired[bucket];
                count -= expired[bucket];
                expired[bucket] = 0;
            }
        }
        currentSlice = Math.max(currentSlice, slice);
    }

    private static int bucket(long nanos) {
        if (nanos < 1L << MIN_EXPONENT) {
            return 0;
        }
        double octaves = Math.log(nanos) / Math.log(2) - MIN_EXPONENT;
        return Math.min(BUCKETS - 1, (int) (octaves * BUCKETS_PER_OCTAVE));
    }

    private static long upperBound(int bucket) {
        return (long) Math.pow(2, MIN_EXPONENT + (bucket + 1) / (double) BUCKETS_PER_OCTAVE);
    }
}
