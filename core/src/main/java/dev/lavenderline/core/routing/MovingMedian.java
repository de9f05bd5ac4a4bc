package dev.lavenderline.core.routing;

import java.util.Arrays;

/** Median of the last {@value #WINDOW} values, recomputed after every {@value #RECOMPUTE_EVERY} values. */
final class MovingMedian {
    private static final int WINDOW = 256;
    private static final int RECOMPUTE_EVERY = 16;

    private final int[] values = new int[WINDOW];
    private final int minValues;
    private long added;
    private int median;

    /** @param minValues minimum number of values for a median */
    MovingMedian(int minValues) {
        this.minValues = minValues;
    }

    void add(int value) {
        values[(int) (added % WINDOW)] = value;
        added++;
        if (added == minValues || added % RECOMPUTE_EVERY == 0) {
            int size = (int) Math.min(added, WINDOW);
            int[] sorted = Arrays.copyOf(values, size);
            Arrays.sort(sorted);
            median = sorted[(size - 1) / 2];
        }
    }

    /** Returns the median, 0 if there are too few values. */
    int median() {
        return added < minValues ? 0 : median;
    }
}
