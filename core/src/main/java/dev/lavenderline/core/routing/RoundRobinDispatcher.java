package dev.lavenderline.core.routing;

import dev.lavenderline.core.Ticker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Baseline: sends each request immediately to the next upstream of its group, regardless of load. */
final class RoundRobinDispatcher extends QueueingDispatcher {
    private final Map<String, Integer> next = new HashMap<>();

    RoundRobinDispatcher(DispatcherOptions options, Ticker ticker, Locality locality) {
        super(options.withHedging(false), ticker, locality);
    }

    @Override
    UpstreamState choose(OnlineRequest request, UpstreamState preferred, long nowNanos) {
        List<UpstreamState> members = request.group().members();
        int start = next.getOrDefault(request.group().name(), 0);
        UpstreamState excluded = null;
        for (int i = 0; i < members.size(); i++) {
            int index = (start + i) % members.size();
            UpstreamState state = members.get(index);
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
