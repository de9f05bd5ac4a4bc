package dev.lavenderline.standins.engine;

import java.util.List;

/** State of one request in the step loop. Not thread-safe. */
final class Sequence {
    final String id;
    final long promptHash;
    final int promptTokens;
    final List<Long> blockHashes;
    /** Index of the first token to generate; above 0 for a continued completion. */
    final int firstTokenIndex;

    final int tokensToGenerate;
    /** Finish reason reported after {@code tokensToGenerate} tokens. */
    final String finishReason;

    long arrivedNanos;
    int generatedTokens;
    int cachedTokens;
    int remainingPrefillTokens;
    boolean cancelled;

    Sequence(
            String id,
            long promptHash,
            int promptTokens,
            List<Long> blockHashes,
            int firstTokenIndex,
            int tokensToGenerate,
            String finishReason) {
        this.id = id;
        this.promptHash = promptHash;
        this.promptTokens = promptTokens;
        this.blockHashes = blockHashes;
        this.firstTokenIndex = firstTokenIndex;
        this.tokensToGenerate = tokensToGenerate;
        this.finishReason = finishReason;
    }

    /** Returns the number of tokens that the sequence occupies in the KV cache. */
    int kvTokens() {
        return promptTokens - remainingPrefillTokens + generatedTokens;
    }
}
