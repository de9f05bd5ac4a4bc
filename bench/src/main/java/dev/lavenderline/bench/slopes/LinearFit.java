package dev.lavenderline.bench.slopes;

import java.util.Arrays;

/**
 * A line fitted to measured points by weighted least squares. Weights are the inverse square of the cost, so that
 * relative errors of small and large costs count alike. Immutable.
 *
 * @param slope cost per unit of size
 * @param intercept cost at size 0
 * @param worstError largest difference between a point and the line, relative to the point
 */
record LinearFit(double slope, double intercept, double worstError) {
    /**
     * Fits a line to points.
     *
     * @throws IllegalArgumentException if the arrays differ in length or have fewer than two distinct sizes
     */
    static LinearFit of(double[] sizes, double[] costs) {
        if (sizes.length != costs.length || Arrays.stream(sizes).distinct().count() < 2) {
            throw new IllegalArgumentException(
                    "need arrays of equal length with at least two distinct sizes, got sizes " + Arrays.toString(sizes)
                            + " and costs " + Arrays.toString(costs));
        }
        double sumW = 0;
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < sizes.length; i++) {
            double w = 1 / (costs[i] * costs[i]);
            sumW += w;
            sumX += w * sizes[i];
            sumY += w * costs[i];
            sumXx += w * sizes[i] * sizes[i];
            sumXy += w * sizes[i] * costs[i];
        }
        double slope = (sumW * sumXy - sumX * sumY) / (sumW * sumXx - sumX * sumX);
        double intercept = (sumY - slope * sumX) / sumW;
        double worst = 0;
        for (int i = 0; i < sizes.length; i++) {
            worst = Math.max(worst, Math.abs(intercept + slope * sizes[i] - costs[i]) / costs[i]);
        }
        return new LinearFit(slope, intercept, worst);
    }
}
