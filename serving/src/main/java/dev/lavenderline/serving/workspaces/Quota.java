package dev.lavenderline.serving.workspaces;

/**
 * A limit on the rate of requests, of a workspace or of a part of the fleet. Immutable.
 *
 * @param requestsPerSecond sustained rate, greater than 0
 * @param burst number of requests that may exceed the rate at once
 */
record Quota(double requestsPerSecond, double burst) {
    /** Requests that one node may have admitted and not reported, as far as the shares of all nodes allow. */
    private static final double MIN_UNREPORTED = 2;

    private static final double UNREPORTED_PART_OF_BURST = 1.0 / 8;

    /**
     * Part of the burst that is left when a workspace becomes limited. The nodes' unreported admissions together stay
     * below it, so that they don't exceed the quota.
     */
    static final double LIMITED_BELOW = 1.0 / 4;

    /** Part of the rate of a second up to which unreported admissions are within the 10% that users allow beyond. */
    private static final double UNREPORTED_SECONDS = 0.4;

    /** Half of the 20 requests that users allow beyond any quota. */
    private static final double SPARE_REQUESTS = 10;

    static Quota of(Workspace workspace) {
        return new Quota(workspace.requestsPerSecond(), workspace.burst());
    }

    /**
     * Returns the number of requests that each node may have admitted and not reported. With many nodes and a small
     * quota it is 0: one request at each of 60 nodes would exceed a quota of 3 a second.
     */
    int unreportedPerNode(int nodes) {
        double perNode = Math.max(MIN_UNREPORTED, burst * UNREPORTED_PART_OF_BURST);
        double ofAllNodes = Math.min(burst * LIMITED_BELOW, requestsPerSecond * UNREPORTED_SECONDS) + SPARE_REQUESTS;
        return (int) Math.min(perNode, ofAllNodes / Math.max(1, nodes));
    }

    /** Returns a part of this quota, which is at least a given rate and burst if the whole is. */
    Quota part(double part, double minRate, double minBurst) {
        return new Quota(
                Math.max(requestsPerSecond * part, Math.min(requestsPerSecond, minRate)),
                Math.max(burst * part, Math.min(burst, minBurst)));
    }
}
