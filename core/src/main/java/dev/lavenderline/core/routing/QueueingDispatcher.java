package dev.lavenderline.core.routing;

import static java.util.Objects.requireNonNull;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.UpstreamLoad;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Limits, queues, retry budget and load accounting shared by all policies; subclasses choose upstreams.
 *
 * <p>Invariants: each admitted request gets exactly one decision for its submission and for each accepted retry, unless
 * it is closed first; an upstream's count of attempts equals the attempts that have not ended.
 */
abstract class QueueingDispatcher implements LoadAwareDispatcher {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_FREE_CONNECT_RETRIES = 3;
    /** Minimum number of first tokens in the window for a meaningful 95th percentile. */
    static final int MIN_FIRST_TOKEN_SAMPLES = 20;
    /** Prompt tokens that cost as much service as one generated token. */
    private static final double PROMPT_TOKENS_PER_GENERATED = 32;

    private static final long MEDIAN_PERIOD_NANOS = 10_000_000L;
    private static final long LARGE_GROUP_MEDIAN_PERIOD_NANOS = 100_000_000L;
    private static final int LARGE_GROUP_SIZE = 64;

    private final Ticker ticker;
    private final DispatcherOptions options;
    private final Locality locality;
    private final WorkspaceLimiter limiter = new WorkspaceLimiter();
    private final RetryBudget budget;
    private final Map<String, UpstreamState> upstreams = new HashMap<>();
    private final Map<String, UpstreamGroup> groups = new HashMap<>();
    private final Map<String, Long> medianUpdateNanos = new HashMap<>();
    private Set<String> leavingAddresses = Set.of();
    private long version;

    QueueingDispatcher(DispatcherOptions options, Ticker ticker, Locality locality) {
        this.options = requireNonNull(options, "options");
        this.ticker = requireNonNull(ticker, "ticker");
        this.locality = requireNonNull(locality, "locality");
        this.budget = new RetryBudget(
                options.retryRatio(), options.minRetriesPerSecond(), options.retryBurst(), ticker.nanos());
    }

    /**
     * Chooses the upstream for the next attempt of a request.
     *
     * @param preferred upstream with a sequence that just became available, null if there is none
     * @return null if the request must wait
     */
    abstract UpstreamState choose(OnlineRequest request, UpstreamState preferred, long nowNanos);

    /** Chooses an upstream for a second attempt, null if none is worthwhile. */
    abstract UpstreamState chooseForHedge(OnlineRequest request, long nowNanos);

    /** Returns the expected time from now to the first token in nanoseconds, without time in the queue. */
    abstract double expectedFirstToken(UpstreamGroup group, long nowNanos);

    /** Called when an attempt received its first token. */
    void firstTokenReceived(OnlineAttempt attempt, long nowNanos) {}

    /** Updates the weights of a group's upstreams after its medians were recomputed. */
    void updateWeights(UpstreamGroup group, long nowNanos) {}

    final DispatcherOptions options() {
        return options;
    }

    final long nanos() {
        return ticker.nanos();
    }

    final UpstreamState upstream(String name) {
        return upstreams.get(name);
    }

    final boolean hedgeBudgetAvailable() {
        return options.hedging() && budget.hedgeAvailable();
    }

    @Override
    public final Either<Refusal, Ticket> submit(RequestProfile profile, Consumer<Either<Refusal, Attempt>> onDecision) {
        requireNonNull(onDecision, "onDecision");
        long now = nanos();
        UpstreamGroup group = groups.get(profile.group());
        if (group == null || !hasUsableUpstream(group)) {
            return Either.left(noUpstreamRefusal(profile.group()));
        }
        Optional<Refusal> limited = limiter.admit(profile.workspace(), now);
        if (limited.isPresent()) {
            return Either.left(limited.get());
        }
        if (!feasible(group, profile, now)) {
            limiter.release(profile.workspace());
            return Either.left(deadlineRefusal(profile, now));
        }
        boolean isLong = group.lengths.classify(profile.maxTokens(), profile.promptTokens());
        OnlineRequest request = new OnlineRequest(this, profile, group, isLong, onDecision);
        UpstreamState upstream = maySkipQueue(group, isLong) ? choose(request, null, now) : null;
        if (upstream == null && !enqueue(request)) {
            limiter.release(profile.workspace());
            return Either.left(new Refusal(
                    Refusal.Reason.OVERLOADED,
                    DEFAULT_RETRY_AFTER,
                    "queue of " + group.name() + " is full with " + group.queue.size() + " requests"));
        }
        budget.requestStarted();
        if (upstream != null) {
            request.decide(Either.right(send(request, upstream, now)));
        }
        return Either.right(request);
    }

