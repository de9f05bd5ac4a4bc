package dev.lavenderline.node.cluster;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.Frame;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The other nodes as this node sees them. Liveness steers load and takeover, never ownership.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public interface Cluster {
    /** Returns the name of this node. */
    String self();

    /** Returns whether a run of a node is known to be alive; true for this run. */
    boolean isLive(String incarnation);

    /** Returns the position of this node in the rendezvous order of the live nodes for a key, 0 for the first. */
    int rank(String key);

    /** As {@link #rank(String)}, with the nodes of a region before all others. */
    int rank(String key, String preferredRegion);

    /** Returns the name of the node that controls the batch slots of an engine. */
    String controllerOf(Upstream engine);

    /** Returns the names of the live nodes of this node's region, without this node. */
    Set<String> regionPeers();

    /** Sends a frame to a node; returns false if there is no connection to it or it is congested. */
    boolean send(String node, Frame frame);

    /** Returns the name of a connected node with a higher configuration revision, if there is one. */
    Optional<String> peerAhead(long revision);

    /** Returns the names of the connected nodes. */
    Set<String> connected();

    /** Returns whether other nodes are known and none of them is connected. */
    boolean isIsolated();

    /** Returns the members for the state dump. */
    Map<String, Object> state();
}
