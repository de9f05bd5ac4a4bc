package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides for each ejected upstream whether it may be tried, by whom and until when.
 *
 * <p>Invariants: an ejected upstream has at most one trial at a time. A trial ends with its result, with its holder or
 * after {@link #TRIAL_TIMEOUT}, whichever comes first; an ejection ends with a success, with an item that has received
 * bytes for the time of a trial, or {@link #MAX_EJECTION} after the last failure. So no upstream stays out of use
 * because an event is never reported. Holds no timers; all limits apply when the state is read. Not thread-safe;
 * confined to the event loop.
 */
final class Ejections {
    /** Time for which a trial keeps others out; longer than it takes to notice that an upstream sends nothing. */
    static final Duration TRIAL_TIMEOUT = Duration.ofMillis(2500);

    /** Time after the last failure in which an upstream is out of use; more than twice the longest delay. */
    static final Duration MAX_EJECTION = Duration.ofSeconds(10);

    /** Time for which a trial is due before it is no longer left to the requests that have nowhere better to go. */
    static final Duration TRIAL_OVERDUE = Duration.ofSeconds(1);

    /** Time for which a trial is due before an item makes it; a request has its result sooner. */
    static final Duration ITEM_TRIAL_OVERDUE = Duration.ofSeconds(3);

    private final Ticker ticker;
    private final Map<String, Ejection> ejections = new HashMap<>();

    /**
     * A period in which an upstream gets only trials.
     *
     * @param failedNanos time of the last failure
     * @param untilNanos time from which trials are admitted
     * @param ignoresEarlyResponses whether it lasts until {@code untilNanos} even if requests already in flight succeed
     */
    private record Ejection(long failedNanos, long untilNanos, boolean ignoresEarlyResponses, Optional<Trial> trial) {
        Ejection withTrial(Optional<Trial> value) {
            return new Ejection(failedNanos, untilNanos, ignoresEarlyResponses, value);
        }

        /** Returns since when a trial is due if none is running: the end of the delay, or of the last trial's time. */
        long trialDueNanos() {
            return trial.map(Trial::untilNanos).orElse(untilNanos);
        }
    }

    /**
     * A trial.
     *
     * @param passesInTime whether it would have failed before its time is over if the upstream sent nothing
     */
    private record Trial(TrialHolder holder, long untilNanos, boolean passesInTime) {}

    Ejections(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Ejects an upstream after a failure; trials are admitted after a delay. */
    void eject(String upstream, Duration delay, boolean ignoresEarlyResponses) {
        long now = ticker.nanos();
        ejections.put(upstream, new Ejection(now, now + delay.toNanos(), ignoresEarlyResponses, Optional.empty()));
    }

    boolean ejected(String upstream) {
        return find(upstream).isPresent();
    }

    /** Returns whether an upstream is ejected and may be tried now. */
    boolean trialDue(String upstream) {
        return trialDueFor(upstream, Duration.ZERO);
    }

    /** Returns whether an upstream may be tried now and has not been, although it has been possible for some time. */
    boolean trialOverdue(String upstream) {
        return trialDueFor(upstream, TRIAL_OVERDUE);
    }

    /** Returns whether an item has to try an upstream, as no request has, although it has been possible for long. */
    boolean itemTrialOverdue(String upstream) {
        return trialDueFor(upstream, ITEM_TRIAL_OVERDUE);
    }

    private boolean trialDueFor(String upstream, Duration time) {
        return find(upstream)
                .filter(ejection -> ejection.trial().filter(this::running).isEmpty())
                .filter(ejection -> ticker.nanos() - ejection.trialDueNanos() >= time.toNanos())
                .isPresent();
    }

    private boolean running(Trial trial) {
        return ticker.nanos() - trial.untilNanos() < 0;
    }

    /**
     * Records that a holder tries an upstream; no other may until the trial ends.
     *
     * @param passesInTime whether the trial fails before its time is over if the upstream sends nothing, so that one
     *     that lasts for longer is passed
     */
    void tried(String upstream, TrialHolder holder, boolean passesInTime) {
        if (trialDue(upstream)) {
            Trial trial = new Trial(holder, ticker.nanos() + TRIAL_TIMEOUT.toNanos(), passesInTime);
            ejections.computeIfPresent(upstream, (id, ejection) -> ejection.withTrial(Optional.of(trial)));
        }
    }

    /** Ends the trial of a holder without a result. */
    void ended(String upstream, TrialHolder holder) {
        ejections.computeIfPresent(
                upstream,
                (id, ejection) -> ejection.withTrial(
                        ejection.trial().filter(trial -> !trial.holder().equals(holder))));
    }

    /** Ends the trials of a node that is gone, or that reports to another scheduler now. */
    void nodeLeft(String node) {
        ejections.replaceAll((id, ejection) -> ejection.withTrial(
                ejection.trial().filter(trial -> !trial.holder().node().equals(node))));
    }

    /** Records a complete response; it ends the ejection unless that outlasts the requests in flight. */
    void succeeded(String upstream) {
        find(upstream)
                .filter(ejection -> !ejection.ignoresEarlyResponses() || ticker.nanos() - ejection.untilNanos() >= 0)
                .ifPresent(ejection -> ejections.remove(upstream));
    }

    void retain(Collection<String> upstreams) {
        ejections.keySet().retainAll(upstreams);
    }

    private Optional<Ejection> find(String upstream) {
        return Optional.ofNullable(ejections.get(upstream))
                .filter(ejection -> ticker.nanos() - ejection.failedNanos() < MAX_EJECTION.toNanos())
                .filter(ejection -> ejection.trial().filter(this::passed).isEmpty());
    }

    private boolean passed(Trial trial) {
        return trial.passesInTime() && !running(trial);
    }
}
