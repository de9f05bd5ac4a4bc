package dev.lavenderline.node.cluster;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.Frame;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The other nodes as this node sees them. Liveness influences load distribution and takeover, never ownership.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public interface Cluster {
    /** Returns the name of this node. */
    String self();

    /** Returns whether an incarnation of a node is known to be live; true for this node's own. */
    boolean isLive(String incarnation);

    /** Returns the position of this node in the rendezvous hash order of the live nodes for a key, 0 for the first. */
    int rank(String key);

    /** Same as {@link #rank(String)}, but the nodes of a region precede all others. */
    int rank(String key, String preferredRegion);

    /** Returns the name of the node that controls the batch slots of an engine. */
    String controllerOf(Upstream engine);

    /** Returns the names of the other live nodes in this node's region. */
    Set<String> regionPeers();

    /** Sends a frame to a node; returns false if the connection to it is missing or congested. */
    boolean send(String node, Frame frame);

    /** Returns the name of a connected node with a higher configuration revision, if there is one. */
    Optional<String> peerWithNewerConfig(long revision);

    /** Returns the names of the connected nodes. */
    Set<String> connectedNodes();

    /** Returns whether other nodes are known and none of them is connected. */
    boolean isIsolated();

    /** Returns the members for the state dump. */
    Map<String, Object> state();
}
