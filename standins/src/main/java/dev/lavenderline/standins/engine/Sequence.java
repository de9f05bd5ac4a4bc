package dev.lavenderline.standins.engine;

import java.util.List;

/** One request inside the step loop. Not thread-safe. */
final class Sequence {
    final String id;
    final long promptHash;
    final int promptTokens;
    final List<Long> blocks;
    /** Index of the first token to generate; above 0 for a continuation. */
    final int firstIndex;
    /** Number of tokens to generate. */
    final int length;
    /** Finish reason when {@code length} tokens were generated. */
    final String finishReason;

    long arrivedNanos;
    int generated;
    int cachedTokens;
    int prefillLeft;
    boolean cancelled;

    Sequence(
            String id,
            long promptHash,
            int promptTokens,
            List<Long> blocks,
            int firstIndex,
            int length,
            String finishReason) {
        this.id = id;
        this.promptHash = promptHash;
        this.promptTokens = promptTokens;
        this.blocks = blocks;
        this.firstIndex = firstIndex;
        this.length = length;
        this.finishReason = finishReason;
    }

    /** Returns the tokens that the sequence holds in the KV cache. */
    int kvTokens() {
        return promptTokens - prefillLeft + generated;
    }
}
