package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Ejects upstreams whose requests fail and lets single requests through after a delay that doubles with each further
 * failure. Health checks are not used: they are priced and may be wrong.
 *
 * <p>Answers the load patterns of an engine that crashed or went dark while requests keep arriving, and of one that fails
 * a large part of its requests, which without ejection attracts requests because its slots are soon free; an engine that
 * loses a few answers in a hundred stays in use.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamHealth {
    /** First delay after a failure; about the time in which an engine restarts its listener. */
    static final Duration FIRST_EJECTION = Duration.ofMillis(500);

    /** Longest delay, so that a recovered upstream is used again within seconds. */
    static final Duration LONGEST_EJECTION = Duration.ofSeconds(4);

    /** Time without failure after which the delay starts from the beginning. */
    static final Duration FORGET = Duration.ofSeconds(10);

    /** Weight of the newest request in the share of failures; about the last seven requests decide. */
    static final double NEWEST = 0.15;

    /** Share of failures that ejects an upstream; three failures in a row reach it. */
    static final double FAILING = 0.35;

    /** Failed connections or silences in a row that eject an upstream although it answered shortly before. */
    static final int UNREACHABLE_IN_ROW = 3;

    /** Time for which an answer shows that an upstream works; a busy engine ends a request about every 0.1 s. */
    static final Duration ANSWERED = Duration.ofMillis(900);

    private final Ticker ticker;
    private final Map<String, Long> answeredNanos = new HashMap<>();
    private final Map<String, Ejection> ejections = new HashMap<>();
    private final Map<String, Double> failureShares = new HashMap<>();
    private final Map<String, Integer> unreachableInRow = new HashMap<>();

    /** The last ejection of each upstream, kept after it so that the next one is longer. */
    private final Map<String, Ejection> past = new HashMap<>();

    /**
     * Why and how long an upstream gets no requests.
     *
     * @param firm whether successes of requests that were under way do not end it
     */
    private record Ejection(long untilNanos, long delayNanos, long failedNanos, boolean trial, boolean firm) {
        Ejection withTrial(boolean value) {
            return new Ejection(untilNanos, delayNanos, failedNanos, value, firm);
        }
    }

    public UpstreamHealth(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns whether a request may be sent: not ejected, or the one trial after an ejection. */
    public boolean usable(String upstream) {
        Ejection ejection = ejections.get(upstream);
        return ejection == null || (ticker.nanos() - ejection.untilNanos() >= 0 && !ejection.trial());
    }

    /** Returns whether an upstream is ejected or in its trial. */
    public boolean suspected(String upstream) {
        return ejections.containsKey(upstream);
    }

    /** Records that a request was sent, so that an upstream after an ejection gets one trial only. */
    public void sent(String upstream) {
        ejections.computeIfPresent(upstream, (id, before) -> before.withTrial(true));
    }

    /** Records an answer. */
    public void succeeded(String upstream) {
        long now = ticker.nanos();
        Ejection ejection = ejections.get(upstream);
        if (ejection != null && (!ejection.firm() || now - ejection.untilNanos() >= 0)) {
            ejections.remove(upstream);
        }
        failureShares.computeIfPresent(upstream, (id, share) -> share * (1 - NEWEST));
        unreachableInRow.remove(upstream);
        answeredNanos.put(upstream, now);
    }

    /** Records that a request's end says nothing about the upstream. */
    public void unknown(String upstream) {
        ejections.computeIfPresent(upstream, (id, before) -> before.withTrial(false));
    }

    /**
     * Records a failure, or an answer that was lost or cut; returns the delay if the upstream is ejected for it. An
     * upstream that fails part of its requests is ejected again, for longer, soon after its trial. While half of the
     * service's upstreams are ejected, the others are kept, since there is nothing better.
     *
     * @param service all upstreams of the same service
     */
    public Optional<Duration> failed(String upstream, Collection<Upstream> service) {
        long othersEjected = service.stream()
                .filter(other -> !other.id().equals(upstream) && suspected(other.id()))
                .count();
        if (2 * (othersEjected + 1) > service.size()) {
            unknown(upstream);
            return Optional.empty();
        }
        double share = failureShares.getOrDefault(upstream, 0.0) * (1 - NEWEST) + NEWEST;
        failureShares.put(upstream, Math.min(share, FAILING));
        if (share < FAILING && !suspected(upstream)) {
            return Optional.empty();
        }
        return Optional.of(eject(upstream, true));
    }

    /**
     * Records that no connection could be made or that a request met silence; returns the delay if the upstream is
     * ejected for it. While the upstream answers others, it is full rather than down.
     */
    public Optional<Duration> unreachable(String upstream) {
        Long answered = answeredNanos.get(upstream);
        if (answered != null && ticker.nanos() - answered < ANSWERED.toNanos()) {
            int inRow = unreachableInRow.merge(upstream, 1, Integer::sum);
            if (inRow < UNREACHABLE_IN_ROW && !suspected(upstream)) {
                return Optional.empty();
            }
        }
        return Optional.of(eject(upstream, false));
    }

    /** Records that an upstream leaves although its entry here does not say so; returns the delay. */
    public Duration leaving(String upstream) {
        long now = ticker.nanos();
        long delay = LONGEST_EJECTION.toNanos();
        ejections.put(upstream, new Ejection(now + delay, delay, now, false, false));
        return LONGEST_EJECTION;
    }

    private Duration eject(String upstream, boolean firm) {
        long now = ticker.nanos();
        Ejection before = past.get(upstream);
        long delay = FIRST_EJECTION.toNanos();
        if (before != null && now - before.untilNanos() < 0) {
            delay = before.delayNanos();
        } else if (before != null && now - before.failedNanos() < FORGET.toNanos()) {
            delay = Math.min(before.delayNanos() * 2, LONGEST_EJECTION.toNanos());
        }
        Ejection ejection = new Ejection(now + delay, delay, now, false, firm);
        unreachableInRow.remove(upstream);
        ejections.put(upstream, ejection);
        past.put(upstream, ejection);
        return Duration.ofNanos(delay);
    }

    /** Forgets upstreams that do not exist any more. */
    public void retain(Collection<String> upstreams) {
        ejections.keySet().retainAll(upstreams);
        failureShares.keySet().retainAll(upstreams);
        unreachableInRow.keySet().retainAll(upstreams);
        past.keySet().retainAll(upstreams);
        answeredNanos.keySet().retainAll(upstreams);
    }
}
