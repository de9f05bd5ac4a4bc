package dev.lavenderline.core.routing;

/**
 * Classifies requests as long or short: a request is long if its {@code max_tokens} or its prompt is more than 8 times
 * the moving median of its group. A running request becomes long when it has generated more than 8 times the median
 * number of tokens of finished requests.
 */
final class LongRequestClassifier {
    static final int LONG_FACTOR = 8;
    private static final int MIN_VALUES = 16;

    private final MovingMedian maxTokens = new MovingMedian(MIN_VALUES);
    private final MovingMedian promptTokens = new MovingMedian(MIN_VALUES);
    private final MovingMedian generatedTokens = new MovingMedian(MIN_VALUES);

    /** Classifies a new request and adds it to the medians. */
    boolean classify(int requestMaxTokens, int requestPromptTokens) {
        boolean isLong = exceeds(requestMaxTokens, maxTokens.median()) || longPrompt(requestPromptTokens);
        maxTokens.add(requestMaxTokens);
        promptTokens.add(requestPromptTokens);
        return isLong;
    }

    boolean longPrompt(int requestPromptTokens) {
        return exceeds(requestPromptTokens, promptTokens.median());
    }

    boolean longOutput(int tokens) {
        return exceeds(tokens, generatedTokens.median());
    }

    void finished(int tokens) {
        generatedTokens.add(tokens);
    }

    /** Returns the likely number of tokens that a request generates; at least 1. */
    int expectedTokens(int requestMaxTokens) {
        int median = generatedTokens.median();
        return Math.max(1, median == 0 ? Math.min(1, requestMaxTokens) : Math.min(median, requestMaxTokens));
    }

    /** Returns the median of {@code max_tokens}, 0 if there are too few requests. */
    int medianMaxTokens() {
        return maxTokens.median();
    }

    private static boolean exceeds(int value, int median) {
        return median > 0 && value > (long) LONG_FACTOR * median;
    }
}