    /** A short request need not wait behind long ones, which may only use a part of the sequences. */
    private static boolean maySkipQueue(UpstreamGroup group, boolean isLong) {
        return group.retries.isEmpty() && (isLong ? group.queue.isEmpty() : group.queue.peek(false) == null);
    }

    private boolean enqueue(OnlineRequest request) {
        RequestProfile profile = request.profile();
        UpstreamGroup group = request.group();
        double cost = group.lengths.expectedTokens(Math.max(1, profile.maxTokens()))
                + profile.promptTokens() / PROMPT_TOKENS_PER_GENERATED;
        boolean queued = group.queue.offer(
                profile.workspace(), limiter.weight(profile.workspace()), cost, request.isLong(), request);
        if (queued) {
            updateReportedWaiting(group);
        }
        return queued;
    }

    private boolean feasible(UpstreamGroup group, RequestProfile profile, long now) {
        return DeadlineFeasibility.feasible(
                profile.deadlineNanos() - now,
                queueWait(group),
                (long) expectedFirstToken(group, now),
                (long) group.medianInterval(),
                group.lengths.expectedTokens(profile.maxTokens()));
    }

    /** Returns the expected time in the queue for a request that is added now, in nanoseconds. */
    final long queueWait(UpstreamGroup group) {
        if (group.waiting() == 0) {
            return 0;
        }
        int inFlight = 0;
        for (UpstreamState state : group.members()) {
            inFlight += state.online();
        }
        return (long) (group.serviceTime() * group.waiting() / Math.max(1, inFlight));
    }

    private static boolean hasUsableUpstream(UpstreamGroup group) {
        for (UpstreamState state : group.members()) {
            if (!state.leaving()) {
                return true;
            }
        }
        return false;
    }

    /** Sends a request; an attempt at an upstream without evidence of health counts as a probe. */
    private OnlineAttempt send(OnlineRequest request, UpstreamState upstream, long now) {
        OnlineAttempt attempt = new OnlineAttempt(this, request, upstream, upstream.outlier.needsProbe(), now);
        request.sent(attempt);
        upstream.sent(attempt);
        markChanged(upstream);
        return attempt;
    }

    final Optional<Refusal> retry(OnlineRequest request, Set<String> excluded) {
        long now = nanos();
        RequestProfile profile = request.profile();
        if (request.closed() || request.waiting()) {
            return Optional.of(new Refusal(
                    Refusal.Reason.RETRY_BUDGET,
                    DEFAULT_RETRY_AFTER,
                    "request " + profile.id() + " cannot be retried now"));
        }
        if (!profile.repeatable() && request.mayHaveRun()) {
            return Optional.of(new Refusal(
                    Refusal.Reason.RETRY_BUDGET,
                    DEFAULT_RETRY_AFTER,
                    "request " + profile.id() + " is not repeatable"));
        }
        if (!hasUsableUpstream(request.group())) {
            return Optional.of(noUpstreamRefusal(profile.group()));
        }
        if (profile.deadlineNanos() - now <= 0) {
            return Optional.of(deadlineRefusal(profile, now));
        }
        // A connection that was never established puts no load on an upstream.
        boolean exemptFromBudget = !request.mayHaveRun() && request.connectFailures() <= MAX_FREE_CONNECT_RETRIES;
        if (!exemptFromBudget && !budget.takeRetry(now)) {
            return Optional.of(
                    new Refusal(Refusal.Reason.RETRY_BUDGET, DEFAULT_RETRY_AFTER, "the retry budget is used up"));
        }
        request.waitAgain(excluded);
        request.group().retries.add(request);
        updateReportedWaiting(request.group());
        dispatchWaiting(request.group(), null);
        return Optional.empty();
    }

