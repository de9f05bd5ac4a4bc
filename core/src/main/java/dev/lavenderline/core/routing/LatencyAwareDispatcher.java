package dev.lavenderline.core.routing;

import static java.util.Objects.requireNonNull;

import dev.lavenderline.core.Ticker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends each request to the upstream with the least expected time to the first token, estimated from the node's own
 * attempts in flight, the counts of the peers and recent latency.
 *
 * <p>Upstreams in the node's region go first; another region is used if the own one has no healthy upstream or its
 * expected wait is longer by more than the price threshold. Requests wait in the node while every usable upstream has as
 * many online requests as sequences. In a large group only a random part of the upstreams is evaluated for a decision.
 */
final class LatencyAwareDispatcher extends QueueingDispatcher {
    private static final int AFFINITY_BOUND = 8192;
    /** An engine with a cached prefix is preferred while its estimate is at most this part of a first token higher. */
    private static final double AFFINITY_MARGIN = 0.5;
    /** Penalty for another failure domain of the region, in first-token times; above the noise. */
    private static final double OTHER_DOMAIN_PENALTY = 0.1;
    /** Estimates are compared with up to 5% of noise, so that nodes with equal views do not choose the same upstream. */
    private static final double NOISE = 0.05;
    /**
     * Penalty for an engine whose sequences are all batch, in first-token times. It keeps online requests together on
     * few engines, so that batch fills the others without being cancelled and without prefills next to online requests.
     */
    private static final double BATCH_PENALTY = 0.3;
    /** Penalty for a long request on an engine whose sequences are all long, in first-token times. */
    private static final double LONG_PENALTY = 10;

    private final UniformRandomProvider random;
    private final PrefixAffinity affinity = new PrefixAffinity(AFFINITY_BOUND);
    private final Map<String, List<UpstreamState>> toProbe = new HashMap<>();

    LatencyAwareDispatcher(DispatcherOptions options, Ticker ticker, UniformRandomProvider random, Locality locality) {
        super(options, ticker, locality);
        this.random = requireNonNull(random, "random");
    }

    @Override
    UpstreamState choose(OnlineRequest request, UpstreamState preferred, long nowNanos) {
        Search search = new Search(request, nowNanos);
        UpstreamState chosen = search.run(preferred);
        if (chosen == null || chosen.outlier.ejected()) {
            return chosen;
        }
        return probeOr(chosen, request, nowNanos);
    }

    /** Plans a probe of a slow or failed upstream if one is due; it is sent as a hedge if possible, else in place. */
    private UpstreamState probeOr(UpstreamState chosen, OnlineRequest request, long nowNanos) {
        List<UpstreamState> group = toProbe.getOrDefault(request.group().name(), List.of());
        if (group.isEmpty() || request.isLong() || request.hasLongPrompt()) {
            return chosen;
        }
        boolean asHedge = options().hedging() && request.profile().repeatable();
        boolean affordable = hedgeAffordable();
        for (UpstreamState state : group) {
            boolean sameRegion = state.config().region().equals(chosen.config().region());
            boolean due =
                    asHedge && !affordable ? state.outlier.probeOverdue(nowNanos) : state.outlier.probeDue(nowNanos);
            if (!sameRegion || state.leaving() || !due) {
                continue;
            }
            if (state == chosen || request.excluded().contains(state.name())) {
                continue;
            }
            state.outlier.probed(nowNanos);
            if (!asHedge || !affordable) {
                return state;
            }
            request.probe(state);
            return chosen;
        }
        return chosen;
    }

    @Override
    UpstreamState chooseForHedge(OnlineRequest request, long nowNanos) {
        Search search = new Search(request, nowNanos);
        UpstreamState chosen = search.run(null);
        return chosen == null || chosen.outlier.ejected() || search.inUse(chosen) ? null : chosen;
    }

    @Override
    double expectedFirstToken(UpstreamGroup group, long nowNanos) {
        return group.typicalFirstToken();
    }

    @Override
    void answered(OnlineAttempt attempt, long nowNanos) {
        affinity.served(attempt.request().profile().prefixHash(), attempt.upstream());
    }

    @Override
    void assess(UpstreamGroup group, long nowNanos) {
        List<UpstreamState> found = new ArrayList<>();
        for (UpstreamState state : group.all()) {
            double before = state.outlier.weight();
            state.outlier.assess(ratio(state, group, nowNanos), nowNanos);
            if (state.outlier.weight() < before) {
                touch(state);
            }
            if (state.outlier.needsProbe()) {
                found.add(state);
            }
        }
        toProbe.put(group.name(), found);
    }

    /** Returns the latency of an upstream relative to its group, 0 if it is unknown. */
    private static double ratio(UpstreamState state, UpstreamGroup group, long nowNanos) {
        double ratio = 0;
        double medianInterval = group.medianInterval();
        if (medianInterval > 0) {
            double intervalRatio = state.interval(nowNanos) / medianInterval;
            // Shortly after a token the time since then is no sign of health.
            if (intervalRatio > 1 || state.intervalKnown(nowNanos)) {
                ratio = intervalRatio;
            }
        }
        double medianFirstToken = group.medianFirstToken();
        if (medianFirstToken > 0) {
            // A single first token says little, because it depends on what else was sent at that moment.
            if (state.statistics.firstTokenSamples() != 1) {
                ratio = Math.max(ratio, state.firstToken(nowNanos) / medianFirstToken);
            }
            if (group.firstTokenCount(nowNanos) >= LEAST_FIRST_TOKENS) {
                double usual = Math.min(2 * medianFirstToken, group.firstTokenQuantile(0.95, nowNanos) / 2.0);
                double age = state.oldestWithoutTokenNanos(nowNanos);
                double ageRatio = age / Math.max(medianFirstToken, usual);
                ratio = ageRatio > 1 ? Math.max(ratio, ageRatio) : ratio;
            }
        }
        return ratio;
    }

