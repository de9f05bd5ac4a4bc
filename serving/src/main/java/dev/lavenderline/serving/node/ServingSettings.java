package dev.lavenderline.serving.node;

import dev.lavenderline.core.overload.ProcessLimits;
import dev.lavenderline.serving.slots.NodeEntry;
import dev.lavenderline.serving.slots.Topology;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of a serving process. Immutable.
 *
 * @param self registration of this node
 * @param callers address that serves callers
 * @param readiness address of the readiness probe
 * @param metrics address of the metrics
 * @param jobPartitions number of partitions of the job topic, the same on all nodes
 * @param payloadPartitions number of partitions of the topic with the contents of jobs
 * @param maxRecordBytes largest record that the store accepts, in bytes
 * @param resultRetention time after its submission for which the results of a job have to be readable
 * @param gracePeriod time from the termination signal until the process is killed
 * @param keyRevocation time after the acknowledgement of a configuration without a key from which no request with that
 *     key may run; empty if there is no such bound
 * @param topology distances between failure domains, and the price of traffic between them
 * @param limits what the process may hold for all its callers
 */
public record ServingSettings(
        NodeEntry self,
        Address callers,
        Address readiness,
        Address metrics,
        int jobPartitions,
        int payloadPartitions,
        int maxRecordBytes,
        Duration resultRetention,
        Duration gracePeriod,
        Optional<Duration> keyRevocation,
        Topology topology,
        ProcessLimits limits) {
    /** A host and a port. */
    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }
}