    final Optional<Duration> hedgeDelay(OnlineRequest request) {
        long now = nanos();
        if (!mayHedge(request)) {
            return Optional.empty();
        }
        if (request.probeTarget() != null) {
            return Optional.of(Duration.ZERO);
        }
        UpstreamGroup group = request.group();
        if (request.hasLongPrompt() || group.firstTokenCount(now) < MIN_FIRST_TOKEN_SAMPLES) {
            return Optional.empty();
        }
        long elapsed = now - request.openAttempts().get(0).sentNanos();
        long p95 = group.firstTokenQuantile(0.95, now);
        return Optional.of(Duration.ofNanos(Math.max(0, p95 - elapsed)));
    }

    private boolean mayHedge(OnlineRequest request) {
        return options.hedging()
                && request.profile().repeatable()
                && !request.closed()
                && !request.waiting()
                && request.openAttempts().size() == 1
                && !request.openAttempts().get(0).hasToken()
                && request.group().members().size() > 1;
    }

    final Optional<Attempt> hedge(OnlineRequest request) {
        long now = nanos();
        if (!mayHedge(request) || !budget.hedgeAvailable()) {
            return Optional.empty();
        }
        UpstreamState probe = request.probeTarget();
        request.probeTarget(null);
        boolean probing = probe != null && !probe.leaving() && probe.outlier.needsProbe();
        UpstreamState upstream = probing ? probe : chooseForHedge(request, now);
        if (upstream == null || !budget.takeHedge()) {
            return Optional.empty();
        }
        return Optional.of(send(request, upstream, now));
    }

    final void onFirstToken(OnlineAttempt attempt, long now) {
        UpstreamState state = attempt.state();
        UpstreamGroup group = attempt.request().group();
        long nanos = now - attempt.sentNanos();
        if (attempt.isProbe() && group.typicalFirstToken() * OutlierDetector.REDUCED_RATIO >= nanos) {
            state.statistics.reset();
            state.outlier.probeSucceeded(now);
        } else if (attempt.isProbe()) {
            state.outlier.probeFailed(now);
        }
        if (!attempt.hasLongPrompt()) {
            state.statistics.recordFirstToken(nanos, attempt.pendingAhead(), now);
            group.recordFirstToken(nanos, now);
        }
        firstTokenReceived(attempt, now);
    }

    final void onFinished(OnlineAttempt attempt) {
        long now = nanos();
        OnlineRequest request = attempt.request();
        attempt.state().outlier.success();
        attempt.state().statistics.recordReceived(now);
        request.group().recordServiceTime(now - attempt.sentNanos(), now);
        if (request.profile().maxTokens() > 0) {
            request.group().lengths.finished(attempt.generatedTokens());
        }
        markChanged(attempt.state());
        request.close();
        dispatchWaiting(request.group(), attempt.state());
    }

    final void onFailed(OnlineAttempt attempt, Failure failure) {
        long now = nanos();
        attempt.request().failed(attempt, failure);
        attempt.state().outlier.failure(failure, now);
        markChanged(attempt.state());
        dispatchWaiting(attempt.request().group(), attempt.state());
    }

    final void onCancelled(OnlineAttempt attempt) {
        long now = nanos();
        if (attempt.isProbe() && !attempt.hasToken()) {
            attempt.state().outlier.probeFailed(now);
        } else if (!attempt.hasToken() && !attempt.hasLongPrompt()) {
            attempt.state()
                    .statistics
                    .recordMissingFirstToken(
                            now - attempt.sentNanos(), attempt.request().group().typicalFirstToken(), now);
        }
        markChanged(attempt.state());
        dispatchWaiting(attempt.request().group(), attempt.state());
    }

    final void onClosed(OnlineRequest request, boolean wasWaiting) {
        limiter.release(request.profile().workspace());
        if (wasWaiting) {
            UpstreamGroup group = request.group();
            group.retries.remove(request);
            group.queue.removeIf(queued -> queued == request, queued -> {});
            updateReportedWaiting(group);
        }
    }

