package dev.lavenderline.core.routing;

import static java.util.Objects.requireNonNull;

import dev.lavenderline.core.Ticker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends each request to the upstream with the lowest expected time to the first token, estimated from the node's own
 * attempts in flight, the peers' reported loads and recent latency.
 *
 * <p>Upstreams in the node's region are preferred; another region is used if the local one has no healthy upstream or
 * its expected wait is longer by more than the price threshold. Requests are queued in the node while every usable
 * upstream has as many online requests as sequences. In a large group, each decision evaluates only a random sample of
 * the upstreams.
 */
final class LatencyAwareDispatcher extends QueueingDispatcher {
    private static final int AFFINITY_BOUND = 8192;
    /** The engine with the cached prefix is preferred up to this many first-token times above the best estimate. */
    private static final double AFFINITY_MARGIN = 0.5;
    /** Penalty for another failure domain of the region, in first-token times; larger than the noise. */
    private static final double OTHER_DOMAIN_PENALTY = 0.1;
    /** Up to 5% of noise is added to scores, so that nodes with equal views do not choose the same upstream. */
    private static final double NOISE = 0.05;
    /**
     * Penalty in first-token times if batch items use all sequences, less in proportion. It concentrates online
     * requests on few engines, so that batch items on the others are not cancelled and their prefills do not delay
     * online requests.
     */
    private static final double BATCH_PENALTY = 0.3;
    /** Penalty of a long request in first-token times if long ones use all sequences, less in proportion. */
    private static final double LONG_PENALTY = 10;

    private final UniformRandomProvider random;
    private final PrefixAffinity affinity = new PrefixAffinity(AFFINITY_BOUND);
    private final Map<String, List<UpstreamState>> probeCandidates = new HashMap<>();

    LatencyAwareDispatcher(DispatcherOptions options, Ticker ticker, UniformRandomProvider random, Locality locality) {
        super(options, ticker, locality);
        this.random = requireNonNull(random, "random");
    }

    @Override
    UpstreamState choose(OnlineRequest request, UpstreamState preferred, long nowNanos) {
        Selection selection = new Selection(request, nowNanos);
        UpstreamState chosen = selection.select(preferred);
        if (chosen == null || chosen.outlier.ejected()) {
            return chosen;
        }
        return planProbe(chosen, request, nowNanos);
    }

    /** Plans a probe of a slow or failed upstream if one is due: as a hedge if possible, else as the attempt itself. */
    private UpstreamState planProbe(UpstreamState chosen, OnlineRequest request, long nowNanos) {
        List<UpstreamState> candidates =
                probeCandidates.getOrDefault(request.group().name(), List.of());
        if (candidates.isEmpty() || request.isLong() || request.hasLongPrompt()) {
            return chosen;
        }
        boolean asHedge = options().hedging() && request.profile().repeatable();
        boolean hedgeAvailable = hedgeBudgetAvailable();
        for (UpstreamState state : candidates) {
            boolean sameRegion = state.config().region().equals(chosen.config().region());
            boolean due = asHedge && !hedgeAvailable
                    ? state.outlier.probeOverdue(nowNanos)
                    : state.outlier.probeDue(nowNanos);
            if (!sameRegion || state.leaving() || !due) {
                continue;
            }
            if (state == chosen || request.excluded().contains(state.name())) {
                continue;
            }
            state.outlier.probeSent(nowNanos);
            if (!asHedge || !hedgeAvailable) {
                return state;
            }
            request.probeTarget(state);
            return chosen;
        }
        return chosen;
    }

    @Override
    UpstreamState chooseForHedge(OnlineRequest request, long nowNanos) {
        Selection selection = new Selection(request, nowNanos);
        UpstreamState chosen = selection.select(null);
        return chosen == null || chosen.outlier.ejected() || selection.inUse(chosen) ? null : chosen;
    }

    @Override
    double expectedFirstToken(UpstreamGroup group, long nowNanos) {
        return group.typicalFirstToken();
    }

    @Override
    void firstTokenReceived(OnlineAttempt attempt, long nowNanos) {
        affinity.record(attempt.request().profile().prefixHash(), attempt.upstream());
    }

    @Override
    void updateWeights(UpstreamGroup group, long nowNanos) {
        List<UpstreamState> candidates = new ArrayList<>();
        for (UpstreamState state : group.members()) {
            double previousWeight = state.outlier.weight();
            state.outlier.assess(latencyRatio(state, group, nowNanos), nowNanos);
            if (state.outlier.weight() < previousWeight) {
                markChanged(state);
            }
            if (state.outlier.needsProbe()) {
                candidates.add(state);
            }
        }
        probeCandidates.put(group.name(), candidates);
    }

