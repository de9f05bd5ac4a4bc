package dev.lavenderline.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the engine takes from a request body.
 *
 * @param prompt the whole prompt as it is prefilled, with the partial answer
 * @param base the prompt without the partial answer
 * @param partialTokens tokens of the partial answer
 * @param maxTokens largest number of tokens to generate
 * @param fullLength length that the prompt asks for with {@code length=N}, or -1
 */
record PromptReader(String prompt, String base, int partialTokens, int maxTokens, int fullLength) {
    private static final Pattern LENGTH = Pattern.compile("length=(\\d{1,7})");
    private static final int DEFAULT_MAX_TOKENS = 16;

    /**
     * Reads a body.
     *
     * @throws IllegalArgumentException if a field is missing or has the wrong type
     */
    static PromptReader read(JsonObject body, boolean chat) {
        try {
            String prompt = chat ? render(body) : body.getString("prompt");
            if (prompt == null) {
                throw new IllegalArgumentException("field prompt is missing");
            }
            boolean continued = !chat || body.getBoolean("continue_final_message", false);
            TokenText.Split split = continued ? TokenText.split(prompt) : new TokenText.Split(prompt, 0);
            int maxTokens = body.getInteger("max_tokens", DEFAULT_MAX_TOKENS);
            if (maxTokens < 1) {
                throw new IllegalArgumentException("max_tokens is " + maxTokens + ", must be at least 1");
            }
            Matcher length = LENGTH.matcher(prompt);
            int fullLength = length.find() ? Math.max(1, Integer.parseInt(length.group(1))) : -1;
            return new PromptReader(prompt, split.text(), split.tokens(), maxTokens, fullLength);
        } catch (ClassCastException e) {
            throw new IllegalArgumentException("a field has the wrong type: " + e.getMessage(), e);
        }
    }

    private static String render(JsonObject body) {
        JsonArray messages = body.getJsonArray("messages");
        if (messages == null || messages.isEmpty()) {
            throw new IllegalArgumentException("field messages is missing or empty");
        }
        boolean continued = body.getBoolean("continue_final_message", false);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            JsonObject message = messages.getJsonObject(i);
            text.append(message.getString("role")).append(": ").append(message.getString("content"));
            boolean last = i == messages.size() - 1;
            if (!last) {
                text.append('\n');
            } else if (!continued) {
                text.append("\nassistant: ");
            }
        }
        return text.toString();
    }

    /** Returns the number of tokens to generate. */
    int length() {
        int wanted = fullLength < 0 ? maxTokens : Math.max(1, fullLength - partialTokens);
        return Math.min(wanted, maxTokens);
    }

    String finishReason() {
        return fullLength >= 0 && fullLength - partialTokens <= maxTokens ? "stop" : "length";
    }
}
