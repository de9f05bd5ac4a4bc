package dev.lavenderline.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The scheduler's state for the state dump.
 *
 * @param jobs open jobs
 * @param engines engines that the node asked for slots or has items on
 */
public record BatchView(List<JobView> jobs, List<EngineView> engines) {
    public BatchView {
        jobs = List.copyOf(jobs);
        engines = List.copyOf(engines);
    }

    /**
     * One open job.
     *
     * @param queued items that can start at once
     * @param backingOff items that wait after a failed attempt
     * @param inFlight items on engines
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
     * @param granted slots of the grants that are valid now
     * @param usable slots that may be used now
     * @param inFlight items on the engine without those being cancelled
     * @param prefills items among them without a first token
     * @param pausedFor time until items start again after failures
     */
    public record EngineView(
            String upstream, int granted, int usable, int inFlight, int prefills, Duration pausedFor) {}
}
