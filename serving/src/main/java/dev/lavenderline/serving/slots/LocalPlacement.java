package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.upstreams.RequestRates;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/**
 * Chooses the upstream with the fewest requests of this node. Used for plain services without limited upstreams, and
 * for all services while no scheduler responds. Prefers upstreams in the node's failure domain until they have a few
 * more requests than others.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class LocalPlacement {
    /** Requests added to the load of an upstream in another failure domain, which costs a few milliseconds to reach. */
    private static final double REMOTE_PENALTY = 1.5;

    /** Upper bound of the random load that breaks ties, in requests; below one, so that it outweighs no request. */
    private static final double TIE_BREAK = 0.5;

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final String failureDomain;
    private final DoubleSupplier random;
    private final RequestRates rates;
    private IntSupplier nodeCount = () -> 1;
    private final Map<String, Integer> inFlight = new HashMap<>();

    public LocalPlacement(
            Ticker ticker,
            UpstreamDirectory directory,
            UpstreamHealth health,
            String failureDomain,
            DoubleSupplier random) {
        this.directory = directory;
        this.health = health;
        this.failureDomain = failureDomain;
        this.random = random;
        this.rates = new RequestRates(ticker, directory, () -> nodeCount.getAsInt());
    }

    /** Sets the number of nodes, of which each uses an equal share of an upstream's limit while it has no scheduler. */
    void shareLimits(IntSupplier nodes) {
        nodeCount = nodes;
    }

    /** Begins to place the requests that the scheduler placed until now. */
    void schedulerLost() {
        rates.restart();
    }

    /**
     * Returns the upstream for a request and counts the request, or empty if no upstream can take it.
     *
     * @param version software version that the upstream must have, empty if any will do
     */
    public Optional<Upstream> pick(String service, Set<String> excluded, Optional<String> version) {
        Upstream best = null;
        double lowestLoad = Double.POSITIVE_INFINITY;
        List<Upstream> open = directory.open(service);
        for (Upstream upstream : open) {
            if (excluded.contains(upstream.id())
                    || !health.usable(upstream.id())
                    || !rates.mayTake(upstream)
                    || !upstream.version().equals(version.orElse(upstream.version()))) {
                continue;
            }
            double load = inFlight.getOrDefault(upstream.id(), 0)
                    + (upstream.failureDomain().equals(failureDomain) ? 0 : REMOTE_PENALTY)
                    + TIE_BREAK * random.getAsDouble();
            if (load < lowestLoad) {
                best = upstream;
                lowestLoad = load;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        inFlight.merge(best.id(), 1, Integer::sum);
        health.sent(best.id());
        rates.sent(best);
        return Optional.of(best);
    }

    /** Records the end of a request that {@link #pick} counted. */
    public void requestEnded(String upstream, ReleaseReason reason) {
        inFlight.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
        switch (reason) {
            case COMPLETED -> health.succeeded(upstream);
            case ANSWER_LOST, UPSTREAM_FAILED -> health.failed(upstream, directory.openInSameService(upstream));
            case UPSTREAM_UNREACHABLE, UPSTREAM_GONE -> health.unreachable(upstream);
            default -> health.inconclusive(upstream);
        }
    }
}
