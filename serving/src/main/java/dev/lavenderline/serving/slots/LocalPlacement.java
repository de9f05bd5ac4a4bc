package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.upstreams.RequestRates;
import dev.lavenderline.serving.upstreams.TrialHolder;
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

    /** Requests added to the load of an upstream that has failed and not responded since: it is idle, if it is lost. */
    private static final double FAILED_PENALTY = 4;

    /** Upper bound of the random load that breaks ties, in requests; below one, so that it outweighs no request. */
    private static final double TIE_BREAK = 0.5;

    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final String failureDomain;
    private final DoubleSupplier random;
    private final RequestRates rates;
    private IntSupplier nodeCount = () -> 1;
    private final Map<String, Integer> inFlight = new HashMap<>();
    private long lastNumber;

    /**
     * A request that this node has placed itself; {@link #requestEnded} has to be called with it once.
     *
     * @param number unique on this node
     */
    public record Placed(Upstream upstream, long number) {}

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
     * Places a request and counts it at its upstream; empty if no upstream can take it.
     *
     * @param version software version that the upstream must have, empty if any will do
     */
    public Optional<Placed> pick(String service, Set<String> excluded, Optional<String> version) {
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
                    + (health.doubtful(upstream.id()) ? FAILED_PENALTY : 0)
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
        Placed placed = new Placed(best, ++lastNumber);
        health.sent(best.id(), holder(placed));
        rates.sent(best);
        return Optional.of(placed);
    }

    /** Records the end of a request that {@link #pick} counted. */
    public void requestEnded(Placed placed, ReleaseReason reason) {
        String upstream = placed.upstream().id();
        inFlight.computeIfPresent(upstream, (id, count) -> count <= 1 ? null : count - 1);
        switch (reason) {
            case COMPLETED -> health.succeeded(upstream);
            case ANSWER_LOST, UPSTREAM_FAILED ->
                health.failed(upstream, holder(placed), directory.openInSameService(upstream));
            case UPSTREAM_UNREACHABLE, UPSTREAM_GONE -> health.unreachable(upstream);
            default -> health.inconclusive(upstream, holder(placed));
        }
    }

    /** Returns the holder of a trial; the requests of other nodes are not known here. */
    private static TrialHolder holder(Placed placed) {
        return new TrialHolder("", placed.number());
    }
}
