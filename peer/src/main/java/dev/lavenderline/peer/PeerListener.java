package dev.lavenderline.peer;

import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Hello;

/** Receives the events of peer connections; called only through the executor of the {@link PeerMesh}. */
public interface PeerListener {
    /** A peer connected. Not called if the connection replaces one to the same incarnation of the peer. */
    default void connected(Hello peer) {}

    /** The last connection to this incarnation of the peer was closed. */
    default void disconnected(Hello peer) {}

    /** A frame arrived; heartbeats are delivered too, the Hello is not. */
    void received(Hello peer, Frame frame);
}
