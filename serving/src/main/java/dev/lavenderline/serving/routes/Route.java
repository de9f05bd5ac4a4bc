package dev.lavenderline.serving.routes;

import java.time.Duration;
import java.util.List;

/**
 * A route of the operators' configuration. Immutable.
 *
 * @param name unique name
 * @param host value of the Host header, in lower case
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time for which a request may be kept waiting
 * @param latencyTarget time within which an answer is on time; for streams the time to the first event, for jobs the
 *     time to the acknowledgement
 * @param priority rank, 0 is the highest
 * @param services services that get the traffic, at least one
 * @param attempts largest number of upstreams on which one request may run
 * @param resumable whether a stream may continue on another upstream
 * @param maxPause longest pause between events that is on time; zero if the route has none
 * @param completionTarget time after which the results of a job are due
 * @param retention time after which an item of a job may be abandoned
 * @param maxWaitingTokens tokens of unfinished items that all callers together may have; 0 means no limit
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration latencyTarget,
        int priority,
        List<WeightedService> services,
        int attempts,
        boolean resumable,
        Duration maxPause,
        Duration completionTarget,
        Duration retention,
        long maxWaitingTokens) {
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /** Returns whether a request that may have run can be sent to another upstream. */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }
}
