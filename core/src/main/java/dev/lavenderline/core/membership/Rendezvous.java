package dev.lavenderline.core.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing (highest random weight): orders candidates for a key.
 *
 * <p>All nodes with the same candidates compute the same order, and the relative order of two candidates does not
 * depend on the others. Stateless and thread-safe. Source: Thaler and Ravishankar, "Using name-based mappings to
 * increase hit rates", 1998.
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private Rendezvous() {}

    /** Returns the candidates without duplicates, the most preferred one for the key first. */
    public static List<String> order(String key, Collection<String> candidates) {
        return candidates.stream()
                .distinct()
                .map(candidate -> new Weighted(candidate, weight(key, candidate)))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::candidate))
                .map(Weighted::candidate)
                .toList();
    }

    static long weight(String key, String candidate) {
        return HASH.newHasher()
                .putInt(key.length())
                .putString(key, StandardCharsets.UTF_8)
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private record Weighted(String candidate, long weight) {}
}
