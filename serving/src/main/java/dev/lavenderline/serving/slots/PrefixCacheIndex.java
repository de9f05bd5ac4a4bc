package dev.lavenderline.serving.slots;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Upstreams that recently processed a shared prompt prefix and may have it cached. Not thread-safe. */
final class PrefixCacheIndex {
    /** Largest number of prefixes; the least recently used one is evicted. */
    private static final int MAX_PREFIXES = 4096;

    private final Map<Long, Set<String>> upstreamsByPrefix = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    void record(long prefix, String upstream) {
        upstreamsByPrefix.computeIfAbsent(prefix, key -> new LinkedHashSet<>()).add(upstream);
    }

    boolean mayHaveCached(long prefix, String upstream) {
        Set<String> upstreams = upstreamsByPrefix.get(prefix);
        return upstreams != null && upstreams.contains(upstream);
    }
}
