package dev.lavenderline.peer;

import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Hello;

/** Receives what happens on peer connections; all calls are made through the executor of the {@link PeerMesh}. */
public interface PeerListener {
    /** A peer was connected. A connection that replaces another one to the same run of the peer is not reported. */
    default void connected(Hello peer) {}

    /** The last connection to this run of the peer was closed. */
    default void disconnected(Hello peer) {}

    /** A frame arrived, heartbeats included. */
    void received(Hello peer, Frame frame);
}
