package dev.lavenderline.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of a mesh. Bytes count frames with their length, without TCP and IP headers. Thread-safe. */
final class PeerMetrics {
    final Counter framesSent;
    final Counter framesReceived;
    final Counter bytesSent;
    final Counter bytesReceived;
    /** Frames that were not sent because the peer was not connected or its buffer was full. */
    final Counter framesRejected;

    final Counter silent;
    final Counter refused;
    final Counter malformed;

    PeerMetrics(MetricRegistry registry) {
        framesSent = registry.counter("peer.frames.sent");
        framesReceived = registry.counter("peer.frames.received");
        bytesSent = registry.counter("peer.bytes.sent");
        bytesReceived = registry.counter("peer.bytes.received");
        framesRejected = registry.counter("peer.frames.rejected");
        silent = registry.counter("peer.connections.silent");
        refused = registry.counter("peer.connections.refused");
        malformed = registry.counter("peer.connections.malformed");
    }

    void sent(int bytes) {
        framesSent.inc();
        bytesSent.inc(bytes);
    }

    void received(int bytes) {
        framesReceived.inc();
        bytesReceived.inc(bytes);
    }
}
