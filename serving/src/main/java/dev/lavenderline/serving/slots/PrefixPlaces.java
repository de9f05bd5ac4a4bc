package dev.lavenderline.serving.slots;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Upstreams that read a shared part of a prompt lately. Not thread-safe. */
final class PrefixPlaces {
    /** Shared parts that are remembered; the least recently used one is forgotten. */
    private static final int CAPACITY = 4096;

    private final Map<Long, Set<String>> places = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Set<String>> eldest) {
            return size() > CAPACITY;
        }
    };

    void record(long prefix, String upstream) {
        places.computeIfAbsent(prefix, key -> new LinkedHashSet<>()).add(upstream);
    }

    boolean holds(long prefix, String upstream) {
        Set<String> known = places.get(prefix);
        return known != null && known.contains(upstream);
    }
}