    private void dispatchWaiting(UpstreamGroup group, UpstreamState preferred) {
        if (group.waiting() == 0) {
            return;
        }
        group.runDispatchPass(() -> {
            long now = nanos();
            sendRetries(group, preferred, now);
            boolean allowLong = true;
            while (!group.queue.isEmpty()) {
                OnlineRequest next = group.queue.peek(allowLong);
                UpstreamState upstream = next == null ? null : choose(next, preferred, now);
                if (upstream != null) {
                    group.queue.poll(allowLong);
                    next.decide(Either.right(send(next, upstream, now)));
                } else if (next != null && next.isLong() && allowLong) {
                    allowLong = false;
                } else {
                    break;
                }
            }
            updateReportedWaiting(group);
        });
    }

    private void sendRetries(UpstreamGroup group, UpstreamState preferred, long now) {
        for (OnlineRequest request : List.copyOf(group.retries)) {
            UpstreamState upstream = choose(request, preferred, now);
            if (upstream != null && group.retries.remove(request)) {
                request.decide(Either.right(send(request, upstream, now)));
            }
        }
    }

    @Override
    public final void tick() {
        long now = nanos();
        for (UpstreamGroup group : groups.values()) {
            long period =
                    group.members().size() > LARGE_GROUP_SIZE ? LARGE_GROUP_MEDIAN_PERIOD_NANOS : MEDIAN_PERIOD_NANOS;
            if (now - medianUpdateNanos.getOrDefault(group.name(), now - period) >= period) {
                medianUpdateNanos.put(group.name(), now);
                group.updateMedians(now);
                updateWeights(group, now);
            }
            if (group.waiting() > 0) {
                refuseInfeasible(group, now);
                dispatchWaiting(group, null);
            }
        }
    }

    private void refuseInfeasible(UpstreamGroup group, long now) {
        long firstToken = (long) expectedFirstToken(group, now);
        List<OnlineRequest> late = new ArrayList<>();
        for (OnlineRequest request : List.copyOf(group.retries)) {
            if (missesDeadline(request, firstToken, now)) {
                group.retries.remove(request);
                late.add(request);
            }
        }
        group.queue.removeIf(request -> missesDeadline(request, firstToken, now), late::add);
        late.forEach(request -> refuse(request, deadlineRefusal(request.profile(), now)));
    }

    private static boolean missesDeadline(OnlineRequest request, long firstTokenNanos, long now) {
        UpstreamGroup group = request.group();
        return !DeadlineFeasibility.feasible(
                request.profile().deadlineNanos() - now,
                0,
                firstTokenNanos,
                (long) group.medianInterval(),
                group.lengths.expectedTokens(request.profile().maxTokens()));
    }

    /** Refuses a request that was removed from its queue. */
    private void refuse(OnlineRequest request, Refusal refusal) {
        request.decide(Either.left(refusal));
        request.close();
    }

    @Override
    public final void configure(FleetConfig config) {
        long now = nanos();
        limiter.configure(config.workspaces(), now);
        Map<String, List<UpstreamState>> members = new LinkedHashMap<>();
        List<Upstream> sorted = new ArrayList<>(config.upstreams().values());
        sorted.sort(Comparator.comparing(Upstream::name));
        for (Upstream upstream : sorted) {
            UpstreamState state = upstreams.computeIfAbsent(upstream.name(), name -> new UpstreamState(upstream));
            state.configure(upstream);
            state.leaving(isLeaving(upstream));
            members.computeIfAbsent(upstream.group(), group -> new ArrayList<>())
                    .add(state);
        }
        Set<String> removed = new HashSet<>(upstreams.keySet());
        removed.removeAll(config.upstreams().keySet());
        // Open attempts keep a reference to the state of a removed upstream.
        removed.forEach(upstreams::remove);
        Set<String> names = new HashSet<>(groups.keySet());
        names.addAll(members.keySet());
        for (String name : names) {
            UpstreamGroup group =
                    groups.computeIfAbsent(name, key -> new UpstreamGroup(key, locality, options.queueBound()));
            group.configure(
                    members.getOrDefault(name, List.of()), config.deployments().get(name));
        }
        refuseWithoutUpstream();
        groups.values().forEach(group -> dispatchWaiting(group, null));
    }

    @Override
    public final void setLeavingAddresses(Set<String> addresses) {
        leavingAddresses = Set.copyOf(addresses);
        upstreams.values().forEach(state -> state.leaving(isLeaving(state.config())));
        refuseWithoutUpstream();
    }

