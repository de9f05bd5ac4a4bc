package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides when an upstream whose requests fail is ejected, and for how long: the delay until its first trial doubles
 * with each further failure. {@link Ejections} decides on the trials. There are no regular health checks: each has
 * a cost, and its result may be wrong. {@link UpstreamSearch} decides on checks after a failure.
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

    /**
     * Time for which a response, or an accepted connection, speaks for an upstream when others are failing; a few times
     * a usual hold time.
     */
    static final Duration PROOF_PERIOD = Duration.ofSeconds(2);

    private final Ticker ticker;
    private final Map<String, Long> respondedNanos = new HashMap<>();
    private final Map<String, Long> acceptedNanos = new HashMap<>();
    private final Ejections ejections;
    private final Map<String, Double> failureRates = new HashMap<>();
    private final Map<String, Integer> consecutiveUnreachable = new HashMap<>();

    /** The last ejection of each upstream, also after it ended: the next delay is based on it. */
    private final Map<String, LastEjection> lastEjections = new HashMap<>();

    private record LastEjection(long ejectedNanos, Duration delay) {}

    public UpstreamHealth(Ticker ticker) {
        this.ticker = ticker;
        this.ejections = new Ejections(ticker);
    }

    /** Returns whether a request may be sent: the upstream is not ejected, or a trial is due. */
    public boolean usable(String upstream) {
        return !suspected(upstream) || ejections.trialDue(upstream);
    }

    /** Returns whether an upstream is ejected, so that each request is a trial. */
    public boolean suspected(String upstream) {
        return ejections.ejected(upstream);
    }

    /** Returns whether an upstream has failed and not responded since, even if it is no longer ejected. */
    public boolean doubtful(String upstream) {
        LastEjection last = lastEjections.get(upstream);
        Long responded = respondedNanos.get(upstream);
        return last != null && (responded == null || responded - last.ejectedNanos() < 0);
    }

    /**
     * Returns whether an upstream has responded or accepted a connection lately, so that it is not one of many that may
     * have just been lost. One that accepts connections and fails its requests is doubtful, and not meant.
     */
    public boolean provenLately(String upstream) {
        return !doubtful(upstream) && (recent(respondedNanos.get(upstream)) || recent(acceptedNanos.get(upstream)));
    }

    private boolean recent(Long nanos) {
        return nanos != null && ticker.nanos() - nanos < PROOF_PERIOD.toNanos();
    }

    /** Returns whether a trial is due that no request has made, although it has been possible for some time. */
    public boolean trialOverdue(String upstream) {
        return ejections.trialOverdue(upstream);
    }

    /** Returns whether an item has to make the trial that is due, as no request has for long. */
    public boolean itemTrialOverdue(String upstream) {
        return ejections.itemTrialOverdue(upstream);
    }

    /** Records that a request was sent; to an ejected upstream this is the trial. */
    public void sent(String upstream, TrialHolder holder) {
        ejections.tried(upstream, holder, false);
    }

    /**
     * Records that an item was sent; to an ejected upstream this is the trial. Its run is released as unreachable
     * before the trial's time is over unless it receives bytes.
     */
    public void itemSent(String upstream, TrialHolder holder) {
        ejections.tried(upstream, holder, true);
    }

    /** Records that an upstream has accepted a connection that was opened only to see whether it does. */
    public void accepted(String upstream) {
        acceptedNanos.put(upstream, ticker.nanos());
    }

    /** Records a complete response. */
    public void succeeded(String upstream) {
        ejections.succeeded(upstream);
        failureRates.computeIfPresent(upstream, (id, rate) -> rate * (1 - NEWEST_WEIGHT));
        consecutiveUnreachable.remove(upstream);
        respondedNanos.put(upstream, ticker.nanos());
    }

    /** Records that a request ended in a way that says nothing about the upstream; if a trial, another is admitted. */
    public void inconclusive(String upstream, TrialHolder holder) {
        ejections.ended(upstream, holder);
    }

    /** Records that a node is gone, or reports to another scheduler now, and with it the results of its trials. */
    public void nodeLeft(String node) {
        ejections.nodeLeft(node);
    }

    /**
     * Records a failed request, or a lost or truncated response; returns the delay if this ejects the upstream. An
     * upstream that fails part of its requests is ejected again, for longer, soon after its trial. At most half of a
     * service's upstreams are ejected for failures; beyond that, the requests have nowhere better to go.
     *
     * @param service the upstreams of the same service
     */
    public Optional<Duration> failed(String upstream, TrialHolder holder, Collection<Upstream> service) {
        long othersEjected = service.stream()
                .filter(other -> !other.id().equals(upstream) && suspected(other.id()))
                .count();
        if (2 * (othersEjected + 1) > service.size()) {
            inconclusive(upstream, holder);
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
        ejections.eject(upstream, MAX_DELAY, false);
        return MAX_DELAY;
    }

    private Duration eject(String upstream, boolean ignoresEarlyResponses) {
        long now = ticker.nanos();
        Duration delay = delay(Optional.ofNullable(lastEjections.get(upstream)), now);
        consecutiveUnreachable.remove(upstream);
        ejections.eject(upstream, delay, ignoresEarlyResponses);
        lastEjections.put(upstream, new LastEjection(now, delay));
        return delay;
    }

    private static Duration delay(Optional<LastEjection> last, long now) {
        Duration since = last.map(ejection -> Duration.ofNanos(now - ejection.ejectedNanos()))
                .orElse(BACKOFF_RESET);
        if (since.compareTo(BACKOFF_RESET) >= 0) {
            return BASE_DELAY;
        }
        Duration previous = last.orElseThrow().delay();
        Duration doubled = previous.multipliedBy(2);
        if (since.compareTo(previous) < 0) {
            return previous;
        }
        return doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
    }

    /** Discards the state of all upstreams except the given ones. */
    public void retain(Collection<String> upstreams) {
        ejections.retain(upstreams);
        failureRates.keySet().retainAll(upstreams);
        consecutiveUnreachable.keySet().retainAll(upstreams);
        lastEjections.keySet().retainAll(upstreams);
        respondedNanos.keySet().retainAll(upstreams);
        acceptedNanos.keySet().retainAll(upstreams);
    }
}
