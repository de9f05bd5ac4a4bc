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
 * <p>Answers the load pattern of an engine that crashed or went dark while requests keep arriving; an engine that loses
 * a few answers in a hundred stays in use.
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

    /** Lost answers in a row that eject an upstream; at 5% lost answers this happens once in 8,000 requests. */
    static final int LOST_ANSWERS = 3;

    /** Time for which an answer shows that an upstream works; a busy engine ends a request about every 0.1 s. */
    static final Duration ANSWERED = Duration.ofMillis(900);

    private final Ticker ticker;
    private final Map<String, Long> answeredNanos = new HashMap<>();
    private final Map<String, Ejection> ejections = new HashMap<>();
    private final Map<String, Integer> lostAnswers = new HashMap<>();

    private record Ejection(long untilNanos, long delayNanos, long failedNanos, boolean trial) {
        Ejection withTrial(boolean value) {
            return new Ejection(untilNanos, delayNanos, failedNanos, value);
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
        ejections.remove(upstream);
        lostAnswers.remove(upstream);
        answeredNanos.put(upstream, ticker.nanos());
    }

    /** Records that a request's end says nothing about the upstream. */
    public void unknown(String upstream) {
        ejections.computeIfPresent(upstream, (id, before) -> before.withTrial(false));
    }

    /** Records an answer that was lost or cut; returns the delay if the upstream is ejected for it. */
    public Optional<Duration> answerLost(String upstream) {
        int inRow = lostAnswers.merge(upstream, 1, Integer::sum);
        if (inRow < LOST_ANSWERS && !suspected(upstream)) {
            return Optional.empty();
        }
        return Optional.of(eject(upstream));
    }

    /**
     * Records that no connection could be made or that a request met silence; returns the delay if the upstream is
     * ejected for it. While the upstream answers others, it is full rather than down.
     */
    public Optional<Duration> unreachable(String upstream) {
        Long answered = answeredNanos.get(upstream);
        if (answered != null && ticker.nanos() - answered < ANSWERED.toNanos()) {
            return answerLost(upstream);
        }
        return Optional.of(eject(upstream));
    }

    /** Records that an upstream leaves although its entry here does not say so; returns the delay. */
    public Duration leaving(String upstream) {
        lostAnswers.remove(upstream);
        long now = ticker.nanos();
        long delay = LONGEST_EJECTION.toNanos();
        ejections.put(upstream, new Ejection(now + delay, delay, now, false));
        return LONGEST_EJECTION;
    }

    private Duration eject(String upstream) {
        long now = ticker.nanos();
        Ejection before = ejections.get(upstream);
        long delay = FIRST_EJECTION.toNanos();
        if (before != null && now - before.untilNanos() < 0) {
            delay = before.delayNanos();
        } else if (before != null && now - before.failedNanos() < FORGET.toNanos()) {
            delay = Math.min(before.delayNanos() * 2, LONGEST_EJECTION.toNanos());
        }
        lostAnswers.remove(upstream);
        ejections.put(upstream, new Ejection(now + delay, delay, now, false));
        return Duration.ofNanos(delay);
    }

    /** Forgets upstreams that do not exist any more. */
    public void retain(Collection<String> upstreams) {
        ejections.keySet().retainAll(upstreams);
        lostAnswers.keySet().retainAll(upstreams);
        answeredNanos.keySet().retainAll(upstreams);
    }
}
