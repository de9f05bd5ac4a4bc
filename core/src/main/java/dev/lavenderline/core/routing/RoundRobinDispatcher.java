package dev.lavenderline.core.routing;

import dev.lavenderline.core.Ticker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Baseline: sends each request at once to the next upstream of its group, whatever its load. */
final class RoundRobinDispatcher extends QueueingDispatcher {
    private final Map<String, Integer> next = new HashMap<>();

    RoundRobinDispatcher(DispatcherOptions options, Ticker ticker, Locality locality) {
        super(options.withHedging(false), ticker, locality);
    }

    @Override
    UpstreamState choose(OnlineRequest request, UpstreamState preferred, long nowNanos) {
        List<UpstreamState> all = request.group().all();
        int start = next.getOrDefault(request.group().name(), 0);
        UpstreamState excluded = null;
        for (int i = 0; i < all.size(); i++) {
            int index = (start + i) % all.size();
            UpstreamState state = all.get(index);
            if (state.leaving()) {
                continue;
            }
            if (request.excluded().contains(state.name())) {
                excluded = state;
                continue;
            }
            next.put(request.group().name(), index + 1);
            return state;
        }
        return excluded;
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
