package dev.lavenderline.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Bounded LRU map from a prompt prefix to the upstream that last served it. */
final class PrefixAffinity {
    private final Map<Long, String> upstreams;

    PrefixAffinity(int bound) {
        upstreams = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                return size() > bound;
            }
        };
    }

    /** Returns the upstream for a prefix; the hash 0 stands for no prefix. */
    Optional<String> upstream(long prefixHash) {
        return prefixHash == 0 ? Optional.empty() : Optional.ofNullable(upstreams.get(prefixHash));
    }

    void record(long prefixHash, String upstream) {
        if (prefixHash != 0) {
            upstreams.put(prefixHash, upstream);
        }
    }

    int size() {
        return upstreams.size();
    }
}