    /** Returns the latency of an upstream relative to its group, 0 if it is unknown. */
    private static double latencyRatio(UpstreamState state, UpstreamGroup group, long nowNanos) {
        double ratio = 0;
        double medianInterval = group.medianInterval();
        if (medianInterval > 0) {
            double intervalRatio = state.interval(nowNanos) / medianInterval;
            // Without samples the interval is the time since the last token; a short one is no evidence of health.
            if (intervalRatio > 1 || state.intervalKnown(nowNanos)) {
                ratio = intervalRatio;
            }
        }
        double medianFirstToken = group.medianFirstToken();
        if (medianFirstToken > 0) {
            // A single sample is unreliable, because it depends on what else was sent at that moment.
            if (state.statistics.firstTokenSamples() != 1) {
                ratio = Math.max(ratio, state.firstToken(nowNanos) / medianFirstToken);
            }
            if (group.firstTokenCount(nowNanos) >= MIN_FIRST_TOKEN_SAMPLES) {
                double tailThreshold = Math.min(2 * medianFirstToken, group.firstTokenQuantile(0.95, nowNanos) / 2.0);
                double age = state.oldestWithoutTokenNanos(nowNanos);
                double ageRatio = age / Math.max(medianFirstToken, tailThreshold);
                ratio = ageRatio > 1 ? Math.max(ratio, ageRatio) : ratio;
            }
        }
        return ratio;
    }

    /** Selects an upstream for one request. */
    private final class Selection {
        private final OnlineRequest request;
        private final UpstreamGroup group;
        private final long now;
        private final double longPenalty;
        private boolean avoidExcluded = true;
        private boolean healthyFound;
        private UpstreamState best;
        private double bestScore;
        private double bestEstimate;

        Selection(OnlineRequest request, long now) {
            this.request = request;
            this.group = request.group();
            this.now = now;
            this.longPenalty = request.isLong() ? LONG_PENALTY * group.typicalFirstToken() : 0;
        }

        UpstreamState select(UpstreamState preferred) {
            UpstreamState chosen = selectHealthy(preferred);
            if (chosen != null || healthyFound) {
                return chosen;
            }
            if (!request.excluded().isEmpty()) {
                avoidExcluded = false;
                chosen = selectHealthy(preferred);
                if (chosen != null || healthyFound) {
                    return chosen;
                }
            }
            chosen = selectFallback(true);
            return chosen != null ? chosen : selectFallback(false);
        }

        private UpstreamState selectHealthy(UpstreamState preferred) {
            reset();
            int sampleSize = options().candidates() / 2;
            if (preferred != null && group.sameDomain().contains(preferred)) {
                consider(preferred, 0);
            }
            considerSample(group.sameDomain(), sampleSize, 0);
            considerSample(group.sameRegion(), sampleSize, OTHER_DOMAIN_PENALTY * group.typicalFirstToken());
            boolean localHealthy = healthyFound;
            UpstreamState local = applyAffinity();
            double threshold = options().priceThreshold().toNanos();
            double localEstimate = local != null ? bestEstimate : localHealthy ? expectedLocalWait() : Double.MAX_VALUE;
            if (group.otherRegions().isEmpty() || localEstimate <= threshold) {
                return local;
            }
            reset();
            considerSample(group.otherRegions(), sampleSize, 0);
            boolean remoteHealthy = healthyFound;
            healthyFound = localHealthy || remoteHealthy;
            if (best == null) {
                return local;
            }
            return localEstimate > bestEstimate + threshold ? best : local;
        }

        private void reset() {
            best = null;
            bestScore = Double.MAX_VALUE;
            bestEstimate = Double.MAX_VALUE;
            healthyFound = false;
        }

        /** Returns the expected time until a local upstream can take the request and send its first token. */
        private double expectedLocalWait() {
            double wait = Math.max(queueWait(group), group.serviceTime() / localInFlight());
            return wait + group.typicalFirstToken();
        }

        private int localInFlight() {
            int inFlight = 0;
            for (UpstreamState state : group.sameDomain()) {
                inFlight += state.online();
            }
            for (UpstreamState state : group.sameRegion()) {
                inFlight += state.online();
            }
            return Math.max(1, inFlight);
        }

