package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.slots.LeaseTable.Lease;
import dev.lavenderline.serving.upstreams.Upstream;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds upstreams on which requests take several times as long as on the others of their service.
 *
 * <p>Answers the load pattern in which some engines turn slow while they go on answering: their slots stay taken, and
 * requests there miss their targets. The age of requests in progress is used, since a slow engine's answers end late.
 *
 * <p>Invariant: at most half of the upstreams of a check are found slow, so that an estimate that is too low has no
 * effect. Not thread-safe; confined to the event loop.
 */
final class SlowUpstreams {
    /** Age of a request relative to the mean hold; below the factors of 4 to 5.5 by which engines turn slow. */
    static final double OLD = 3;

    /** Nodes that have to hold such a request, since a node that stands still holds slots for long as well. */
    static final int NODES = 2;

    /** Time for which the upstream is avoided; a new check costs a few late requests. */
    static final Duration AVOIDED = Duration.ofSeconds(3);

    private final Ticker ticker;
    private final Map<String, Long> untilNanos = new HashMap<>();

    SlowUpstreams(Ticker ticker) {
        this.ticker = ticker;
    }

    boolean slow(String upstream) {
        Long until = untilNanos.get(upstream);
        return until != null && ticker.nanos() - until < 0;
    }

    /** Returns whether an upstream becomes slow by what is in progress there. */
    boolean check(Upstream upstream, Collection<Lease> online, double meanSeconds) {
        if (slow(upstream.id()) || !old(online, meanSeconds)) {
            return false;
        }
        untilNanos.put(upstream.id(), ticker.nanos() + AVOIDED.toNanos());
        return true;
    }

    private boolean old(Collection<Lease> online, double meanSeconds) {
        long before = ticker.nanos() - (long) (OLD * meanSeconds * 1e9);
        return online.stream()
                        .filter(lease -> !lease.continued() && lease.startNanos() - before < 0)
                        .map(lease -> lease.node().name)
                        .distinct()
                        .limit(NODES)
                        .count()
                >= NODES;
    }

    /** Returns whether at most half of some upstreams are slow when one more is. */
    boolean halfRemains(Collection<Upstream> upstreams) {
        long slow = upstreams.stream().filter(upstream -> slow(upstream.id())).count();
        return 2 * (slow + 1) <= upstreams.size();
    }
}
