package dev.lavenderline.core.membership;

/**
 * A member of the cluster in this node's view. Immutable.
 *
 * @param node name of the node, unchanged by restarts
 * @param incarnation id of one run of the node's process
 * @param address address for peer connections, for example {@code 10.0.0.7:7070}
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param draining whether the node announced its shutdown or its host is leaving; such a node gets no new work
 * @param configRevision newest configuration revision that the node reported
 * @param lastHeard time of the last direct or indirect contact, on {@link dev.lavenderline.core.Ticker#nanos()}
 * @param status liveness as seen by this node
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
    /** Liveness of a member. */
    public enum Status {
        LIVE,
        /** A neighbour not heard from for 1.5 s; still counts as live. */
        SUSPECT,
        /** A neighbour not heard from for 3 s, or another member not heard from for 30 s or reported as gone. */
        GONE
    }
}
