package dev.lavenderline.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of a mesh. Byte counts include the length prefix of frames, but no TCP or IP headers. Thread-safe. */
final class PeerMetrics {
    final Counter framesSent;
    final Counter framesReceived;
    final Counter bytesSent;
    final Counter bytesReceived;
    /** Frames that were not sent because the peer was not connected or its buffer was full. */
    final Counter framesRejected;

    final Counter silentConnections;
    final Counter refusedConnections;
    final Counter malformedConnections;

    PeerMetrics(MetricRegistry registry) {
        framesSent = registry.counter("peer.frames.sent");
        framesReceived = registry.counter("peer.frames.received");
        bytesSent = registry.counter("peer.bytes.sent");
        bytesReceived = registry.counter("peer.bytes.received");
        framesRejected = registry.counter("peer.frames.rejected");
        silentConnections = registry.counter("peer.connections.silent");
        refusedConnections = registry.counter("peer.connections.refused");
        malformedConnections = registry.counter("peer.connections.malformed");
    }

    void frameSent(int bytes) {
        framesSent.inc();
        bytesSent.inc(bytes);
    }

    void frameReceived(int bytes) {
        framesReceived.inc();
        bytesReceived.inc(bytes);
    }
}
