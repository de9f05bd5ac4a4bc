package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.slots.LeaseTable.Lease;
import dev.lavenderline.serving.upstreams.Upstream;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects upstreams on which requests take several times as long as the mean of their service.
 *
 * <p>Handles engines that become slow but keep responding: their slots stay occupied, and requests there miss their
 * targets. Detection uses the age of requests in progress, because responses of a slow engine complete too late.
 *
 * <p>Invariant: at most half of the upstreams of a service are marked slow, which limits the effect of a mean hold time
 * that is estimated too low. Not thread-safe; confined to the event loop.
 */
final class SlowUpstreamDetector {
    /** Age of an old request in multiples of the mean hold time; slow engines take 4 to 5.5 times as long as usual. */
    static final double OLD_REQUEST_FACTOR = 3;

    /** Nodes that must hold an old request; a single one may be stalled and hold slots of healthy upstreams long. */
    static final int MIN_NODES = 2;

    /** Time for which a slow upstream is avoided; detecting it again afterwards costs a few late requests. */
    static final Duration AVOIDANCE_PERIOD = Duration.ofSeconds(3);

    private final Ticker ticker;
    private final Map<String, Long> slowUntilNanos = new HashMap<>();

    SlowUpstreamDetector(Ticker ticker) {
        this.ticker = ticker;
    }

    boolean slow(String upstream) {
        Long until = slowUntilNanos.get(upstream);
        return until != null && ticker.nanos() - until < 0;
    }

    /** Marks an upstream as slow if its online requests are old; returns whether it is newly marked. */
    boolean markIfSlow(Upstream upstream, Collection<Lease> online, double meanSeconds) {
        if (slow(upstream.id()) || !hasOldRequests(online, meanSeconds)) {
            return false;
        }
        slowUntilNanos.put(upstream.id(), ticker.nanos() + AVOIDANCE_PERIOD.toNanos());
        return true;
    }

    private boolean hasOldRequests(Collection<Lease> online, double meanSeconds) {
        long startedBefore = ticker.nanos() - (long) (OLD_REQUEST_FACTOR * meanSeconds * 1e9);
        return online.stream()
                        .filter(lease -> !lease.partialRun() && lease.startNanos() - startedBefore < 0)
                        .map(lease -> lease.node().name)
                        .distinct()
                        .limit(MIN_NODES)
                        .count()
                >= MIN_NODES;
    }

    /** Returns whether at most half of the upstreams would be slow if one more were marked. */
    boolean mayMarkAnother(Collection<Upstream> upstreams) {
        long slow = upstreams.stream().filter(upstream -> slow(upstream.id())).count();
        return 2 * (slow + 1) <= upstreams.size();
    }
}
