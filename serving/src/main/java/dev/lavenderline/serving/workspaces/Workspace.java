package dev.lavenderline.serving.workspaces;

import java.util.OptionalInt;

/**
 * A customer of the fleet, with its quota over all nodes together. Immutable.
 *
 * @param name unique name, which upstreams receive
 * @param priority priority of its requests and items, 0 is the highest; empty if that of the route applies
 * @param requestsPerSecond sustained rate of online requests, 0 for no limit
 * @param burst number of requests that may exceed the rate at once, at least 1 if there is a limit
 */
public record Workspace(String name, OptionalInt priority, double requestsPerSecond, double burst) {
    public Workspace {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("name of a workspace is empty");
        }
        if (priority.isPresent() && priority.getAsInt() < 0) {
            throw new IllegalArgumentException(
                    "priority of workspace " + name + " is negative: " + priority.getAsInt());
        }
        if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
            throw new IllegalArgumentException(
                    "rate of workspace " + name + " is " + requestsPerSecond + ", must be at least 0");
        }
        if (!(burst >= 0) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("burst of workspace " + name + " is " + burst + ", must be at least 0");
        }
        burst = requestsPerSecond > 0 ? Math.max(1, burst) : burst;
    }

    /** Returns whether the rate of requests is limited. */
    public boolean limited() {
        return requestsPerSecond > 0;
    }

    /** Returns the priority of requests of this workspace on a route with the given priority. */
    public int priorityOr(int routePriority) {
        return priority.orElse(routePriority);
    }
}
