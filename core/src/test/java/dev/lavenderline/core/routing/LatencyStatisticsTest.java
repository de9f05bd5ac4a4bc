package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against wrong percentiles and averages, on which hedging, outlier detection and batch admission rest. */
class LatencyStatisticsTest {
    private static final long MILLI = 1_000_000L;

    @Property
    void quantileIsAtMostOneBucketAboveTheExactOne(
            @ForAll @Size(min = 1, max = 300) List<@LongRange(min = 20_000, max = 100_000_000_000L) Long> values) {
        SlidingHistogram histogram = new SlidingHistogram(1000 * MILLI, 10);
        values.forEach(value -> histogram.add(value, 0));
        long[] sorted = values.stream().mapToLong(Long::longValue).sorted().toArray();
        for (double q : new double[] {0.01, 0.5, 0.95, 1}) {
            long exact = sorted[(int) Math.max(1, Math.ceil(q * sorted.length)) - 1];
            long estimate = histogram.quantile(q, 0);
            assertTrue(estimate >= exact * 0.9999 && estimate <= exact * 1.0906, estimate + " for " + exact);
        }
    }

    @Test
    void valuesLeaveTheWindow() {
        long start = Long.MAX_VALUE - 5000 * MILLI;
        SlidingHistogram histogram = new SlidingHistogram(1000 * MILLI, 3);
        histogram.add(100 * MILLI, start);
        histogram.add(MILLI, start + 1500 * MILLI);
        assertEquals(2, histogram.count(start + 1500 * MILLI));
        assertEquals(1, histogram.count(start + 3500 * MILLI));
        assertTrue(histogram.quantile(1, start + 3500 * MILLI) < 2 * MILLI);
        assertEquals(0, histogram.count(start + 4999 * MILLI + 1000 * MILLI - 1000 * MILLI));
    }

    /** Closed form: after a step from a to b the average is {@code b + (a - b) * exp(-t / T)}. */
    @Test
    void averageFollowsTheExponential() {
        DecayingAverage average = new DecayingAverage(200 * MILLI, 0);
        average.add(20, 0);
        for (int i = 1; i <= 40; i++) {
            average.add(100, i * 10 * MILLI);
        }
        assertEquals(100 - 80 * Math.exp(-2), average.value(), 1e-6);
    }

    @Test
    void medianIgnoresOutliers() {
        MovingMedian median = new MovingMedian(16);
        for (int i = 0; i < 15; i++) {
            median.add(i % 3 == 0 ? 3000 : 100);
        }
        assertEquals(0, median.median());
        median.add(100);
        assertEquals(100, median.median());
        int[] values = new int[256];
        Arrays.fill(values, 200);
        Arrays.stream(values).forEach(median::add);
        assertEquals(200, median.median());
    }
}
