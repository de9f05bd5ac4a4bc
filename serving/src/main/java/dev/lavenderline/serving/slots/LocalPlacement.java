package dev.lavenderline.serving.slots;

import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Chooses upstreams by this node's own requests: for plain services, and for engines while no scheduler answers.
 * Prefers upstreams in the node's failure domain until they have a few requests more than others.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class LocalPlacement {
    /** Requests that an upstream in another failure domain has to have less; the way there costs a few milliseconds. */
    private static final double DISTANCE = 1.5;

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final String failureDomain;
    private final DoubleSupplier random;
    private final Map<String, Integer> inFlight = new HashMap<>();

    public LocalPlacement(
            UpstreamDirectory directory, UpstreamHealth health, String failureDomain, DoubleSupplier random) {
        this.directory = directory;
        this.health = health;
        this.failureDomain = failureDomain;
        this.random = random;
    }

    /** Returns an upstream for a request and counts the request, none if no upstream can take it. */
    public Optional<Upstream> pick(String service, Set<String> excluded) {
        Upstream best = null;
        double least = Double.POSITIVE_INFINITY;
        List<Upstream> open = directory.open(service);
        for (Upstream upstream : open) {
            if (excluded.contains(upstream.id()) || !health.usable(upstream.id())) {
                continue;
            }
            double load = inFlight.getOrDefault(upstream.id(), 0)
                    + (upstream.failureDomain().equals(failureDomain) ? 0 : DISTANCE)
                    + 0.5 * random.getAsDouble();
            if (load < least) {
                best = upstream;
                least = load;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        inFlight.merge(best.id(), 1, Integer::sum);
        health.sent(best.id());
        return Optional.of(best);
    }

    /** Ends a request that {@link #pick} has counted. */
    public void ended(String upstream, LeaseEnd end) {
        inFlight.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
        switch (end) {
            case COMPLETED -> health.succeeded(upstream);
            case ANSWER_LOST, UPSTREAM_FAILED -> health.failed(upstream, directory.serviceOf(upstream));
            case UPSTREAM_UNREACHABLE, UPSTREAM_GONE -> health.unreachable(upstream);
            default -> health.unknown(upstream);
        }
    }
}
