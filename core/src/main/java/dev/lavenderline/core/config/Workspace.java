package dev.lavenderline.core.config;

import java.util.List;

/**
 * A tenant with its tokens and limits.
 *
 * @param name unique name
 * @param tokenSha256 SHA-256 of each accepted bearer token, lower-case hexadecimal
 * @param weight share relative to other workspaces when capacity is short, at least 1
 * @param requestsPerSecond sustained rate of online requests for each node, 0 for no limit
 * @param maxInFlight online requests in flight for each node, 0 for no limit
 * @param maxBatchItems unfinished batch items of all jobs together, 0 for no limit
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
