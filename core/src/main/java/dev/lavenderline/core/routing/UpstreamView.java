package dev.lavenderline.core.routing;

import java.time.Duration;

/**
 * A node's view of one upstream.
 *
 * @param upstream name
 * @param group deployment or service
 * @param weight 0 to 1: 1 if healthy, 0 if it only gets probes
 * @param leaving whether it gets no new work
 * @param onlineInFlight online attempts of this node
 * @param longInFlight long requests among them
 * @param withoutToken attempts among them that have no token yet
 * @param peersInFlight online attempts of the peers
 * @param batchInFlight batch items of this node and the peers
 * @param outstandingTokens tokens that this node's attempts may still generate
 * @param firstToken recent average time to the first token, zero if unknown
 * @param firstTokenP95 95th percentile of the recent times to the first token, zero if unknown
 * @param tokenInterval recent average interval between tokens, zero if unknown
 * @param tokenIntervalP95 95th percentile of the recent token intervals, zero if unknown
 */
public record UpstreamView(
        String upstream,
        String group,
        double weight,
        boolean leaving,
        int onlineInFlight,
        int longInFlight,
        int withoutToken,
        int peersInFlight,
        int batchInFlight,
        long outstandingTokens,
        Duration firstToken,
        Duration firstTokenP95,
        Duration tokenInterval,
        Duration tokenIntervalP95) {}
