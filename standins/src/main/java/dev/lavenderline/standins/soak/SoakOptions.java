package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.FaultPlan;
import java.time.Duration;
import java.util.List;

/**
 * Size, load and faults of a run.
 *
 * @param duration time under load
 * @param nodes number of serving nodes
 * @param engines number of engines of the service of streams
 * @param slots requests that an engine runs at once
 * @param queue requests that wait at an engine; any further ones are refused
 * @param callers number of callers, each with one request at a time
 * @param jobClients number of clients of batch jobs
 * @param faults faults of engines; its seed is that of all choices
 * @param disturbers number of disturbances at a time
 * @param disturbances what may happen to the fleet
 */
public record SoakOptions(
        Duration duration,
        int nodes,
        int engines,
        int slots,
        int queue,
        int callers,
        int jobClients,
        FaultPlan faults,
        int disturbers,
        List<Disturbance> disturbances) {
    public SoakOptions {
        disturbances = List.copyOf(disturbances);
    }

    /** Returns options without disturbances of the fleet. */
    public static SoakOptions undisturbed(
            Duration duration, int nodes, int engines, int slots, int queue, int callers, FaultPlan faults) {
        return new SoakOptions(duration, nodes, engines, slots, queue, callers, 0, faults, 0, List.of());
    }
}