    /** One decision. */
    private final class Search {
        private final OnlineRequest request;
        private final UpstreamGroup group;
        private final long now;
        private final double longPenalty;
        private boolean avoidExcluded = true;
        private boolean healthySeen;
        private UpstreamState best;
        private double bestScore;
        private double bestEstimate;

        Search(OnlineRequest request, long now) {
            this.request = request;
            this.group = request.group();
            this.now = now;
            this.longPenalty = request.isLong() ? LONG_PENALTY * group.typicalFirstToken() : 0;
        }

        UpstreamState run(UpstreamState preferred) {
            UpstreamState chosen = search(preferred);
            if (chosen != null || healthySeen) {
                return chosen;
            }
            if (!request.excluded().isEmpty()) {
                avoidExcluded = false;
                chosen = search(preferred);
                if (chosen != null || healthySeen) {
                    return chosen;
                }
            }
            chosen = leastBad(true);
            return chosen != null ? chosen : leastBad(false);
        }

        private UpstreamState search(UpstreamState preferred) {
            reset();
            int part = options().candidates() / 2;
            if (preferred != null && group.domain().contains(preferred)) {
                consider(preferred, 0);
            }
            considerSome(group.domain(), part, 0);
            considerSome(group.region(), part, OTHER_DOMAIN_PENALTY * group.typicalFirstToken());
            boolean localHealthy = healthySeen;
            UpstreamState local = withAffinity();
            double threshold = options().priceThreshold().toNanos();
            double localWait = local != null ? bestEstimate : localHealthy ? waitInQueue() : Double.MAX_VALUE;
            if (group.remote().isEmpty() || localWait <= threshold) {
                return local;
            }
            reset();
            considerSome(group.remote(), part, 0);
            boolean remoteHealthy = healthySeen;
            healthySeen = localHealthy || remoteHealthy;
            if (best == null) {
                return local;
            }
            return localWait > bestEstimate + threshold ? best : local;
        }

        private void reset() {
            best = null;
            bestScore = Double.MAX_VALUE;
            bestEstimate = Double.MAX_VALUE;
            healthySeen = false;
        }

        /** Returns the expected time until a local upstream can take the request and send its first token. */
        private double waitInQueue() {
            double wait = Math.max(queueWait(group), group.serviceTime() / localSequences());
            return wait + group.typicalFirstToken();
        }

        private int localSequences() {
            int sequences = 0;
            for (UpstreamState state : group.domain()) {
                sequences += state.online();
            }
            for (UpstreamState state : group.region()) {
                sequences += state.online();
            }
            return Math.max(1, sequences);
        }

        private void considerSome(List<UpstreamState> candidates, int limit, double penaltyNanos) {
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
            healthySeen = true;
            if (!hasCapacity(state)) {
                return;
            }
            double estimate = FirstTokenEstimator.estimate(state, group, now);
            double score = estimate / state.outlier.weight()
                    + penaltyNanos
                    + longPenalty * longPart(state)
                    + BATCH_PENALTY * group.typicalFirstToken() * state.batchPart();
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
            for (OnlineAttempt attempt : request.open()) {
                if (attempt.state() == state) {
                    return true;
                }
            }
            return false;
        }

        private boolean hasCapacity(UpstreamState state) {
            int sequences = Math.max(1, state.config().maxConcurrent());
            int usable = (int) Math.ceil(state.outlier.weight() * sequences);
            if (request.isLong() && longs(state) >= Math.max(1, usable / 2)) {
                return false;
            }
            int online = state.onlineOfAll();
            if (online < usable) {
                return true;
            }
            // A node below its fair share may exceed the limit a little; the others see it and hold back.
            int share = usable / (1 + state.peers.active());
            return state.online() < share && online < usable + Math.max(1, usable / 4);
        }

        private double longPart(UpstreamState state) {
            return longs(state) / (double) Math.max(1, state.config().maxConcurrent());
        }

        /** Returns own long requests plus an estimate of the peers' ones from their outstanding tokens. */
        private int longs(UpstreamState state) {
            int median = group.lengths.medianMaxTokens();
            if (median == 0) {
                return state.longOnline();
            }
            long excess = state.peers.outstandingTokens() - (long) state.peers.online() * median;
            long peers =
                    Math.min(state.peers.online(), Math.max(0, excess / (2L * LongRequestClassifier.FACTOR * median)));
            return state.longOnline() + (int) peers;
        }

        /** Prefers the upstream with the cached prefix if it is in the region and hardly busier than the best one. */
        private UpstreamState withAffinity() {
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

        /** Returns the ejected upstream with the least estimate, because every upstream is ejected. */
        private UpstreamState leastBad(boolean withoutExcluded) {
            UpstreamState chosen = null;
            double least = Double.MAX_VALUE;
            for (UpstreamState state : group.all()) {
                boolean excluded = withoutExcluded && request.excluded().contains(state.name());
                if (state.leaving() || inUse(state) || excluded) {
                    continue;
                }
                double estimate = FirstTokenEstimator.estimate(state, group, now) * (1 + random.nextDouble());
                boolean full = state.onlineOfAll() >= Math.max(1, state.config().maxConcurrent());
                if (!full && estimate < least) {
                    chosen = state;
                    least = estimate;
                }
            }
            return chosen;
        }
    }
}
