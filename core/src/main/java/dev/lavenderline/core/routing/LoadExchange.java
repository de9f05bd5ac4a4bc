package dev.lavenderline.core.routing;

import dev.lavenderline.proto.peer.UpstreamLoad;
import java.time.Instant;
import java.util.List;

/**
 * Exchange of load figures between a dispatcher and the rest of the node.
 *
 * <p>Not thread-safe; confined to the node's event loop. Upstreams that are not configured are ignored.
 */
public interface LoadExchange {
    /** Replaces a peer's figures for the named upstreams; its figures for other upstreams stay. */
    void peerLoads(String node, List<UpstreamLoad> loads);

    /** Removes all figures of a peer. */
    void peerGone(String node);

    /** Returns this node's own figures for every upstream that it uses or has used. */
    List<UpstreamLoad> loads();

    /**
     * Returns this node's own figures for the upstreams whose counts changed after a version.
     *
     * @param version result of an earlier call, 0 for all changes
     */
    LoadChange changedSince(long version);

    /** Returns the online requests of this node and its peers in flight on an upstream, 0 if it is not configured. */
    int onlineInFlight(String upstream);

    /** Sets the number of batch items that this node has in flight on an upstream. */
    void batchInFlight(String upstream, int items);

    /**
     * Records an engine's own load report. It only raises the occupancy, and only while it is newer than the last
     * answer or token that this node received from the upstream.
     *
     * @param asOf time that the report describes, on the wall clock
     */
    void loadReport(String upstream, int running, int waiting, Instant asOf);

    /** Returns the node's view of every upstream for the state dump. */
    List<UpstreamView> views();

    /**
     * Figures that changed.
     *
     * @param version argument for the next call of {@link LoadExchange#changedSince}
     * @param loads current figures of the upstreams that changed
     */
    record LoadChange(long version, List<UpstreamLoad> loads) {
        public LoadChange {
            loads = List.copyOf(loads);
        }
    }
}
