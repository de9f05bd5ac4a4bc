package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.SecondAnswer;
import java.time.Duration;
import java.util.List;

/**
 * Size, load and faults of a run.
 *
 * @param seed seed of all choices
 * @param duration time under load
 * @param nodes number of serving nodes
 * @param engines number of engines of the service of streams
 * @param slots requests that an engine runs at once
 * @param queue requests that wait at an engine; any further ones are refused
 * @param callers number of callers, each with one request at a time
 * @param places places of second answers
 * @param stutterShare share of answers that are sent twice, 0 to 1
 * @param breakShare share of answers that are reset or end early
 * @param failureShare share of requests that engines fail with 500
 * @param unframedShare share of answers that end with their connection
 */
public record SoakOptions(
        long seed,
        Duration duration,
        int nodes,
        int engines,
        int slots,
        int queue,
        int callers,
        List<SecondAnswer> places,
        double stutterShare,
        double breakShare,
        double failureShare,
        double unframedShare) {
    public SoakOptions {
        places = List.copyOf(places);
    }
}
