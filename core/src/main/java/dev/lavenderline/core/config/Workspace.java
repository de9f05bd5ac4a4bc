package dev.lavenderline.core.config;

import java.util.List;

/**
 * A tenant with its access tokens and limits.
 *
 * @param name unique name
 * @param tokenSha256 SHA-256 of each accepted bearer token, lower-case hexadecimal
 * @param weight share relative to other workspaces when capacity is scarce, at least 1
 * @param requestsPerSecond sustained rate limit of online requests on each node, 0 for no limit
 * @param maxInFlight maximum number of online requests in flight on each node, 0 for no limit
 * @param maxBatchItems maximum number of unfinished batch items across all jobs, 0 for no limit
 */
public record Workspace(
        String name,
        List<String> tokenSha256,
        int weight,
        double requestsPerSecond,
        int maxInFlight,
        long maxBatchItems) {
    public Workspace {
        tokenSha256 = List.copyOf(tokenSha256);
    }
}
