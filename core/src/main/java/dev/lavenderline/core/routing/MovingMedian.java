package dev.lavenderline.core.routing;

import java.util.Arrays;

/** Median of the last values; recomputed after every few values. */
final class MovingMedian {
    private static final int WINDOW = 256;
    private static final int RECOMPUTE_EVERY = 16;

    private final int[] values = new int[WINDOW];
    private final int leastValues;
    private long added;
    private int median;

    /** @param leastValues number of values below which there is no median */
    MovingMedian(int leastValues) {
        this.leastValues = leastValues;
    }

    void add(int value) {
        values[(int) (added % WINDOW)] = value;
        added++;
        if (added == leastValues || added % RECOMPUTE_EVERY == 0) {
            int size = (int) Math.min(added, WINDOW);
            int[] sorted = Arrays.copyOf(values, size);
            Arrays.sort(sorted);
            median = sorted[(size - 1) / 2];
        }
    }

    /** Returns the median, 0 if there are too few values. */
    int median() {
        return added < leastValues ? 0 : median;
    }
}
