package dev.lavenderline.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The fields of a completion request that determine its completion.
 *
 * @param prompt the prompt to prefill, including a partial completion at its end
 * @param basePrompt the prompt without the partial completion
 * @param partialTokens number of tokens in the partial completion
 * @param maxTokens largest number of tokens to generate
 * @param requestedLength length of the whole completion in tokens that the prompt requests with {@code length=N}, or -1
 */
record CompletionRequest(String prompt, String basePrompt, int partialTokens, int maxTokens, int requestedLength) {
    private static final Pattern LENGTH = Pattern.compile("length=(\\d{1,7})");
    private static final int DEFAULT_MAX_TOKENS = 16;

    /**
     * Parses a request body.
     *
     * @throws IllegalArgumentException if a field is missing or has the wrong type
     */
    static CompletionRequest parse(JsonObject body, boolean chat) {
        try {
            String prompt = chat ? renderChat(body) : body.getString("prompt");
            if (prompt == null) {
                throw new IllegalArgumentException("field prompt is missing");
            }
            boolean continuesMessage = !chat || body.getBoolean("continue_final_message", false);
            TokenText.Split split =
                    continuesMessage ? TokenText.splitGenerated(prompt) : new TokenText.Split(prompt, 0);
            int maxTokens = body.getInteger("max_tokens", DEFAULT_MAX_TOKENS);
            if (maxTokens < 1) {
                throw new IllegalArgumentException("max_tokens is " + maxTokens + ", must be at least 1");
            }
            Matcher length = LENGTH.matcher(prompt);
            int requestedLength = length.find() ? Math.max(1, Integer.parseInt(length.group(1))) : -1;
            return new CompletionRequest(prompt, split.base(), split.generatedTokens(), maxTokens, requestedLength);
        } catch (ClassCastException e) {
            throw new IllegalArgumentException("a field has the wrong type: " + e.getMessage(), e);
        }
    }

    private static String renderChat(JsonObject body) {
        JsonArray messages = body.getJsonArray("messages");
        if (messages == null || messages.isEmpty()) {
            throw new IllegalArgumentException("field messages is missing or empty");
        }
        boolean continuesMessage = body.getBoolean("continue_final_message", false);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            JsonObject message = messages.getJsonObject(i);
            text.append(message.getString("role")).append(": ").append(message.getString("content"));
            boolean last = i == messages.size() - 1;
            if (!last) {
                text.append('\n');
            } else if (!continuesMessage) {
                text.append("\nassistant: ");
            }
        }
        return text.toString();
    }

    /** Returns the number of tokens to generate after the partial completion. */
    int tokensToGenerate() {
        int remaining = requestedLength < 0 ? maxTokens : Math.max(1, requestedLength - partialTokens);
        return Math.min(remaining, maxTokens);
    }

    String finishReason() {
        return requestedLength >= 0 && requestedLength - partialTokens <= maxTokens ? "stop" : "length";
    }
}
