package dev.lavenderline.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Snapshot of the batch scheduler for the state dump; component names are keys of the dump.
 *
 * @param jobs open jobs
 * @param engines engines that the node requested slots of or has items on
 */
public record BatchView(List<JobView> jobs, List<EngineView> engines) {
    public BatchView {
        jobs = List.copyOf(jobs);
        engines = List.copyOf(engines);
    }

    /**
     * One open job.
     *
     * @param queued items that are ready to start
     * @param backingOff items that wait for their next attempt after a failed one
     * @param inFlight items in flight, including those being cancelled
     * @param done items with a result
     */
    public record JobView(
            String id,
            String workspace,
            String deployment,
            Instant deadline,
            int queued,
            int backingOff,
            int inFlight,
            int done,
            boolean atRisk) {}

    /**
     * One engine.
     *
     * @param granted slots granted by the grants that are valid now
     * @param usable granted slots that may be used now
     * @param inFlight items in flight on the engine, excluding those being cancelled
     * @param prefills those of these items without a first token
     * @param pausedFor time until items may start again after failures
     */
    public record EngineView(
            String upstream, int granted, int usable, int inFlight, int prefills, Duration pausedFor) {}
}
