package dev.lavenderline.core.routing;

import dev.lavenderline.core.Ticker;

/** Baseline: sends each request immediately to the upstream with the fewest requests in flight from this node. */
final class LeastInFlightDispatcher extends QueueingDispatcher {
    LeastInFlightDispatcher(DispatcherOptions options, Ticker ticker, Locality locality) {
        super(options.withHedging(false), ticker, locality);
    }

    @Override
    UpstreamState choose(OnlineRequest request, UpstreamState preferred, long nowNanos) {
        UpstreamState best = null;
        UpstreamState excluded = null;
        for (UpstreamState state : request.group().members()) {
            if (state.leaving()) {
                continue;
            }
            if (request.excluded().contains(state.name())) {
                excluded = state;
            } else if (best == null || state.online() < best.online()) {
                best = state;
            }
        }
        return best == null ? excluded : best;
    }

    @Override
    UpstreamState chooseForHedge(OnlineRequest request, long nowNanos) {
        return null;
    }

    @Override
    double expectedFirstToken(UpstreamGroup group, long nowNanos) {
        return 0;
    }
}
