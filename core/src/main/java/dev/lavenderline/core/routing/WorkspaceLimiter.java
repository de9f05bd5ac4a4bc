package dev.lavenderline.core.routing;

import dev.lavenderline.core.config.Workspace;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits each workspace's request rate (token bucket with a burst of one second's requests, at least 1) and its
 * requests in flight. Workspaces that are not configured have no limit.
 */
final class WorkspaceLimiter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration IN_FLIGHT_RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, State> states = new HashMap<>();

    void configure(Map<String, Workspace> workspaces, long nowNanos) {
        states.values().removeIf(state -> !workspaces.containsKey(state.name) && state.inFlight == 0);
        states.values().forEach(state -> state.limits = workspaces.get(state.name));
        workspaces.forEach((name, limits) -> addState(name, limits, nowNanos));
    }

    private void addState(String name, Workspace limits, long nowNanos) {
        states.computeIfAbsent(name, key -> new State(key, limits, nowNanos));
    }

    /** Counts a request as in flight, or returns why it is over a limit. */
    Optional<Refusal> admit(String workspace, long nowNanos) {
        State state = states.get(workspace);
        if (state == null) {
            return Optional.empty();
        }
        return state.admit(nowNanos);
    }

    /** Ends a request that was admitted. */
    void release(String workspace) {
        State state = states.get(workspace);
        if (state != null && state.inFlight > 0) {
            state.inFlight--;
        }
    }

    /** Returns the weight of a workspace for fair sharing, 1 if it is not configured. */
    int weight(String workspace) {
        State state = states.get(workspace);
        return state == null || state.limits == null ? 1 : Math.max(1, state.limits.weight());
    }

    private static final class State {
        private final String name;
        private Workspace limits;
        private double tokens;
        private long refilledNanos;
        private int inFlight;

        State(String name, Workspace limits, long nowNanos) {
            this.name = name;
            this.limits = limits;
            this.tokens = burst(limits);
            this.refilledNanos = nowNanos;
        }

        Optional<Refusal> admit(long nowNanos) {
            if (limits != null && limits.maxInFlight() > 0 && inFlight >= limits.maxInFlight()) {
                return refusal(
                        "workspace " + name + " has " + inFlight + " requests in flight, its limit",
                        IN_FLIGHT_RETRY_AFTER);
            }
            if (limits != null && limits.requestsPerSecond() > 0) {
                double rate = limits.requestsPerSecond();
                tokens = Math.min(burst(limits), tokens + (nowNanos - refilledNanos) / NANOS_PER_SECOND * rate);
                refilledNanos = nowNanos;
                if (tokens < 1) {
                    long waitNanos = (long) ((1 - tokens) / rate * NANOS_PER_SECOND);
                    return refusal(
                            "workspace " + name + " is over " + rate + " requests a second",
                            Duration.ofNanos(waitNanos));
                }
                tokens -= 1;
            }
            inFlight++;
            return Optional.empty();
        }

        private static double burst(Workspace limits) {
            return limits == null ? 1 : Math.max(1, limits.requestsPerSecond());
        }

        private static Optional<Refusal> refusal(String message, Duration retryAfter) {
            return Optional.of(new Refusal(Refusal.Reason.RATE_LIMITED, retryAfter, message));
        }
    }
}