    private boolean isLeaving(Upstream upstream) {
        return leavingAddresses.contains(upstream.address()) || leavingAddresses.contains(upstream.host());
    }

    private void refuseWithoutUpstream() {
        for (UpstreamGroup group : List.copyOf(groups.values())) {
            if (hasUsableUpstream(group)) {
                continue;
            }
            List<OnlineRequest> refused = new ArrayList<>(group.retries);
            group.retries.clear();
            group.queue.removeIf(request -> true, refused::add);
            refused.forEach(request -> refuse(request, noUpstreamRefusal(group.name())));
            if (group.members().isEmpty()) {
                groups.remove(group.name());
                medianUpdateNanos.remove(group.name());
            }
        }
    }

    @Override
    public final void peerLoads(String node, List<UpstreamLoad> loads) {
        long now = nanos();
        Set<UpstreamGroup> affected = new HashSet<>();
        for (UpstreamLoad load : loads) {
            UpstreamState state = upstreams.get(load.getUpstream());
            if (state == null) {
                continue;
            }
            UpstreamGroup group = groups.get(state.config().group());
            state.peerLoad(node, load, group == null ? 0 : group.typicalFirstToken(), now);
            if (group != null && group.waiting() > 0) {
                affected.add(group);
            }
        }
        affected.forEach(group -> dispatchWaiting(group, null));
    }

    @Override
    public final void peerGone(String node) {
        upstreams.values().forEach(state -> state.peers.remove(node));
        groups.values().forEach(group -> dispatchWaiting(group, null));
    }

    @Override
    public final List<UpstreamLoad> loads() {
        return loads(upstreams.values().stream()
                .filter(state -> !state.idle() || state.changeVersion() > 0)
                .collect(Collectors.toList()));
    }

    @Override
    public final LoadChange changedSince(long since) {
        if (since == version) {
            return new LoadChange(version, List.of());
        }
        return new LoadChange(
                version,
                loads(upstreams.values().stream()
                        .filter(state -> state.changeVersion() > since)
                        .collect(Collectors.toList())));
    }

    private List<UpstreamLoad> loads(Collection<UpstreamState> states) {
        long now = nanos();
        return states.stream().map(state -> state.load(now)).collect(Collectors.toList());
    }

    @Override
    public final int onlineInFlight(String name) {
        UpstreamState state = upstreams.get(name);
        return state == null ? 0 : state.totalOnline();
    }

    @Override
    public final void batchInFlight(String upstream, int items) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null && state.batch() != items) {
            UpstreamGroup group = groups.get(state.config().group());
            state.batch(items, group == null ? 0 : group.typicalFirstToken(), nanos());
            markChanged(state);
        }
    }

    @Override
    public final void loadReport(String upstream, int running, int waiting, Instant asOf) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            long age = Math.max(0, Duration.between(asOf, ticker.now()).toNanos());
            state.loadReport(running, waiting, nanos() - age);
        }
    }

    @Override
    public final List<UpstreamView> views() {
        long now = nanos();
        return upstreams.values().stream()
                .map(state -> state.view(now))
                .sorted(Comparator.comparing(UpstreamView::upstream))
                .collect(Collectors.toList());
    }

    /** Updates the waiting requests reported to peers: each upstream of the group gets an equal share, rounded up. */
    private void updateReportedWaiting(UpstreamGroup group) {
        int members = group.members().size();
        int share = members == 0 ? 0 : (group.waiting() + members - 1) / members;
        for (UpstreamState state : group.members()) {
            if (state.reportWaiting(share)) {
                markChanged(state);
            }
        }
    }

    final void markChanged(UpstreamState state) {
        state.markChanged(++version);
    }

    private static Refusal noUpstreamRefusal(String group) {
        return new Refusal(Refusal.Reason.NO_UPSTREAM, DEFAULT_RETRY_AFTER, "no usable upstream for " + group);
    }

    private static Refusal deadlineRefusal(RequestProfile profile, long now) {
        long remaining = Math.max(0, (profile.deadlineNanos() - now) / 1_000_000);
        return new Refusal(
                Refusal.Reason.DEADLINE,
                DEFAULT_RETRY_AFTER,
                "request " + profile.id() + " cannot be answered within the remaining " + remaining + " ms");
    }
}
