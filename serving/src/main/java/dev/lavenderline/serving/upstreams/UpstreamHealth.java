package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Ejects upstreams whose requests fail and admits one trial request after a delay that doubles with each further
 * failure. Active health checks are not used: each has a cost, and its result may be wrong.
 *
 * <p>Ejects an engine that crashed or became unreachable while requests keep arriving, and one that fails many of its
 * requests, which would otherwise attract even more because its slots free up quickly. An engine that loses a few
 * percent of its responses stays in use.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamHealth {
    /** Delay after the first failure; an engine takes about as long to restart its listener. */
    static final Duration BASE_DELAY = Duration.ofMillis(500);

    /** Upper bound of the delay, so that a recovered upstream is used again within seconds. */
    static final Duration MAX_DELAY = Duration.ofSeconds(4);

    /** Time since the last ejection after which the backoff starts again from the base delay. */
    static final Duration BACKOFF_RESET = Duration.ofSeconds(10);

    /** Weight of the newest request in the moving average of failures, which spans about seven requests. */
    static final double NEWEST_WEIGHT = 0.15;

    /** Failure rate at which an upstream is ejected; three failures in a row reach it. */
    static final double FAILURE_RATE_THRESHOLD = 0.35;

    /** Consecutive failed connections or request timeouts that eject an upstream despite a recent response. */
    static final int CONSECUTIVE_UNREACHABLE_THRESHOLD = 3;

    /** Time for which a response proves an upstream alive; a busy engine completes a request about every 0.1 s. */
    static final Duration RECENT_RESPONSE = Duration.ofMillis(900);

    private final Ticker ticker;
    private final Map<String, Long> respondedNanos = new HashMap<>();
    private final Map<String, Ejection> ejections = new HashMap<>();
    private final Map<String, Double> failureRates = new HashMap<>();
    private final Map<String, Integer> consecutiveUnreachable = new HashMap<>();

    /** The last ejection of each upstream, also after it ended: the next delay is based on it. */
    private final Map<String, Ejection> lastEjections = new HashMap<>();

    /**
     * A period in which an upstream gets no requests except for a single trial at its end.
     *
     * @param untilNanos time from which a trial request is admitted
     * @param trial whether the trial request is in flight
     * @param ignoresEarlyResponses whether it lasts until {@code untilNanos} even if requests already in flight succeed
     */
    private record Ejection(
            long untilNanos, long delayNanos, long ejectedNanos, boolean trial, boolean ignoresEarlyResponses) {
        Ejection withTrial(boolean value) {
            return new Ejection(untilNanos, delayNanos, ejectedNanos, value, ignoresEarlyResponses);
        }
    }

    public UpstreamHealth(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns whether a request may be sent: the upstream is not ejected, or its trial request is due. */
    public boolean usable(String upstream) {
        Ejection ejection = ejections.get(upstream);
        return ejection == null || (ticker.nanos() - ejection.untilNanos() >= 0 && !ejection.trial());
    }

    /** Returns whether an upstream is ejected and has not passed its trial. */
    public boolean suspected(String upstream) {
        return ejections.containsKey(upstream);
    }

    /** Records that a request was sent; to an ejected upstream this is the trial, and no other is admitted. */
    public void sent(String upstream) {
        ejections.computeIfPresent(upstream, (id, before) -> before.withTrial(true));
    }

    /** Records a complete response. */
    public void succeeded(String upstream) {
        long now = ticker.nanos();
        Ejection ejection = ejections.get(upstream);
        if (ejection != null && (!ejection.ignoresEarlyResponses() || now - ejection.untilNanos() >= 0)) {
            ejections.remove(upstream);
        }
        failureRates.computeIfPresent(upstream, (id, rate) -> rate * (1 - NEWEST_WEIGHT));
        consecutiveUnreachable.remove(upstream);
        respondedNanos.put(upstream, now);
    }

    /** Records that a request ended in a way that says nothing about the upstream; a new trial is admitted. */
    public void inconclusive(String upstream) {
        ejections.computeIfPresent(upstream, (id, before) -> before.withTrial(false));
    }

    /**
     * Records a failed request, or a lost or truncated response; returns the delay if this ejects the upstream. An
     * upstream that fails part of its requests is ejected again, for longer, soon after its trial. At most half of a
     * service's upstreams are ejected for failures; beyond that, the requests have nowhere better to go.
     *
     * @param service the upstreams of the same service
     */
    public Optional<Duration> failed(String upstream, Collection<Upstream> service) {
        long othersEjected = service.stream()
                .filter(other -> !other.id().equals(upstream) && suspected(other.id()))
                .count();
        if (2 * (othersEjected + 1) > service.size()) {
            inconclusive(upstream);
            return Optional.empty();
        }
        double rate = failureRates.getOrDefault(upstream, 0.0) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        failureRates.put(upstream, Math.min(rate, FAILURE_RATE_THRESHOLD));
        if (rate < FAILURE_RATE_THRESHOLD && !suspected(upstream)) {
            return Optional.empty();
        }
        return Optional.of(eject(upstream, true));
    }

    /**
     * Records that a connection failed or a request timed out; returns the delay if this ejects the upstream. An
     * upstream that responds to other requests meanwhile is probably overloaded, not down.
     */
    public Optional<Duration> unreachable(String upstream) {
        Long responded = respondedNanos.get(upstream);
        if (responded != null && ticker.nanos() - responded < RECENT_RESPONSE.toNanos()) {
            int count = consecutiveUnreachable.merge(upstream, 1, Integer::sum);
            if (count < CONSECUTIVE_UNREACHABLE_THRESHOLD && !suspected(upstream)) {
                return Optional.empty();
            }
        }
        return Optional.of(eject(upstream, false));
    }

    /** Ejects an upstream that is leaving although its entry does not say so yet; returns the delay. */
    public Duration ejectLeaving(String upstream) {
        long now = ticker.nanos();
        long delay = MAX_DELAY.toNanos();
        ejections.put(upstream, new Ejection(now + delay, delay, now, false, false));
        return MAX_DELAY;
    }

    private Duration eject(String upstream, boolean ignoresEarlyResponses) {
        long now = ticker.nanos();
        Ejection last = lastEjections.get(upstream);
        long delay = BASE_DELAY.toNanos();
        if (last != null && now - last.untilNanos() < 0) {
            delay = last.delayNanos();
        } else if (last != null && now - last.ejectedNanos() < BACKOFF_RESET.toNanos()) {
            delay = Math.min(last.delayNanos() * 2, MAX_DELAY.toNanos());
        }
        Ejection ejection = new Ejection(now + delay, delay, now, false, ignoresEarlyResponses);
        consecutiveUnreachable.remove(upstream);
        ejections.put(upstream, ejection);
        lastEjections.put(upstream, ejection);
        return Duration.ofNanos(delay);
    }

    /** Discards the state of all upstreams except the given ones. */
    public void retain(Collection<String> upstreams) {
        ejections.keySet().retainAll(upstreams);
        failureRates.keySet().retainAll(upstreams);
        consecutiveUnreachable.keySet().retainAll(upstreams);
        lastEjections.keySet().retainAll(upstreams);
        respondedNanos.keySet().retainAll(upstreams);
    }
}
