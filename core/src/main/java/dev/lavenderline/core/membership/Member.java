package dev.lavenderline.core.membership;

/**
 * A node as this node knows it. Immutable.
 *
 * @param node name of the node, kept over restarts
 * @param incarnation one run of the node's process
 * @param address address for peer connections, {@code 10.0.0.7:7070}
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param draining whether the node announced its shutdown or its host is leaving; it gets no new work
 * @param configRevision newest configuration revision that the node reported
 * @param lastHeard time of the last direct or indirect news on {@link dev.lavenderline.core.Ticker#nanos()}
 * @param status liveness
 */
public record Member(
        String node,
        String incarnation,
        String address,
        String region,
        String failureDomain,
        boolean draining,
        long configRevision,
        long lastHeard,
        Status status) {
    /** Liveness as far as this node can tell. */
    public enum Status {
        LIVE,
        /** Silent for 1.5 s; still counts as live. */
        SUSPECT,
        /** Silent for 3 s, or reported as such by its neighbours. */
        GONE
    }
}
