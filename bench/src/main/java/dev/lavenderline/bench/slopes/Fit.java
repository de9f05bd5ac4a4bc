package dev.lavenderline.bench.slopes;

import java.util.Arrays;

/**
 * A straight line through measured points by least squares, weighted by the inverse square of the value, so that small
 * and large points count alike.
 *
 * @param slope cost of one unit
 * @param intercept cost at size 0
 * @param worstError largest relative difference between a point and the line
 */
record Fit(double slope, double intercept, double worstError) {
    /** Fits points; at least two different sizes are needed. */
    static Fit of(double[] sizes, double[] costs) {
        if (sizes.length != costs.length || Arrays.stream(sizes).distinct().count() < 2) {
            throw new IllegalArgumentException("need as many sizes as costs and two different sizes, have "
                    + Arrays.toString(sizes) + " and " + Arrays.toString(costs));
        }
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        for (int i = 0; i < sizes.length; i++) {
            double w = 1 / (costs[i] * costs[i]);
            weight += w;
            x += w * sizes[i];
            y += w * costs[i];
            xx += w * sizes[i] * sizes[i];
            xy += w * sizes[i] * costs[i];
        }
        double slope = (weight * xy - x * y) / (weight * xx - x * x);
        double intercept = (y - slope * x) / weight;
        double worst = 0;
        for (int i = 0; i < sizes.length; i++) {
            worst = Math.max(worst, Math.abs(intercept + slope * sizes[i] - costs[i]) / costs[i]);
        }
        return new Fit(slope, intercept, worst);
    }
}
