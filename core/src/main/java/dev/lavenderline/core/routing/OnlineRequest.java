package dev.lavenderline.core.routing;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** An admitted online request. */
final class OnlineRequest implements Dispatcher.Ticket {
    private final QueueingDispatcher dispatcher;
    private final RequestProfile profile;
    private final UpstreamGroup group;
    private final Consumer<Either<Refusal, Dispatcher.Attempt>> onDecision;
    private final boolean isLong;
    private final boolean longPrompt;
    private final List<OnlineAttempt> openAttempts = new ArrayList<>(2);
    private final Set<String> excluded = new HashSet<>(2);
    private boolean waiting = true;
    private boolean closed;
    private int connectFailures;
    private boolean mayHaveRun;
    private UpstreamState probeTarget;

    OnlineRequest(
            QueueingDispatcher dispatcher,
            RequestProfile profile,
            UpstreamGroup group,
            boolean isLong,
            Consumer<Either<Refusal, Dispatcher.Attempt>> onDecision) {
        this.dispatcher = dispatcher;
        this.profile = profile;
        this.group = group;
        this.isLong = isLong;
        this.longPrompt = group.lengths.longPrompt(profile.promptTokens());
        this.onDecision = onDecision;
    }

    @Override
    public Optional<Refusal> retry(Set<String> excludedUpstreams) {
        return dispatcher.retry(this, excludedUpstreams);
    }

    @Override
    public Optional<Duration> hedgeDelay() {
        return dispatcher.hedgeDelay(this);
    }

    @Override
    public Optional<Dispatcher.Attempt> hedge() {
        return dispatcher.hedge(this);
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        List.copyOf(openAttempts).forEach(OnlineAttempt::cancelled);
        dispatcher.onClosed(this, waiting);
        waiting = false;
    }

    /** Delivers the decision that the request waits for. */
    void decide(Either<Refusal, Dispatcher.Attempt> decision) {
        waiting = false;
        onDecision.accept(decision);
    }

    void sent(OnlineAttempt attempt) {
        openAttempts.add(attempt);
    }

    void ended(OnlineAttempt attempt) {
        openAttempts.remove(attempt);
    }

    void failed(OnlineAttempt attempt, Dispatcher.Failure failure) {
        excluded.add(attempt.upstream());
        if (failure == Dispatcher.Failure.CONNECT) {
            connectFailures++;
        } else {
            mayHaveRun = true;
        }
    }

    /** Marks the request as waiting for another decision. */
    void waitAgain(Set<String> excludedUpstreams) {
        excluded.addAll(excludedUpstreams);
        waiting = true;
    }

    RequestProfile profile() {
        return profile;
    }

    UpstreamGroup group() {
        return group;
    }

    boolean isLong() {
        return isLong;
    }

    boolean hasLongPrompt() {
        return longPrompt;
    }

    boolean waiting() {
        return waiting;
    }

    boolean closed() {
        return closed;
    }

    List<OnlineAttempt> openAttempts() {
        return openAttempts;
    }

    /** Returns the upstreams on which an attempt failed or that the node excluded. */
    Set<String> excluded() {
        return excluded;
    }

    int connectFailures() {
        return connectFailures;
    }

    /** Returns whether an upstream may have received a part of the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the slow or failed upstream that the next hedge probes, null if none. */
    UpstreamState probeTarget() {
        return probeTarget;
    }

    void probeTarget(UpstreamState upstream) {
        probeTarget = upstream;
    }
}