        private void considerSample(List<UpstreamState> candidates, int limit, double penaltyNanos) {
            int size = candidates.size();
            if (size == 0) {
                return;
            }
            int start = size <= limit ? 0 : random.nextInt(size);
            int count = Math.min(size, limit);
            for (int i = 0; i < count; i++) {
                consider(candidates.get((start + i) % size), penaltyNanos);
            }
        }

        private void consider(UpstreamState state, double penaltyNanos) {
            if (!healthy(state)) {
                return;
            }
            healthyFound = true;
            if (!hasCapacity(state)) {
                return;
            }
            double estimate = FirstTokenEstimator.estimate(state, group, now);
            double score = estimate / state.outlier.weight()
                    + penaltyNanos
                    + longPenalty * longFraction(state)
                    + BATCH_PENALTY * group.typicalFirstToken() * state.batchFraction();
            score *= 1 + NOISE * random.nextDouble();
            if (score < bestScore) {
                best = state;
                bestScore = score;
                bestEstimate = estimate;
            }
        }

        private boolean healthy(UpstreamState state) {
            return !state.leaving()
                    && !state.outlier.ejected()
                    && !inUse(state)
                    && !(avoidExcluded && request.excluded().contains(state.name()));
        }

        boolean inUse(UpstreamState state) {
            for (OnlineAttempt attempt : request.openAttempts()) {
                if (attempt.state() == state) {
                    return true;
                }
            }
            return false;
        }

        private boolean hasCapacity(UpstreamState state) {
            int sequences = Math.max(1, state.config().maxConcurrent());
            int usableSequences = (int) Math.ceil(state.outlier.weight() * sequences);
            if (request.isLong() && longRequests(state) >= Math.max(1, usableSequences / 2)) {
                return false;
            }
            int online = state.totalOnline();
            if (online < usableSequences) {
                return true;
            }
            // A node below its fair share may exceed the limit by a quarter; the others see its load and send less.
            int fairShare = usableSequences / (1 + state.peers.activePeers());
            return state.online() < fairShare && online < usableSequences + Math.max(1, usableSequences / 4);
        }

        private double longFraction(UpstreamState state) {
            return longRequests(state) / (double) Math.max(1, state.config().maxConcurrent());
        }

        /** Returns this node's long requests plus an estimate of the peers' from their outstanding tokens. */
        private int longRequests(UpstreamState state) {
            int median = group.lengths.medianMaxTokens();
            if (median == 0) {
                return state.longOnline();
            }
            long excess = state.peers.outstandingTokens() - (long) state.peers.online() * median;
            long peerLongRequests = Math.min(
                    state.peers.online(), Math.max(0, excess / (2L * LongRequestClassifier.LONG_FACTOR * median)));
            return state.longOnline() + (int) peerLongRequests;
        }

        /** Returns the upstream with the cached prefix if its region and load allow it, otherwise the best one. */
        private UpstreamState applyAffinity() {
            UpstreamState cached = affinity.upstream(request.profile().prefixHash())
                    .map(LatencyAwareDispatcher.this::upstream)
                    .orElse(null);
            if (best == null || cached == null || cached == best) {
                return best;
            }
            boolean local = cached.config().region().equals(best.config().region())
                    && cached.config().group().equals(group.name());
            if (!local || cached.outlier.weight() < 1 || !healthy(cached) || !hasCapacity(cached)) {
                return best;
            }
            double estimate = FirstTokenEstimator.estimate(cached, group, now);
            if (estimate > bestEstimate + AFFINITY_MARGIN * group.typicalFirstToken()) {
                return best;
            }
            bestEstimate = estimate;
            return cached;
        }

        /** Returns the upstream with the lowest randomized estimate when none is healthy, null if all are full. */
        private UpstreamState selectFallback(boolean skipExcluded) {
            UpstreamState chosen = null;
            double leastEstimate = Double.MAX_VALUE;
            for (UpstreamState state : group.members()) {
                boolean excluded = skipExcluded && request.excluded().contains(state.name());
                if (state.leaving() || inUse(state) || excluded) {
                    continue;
                }
                double estimate = FirstTokenEstimator.estimate(state, group, now) * (1 + random.nextDouble());
                boolean full = state.totalOnline() >= Math.max(1, state.config().maxConcurrent());
                if (!full && estimate < leastEstimate) {
                    chosen = state;
                    leastEstimate = estimate;
                }
            }
            return chosen;
        }
    }
}
