package dev.lavenderline.standins.engine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Cache of prompt prefixes in blocks of 64 tokens, least recently used block first out. The hash of a block covers
 * all blocks before it. Not thread-safe.
 */
final class PrefixCache {
    static final int BLOCK_TOKENS = 64;

    private final int capacity;
    private final BiConsumer<String, Long> onChange;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param tokens capacity in tokens
     * @param onChange receives {@code stored} or {@code removed} and the block's hash
     */
    PrefixCache(int tokens, BiConsumer<String, Long> onChange) {
        this.capacity = tokens / BLOCK_TOKENS;
        this.onChange = onChange;
    }

    /** Returns the hashes of the full blocks of a prompt. */
    static List<Long> blocksOf(String model, String prompt) {
        int size = BLOCK_TOKENS * TokenText.CHARS_PER_TOKEN;
        List<Long> hashes = new ArrayList<>();
        long previous = TokenText.hash(model);
        for (int start = 0; start + size <= prompt.length(); start += size) {
            Hasher hasher = Hashing.murmur3_128().newHasher().putLong(previous);
            hasher.putString(prompt.substring(start, start + size), StandardCharsets.UTF_8);
            previous = hasher.hash().asLong();
            hashes.add(previous);
        }
        return hashes;
    }

    /** Returns how many leading blocks are cached, and marks them as used. */
    int match(List<Long> hashes) {
        int matched = 0;
        for (Long hash : hashes) {
            if (blocks.get(hash) == null) {
                break;
            }
            matched++;
        }
        return matched;
    }

    void store(List<Long> hashes) {
        if (capacity == 0) {
            return;
        }
        for (Long hash : hashes) {
            if (blocks.put(hash, true) == null) {
                onChange.accept("stored", hash);
            }
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() > capacity) {
            Long hash = oldest.next();
            oldest.remove();
            onChange.accept("removed", hash);
        }
    }

    List<Long> contents() {
        return List.copyOf(blocks.keySet());
    }

    int tokens() {
        return blocks.size() * BLOCK_TOKENS;
    }
}
