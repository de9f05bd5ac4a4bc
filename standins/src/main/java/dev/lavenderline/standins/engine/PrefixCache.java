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
 * Cache of prompt prefixes in blocks of 64 tokens; the least recently used block is evicted first. The hash of a block
 * also covers all blocks before it. Not thread-safe.
 */
final class PrefixCache {
    static final int BLOCK_TOKENS = 64;

    private final int capacityBlocks;
    private final BiConsumer<String, Long> onChange;
    /** Cached block hashes in access order; the values are unused. */
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param capacityTokens capacity in tokens, rounded down to whole blocks
     * @param onChange called with {@code stored} or {@code removed} and the hash of the block
     */
    PrefixCache(int capacityTokens, BiConsumer<String, Long> onChange) {
        this.capacityBlocks = capacityTokens / BLOCK_TOKENS;
        this.onChange = onChange;
    }

    /** Returns the hashes of the complete blocks of a prompt; a partial last block has none. */
    static List<Long> blockHashes(String model, String prompt) {
        int blockChars = BLOCK_TOKENS * TokenText.CHARS_PER_TOKEN;
        List<Long> hashes = new ArrayList<>();
        long previous = TokenText.hash(model);
        for (int start = 0; start + blockChars <= prompt.length(); start += blockChars) {
            Hasher hasher = Hashing.murmur3_128().newHasher().putLong(previous);
            hasher.putString(prompt.substring(start, start + blockChars), StandardCharsets.UTF_8);
            previous = hasher.hash().asLong();
            hashes.add(previous);
        }
        return hashes;
    }

    /** Returns the number of leading blocks that are cached, and marks them as recently used. */
    int matchPrefix(List<Long> hashes) {
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
        if (capacityBlocks == 0) {
            return;
        }
        for (Long hash : hashes) {
            if (blocks.put(hash, true) == null) {
                onChange.accept("stored", hash);
            }
        }
        Iterator<Long> leastRecent = blocks.keySet().iterator();
        while (blocks.size() > capacityBlocks) {
            Long hash = leastRecent.next();
            leastRecent.remove();
            onChange.accept("removed", hash);
        }
    }

    List<Long> cachedHashes() {
        return List.copyOf(blocks.keySet());
    }

    int tokens() {
        return blocks.size() * BLOCK_TOKENS;
    }
}
