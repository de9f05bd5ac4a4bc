package dev.lavenderline.serving.node;

import dev.lavenderline.serving.slots.NodeEntry;
import java.time.Duration;

/**
 * Settings of a serving process. Immutable.
 *
 * @param self how the node registers itself
 * @param callers address for callers
 * @param readiness address that tells whether the node takes callers
 * @param metrics address of the metrics
 * @param jobPartitions partitions of the job topic, the same on all nodes
 * @param recordBytes largest record of the store
 * @param resultsReadable time after its submission for which the results of a job have to be readable
 * @param grace time from the signal to stop until the process is killed
 */
public record ServingSettings(
        NodeEntry self,
        Address callers,
        Address readiness,
        Address metrics,
        int jobPartitions,
        int recordBytes,
        Duration resultsReadable,
        Duration grace) {
    /** An address to listen on. */
    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }
}
