package dev.lavenderline.serving.routes;

import java.time.Duration;
import java.util.List;

/**
 * A route in the operators' configuration. Immutable.
 *
 * @param name unique name
 * @param host value of the Host header, in lower case
 * @param pathPrefix prefix of the path; starts and ends with a slash
 * @param kind kind of its requests, which determines whether they may run more than once
 * @param timeout maximum duration of a request
 * @param latencyTarget target for the time to the response; for streams to the first event, for jobs to the
 *     acknowledgement
 * @param priority priority, 0 is the highest
 * @param services services that receive the traffic, at least one
 * @param attempts maximum number of upstreams on which one request may run
 * @param resumable whether another upstream may continue an interrupted stream
 * @param maxEventGap target for the longest gap between the events of a stream, zero if there is none
 * @param completionTarget time from the acceptance of a job until its results are due
 * @param retention time from the acceptance of a job until its unfinished items may be abandoned
 * @param maxWaitingTokens limit on the tokens of unfinished items of each workspace, or of all callers together if
 *     there are no workspaces; 0 for no limit
 * @param publicAccess whether callers need no key
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
        Duration maxEventGap,
        Duration completionTarget,
        Duration retention,
        long maxWaitingTokens,
        boolean publicAccess) {
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /** Returns whether a request that may have run can be resent to another upstream. */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }
}
