package dev.lavenderline.core.routing;

/**
 * Tells long requests from short ones: a request is long if its {@code max_tokens} or its prompt is more than 8 times
 * the moving median of its group. A running request becomes long when it has generated more than 8 times the median
 * number of tokens of finished requests.
 */
final class LongRequestClassifier {
    static final int FACTOR = 8;
    private static final int LEAST_VALUES = 16;

    private final MovingMedian maxTokens = new MovingMedian(LEAST_VALUES);
    private final MovingMedian promptTokens = new MovingMedian(LEAST_VALUES);
    private final MovingMedian generated = new MovingMedian(LEAST_VALUES);

    /** Classifies a new request and adds it to the medians. */
    boolean classify(int requestMaxTokens, int requestPromptTokens) {
        boolean isLong = over(requestMaxTokens, maxTokens.median()) || longPrompt(requestPromptTokens);
        maxTokens.add(requestMaxTokens);
        promptTokens.add(requestPromptTokens);
        return isLong;
    }

    boolean longPrompt(int requestPromptTokens) {
        return over(requestPromptTokens, promptTokens.median());
    }

    boolean longOutput(int tokens) {
        return over(tokens, generated.median());
    }

    void finished(int tokens) {
        generated.add(tokens);
    }

    /** Returns the likely number of tokens that a request generates; at least 1. */
    int expectedTokens(int requestMaxTokens) {
        int median = generated.median();
        return Math.max(1, median == 0 ? Math.min(1, requestMaxTokens) : Math.min(median, requestMaxTokens));
    }

    /** Returns the median of {@code max_tokens}, 0 if there are too few requests. */
    int medianMaxTokens() {
        return maxTokens.median();
    }

    private static boolean over(int value, int median) {
        return median > 0 && value > (long) FACTOR * median;
    }
}
