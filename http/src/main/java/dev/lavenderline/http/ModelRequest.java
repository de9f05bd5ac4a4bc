package dev.lavenderline.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A validated chat or text completion request, which renders the body that is sent to engines. Engines always get a
 * streaming request, so that a completion can be resumed even if the caller does not stream it. Immutable.
 *
 * <pre>{@code
 * ModelRequest.parse(bytes, "/v1/chat/completions", 512).map(request -> request.body());
 * }</pre>
 */
public final class ModelRequest {
    /** Path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** Path of text completions. */
    public static final String TEXT_PATH = "/v1/completions";

    private static final int CHARS_PER_TOKEN = 4;
    private static final int PREFIX_CHARS = 1024;
    private static final int MAX_TOKENS = 10_000_000;

    /** Parameters whose responses have more than one text and so can be neither resumed nor continued. */
    private static final List<String> UNSUPPORTED_FIELDS =
            List.of("tools", "functions", "logprobs", "top_logprobs", "best_of", "echo", "suffix", "audio");

    private final ObjectNode body;
    private final String path;
    private final String deployment;
    private final boolean stream;
    private final boolean includeUsage;
    private final int maxTokens;
    private final String prompt;

    private ModelRequest(
            ObjectNode body,
            String path,
            String deployment,
            boolean stream,
            boolean includeUsage,
            int maxTokens,
            String prompt) {
        this.body = body;
        this.path = path;
        this.deployment = deployment;
        this.stream = stream;
        this.includeUsage = includeUsage;
        this.maxTokens = maxTokens;
        this.prompt = prompt;
    }

    /**
     * Parses and validates a request body; a left result is the error for the caller.
     *
     * @param path {@link #CHAT_PATH} or {@link #TEXT_PATH}
     * @param defaultMaxTokens token limit if the body sets none
     */
    public static Either<ApiError, ModelRequest> parse(byte[] bytes, String path, int defaultMaxTokens) {
        JsonNode node;
        try {
            node = Json.MAPPER.readTree(bytes);
        } catch (JsonProcessingException e) {
            return invalid("malformed_json", "the body is not valid JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            return invalid("malformed_json", "the body cannot be read: " + e.getMessage());
        }
        if (!(node instanceof ObjectNode body)) {
            return invalid("malformed_json", "the body is not a JSON object");
        }
        return validate(body, path, defaultMaxTokens);
    }

    private static Either<ApiError, ModelRequest> validate(ObjectNode body, String path, int defaultMaxTokens) {
        if (!body.path("model").isTextual()) {
            return invalid("invalid_field", "field model must be a string");
        }
        for (String name : UNSUPPORTED_FIELDS) {
            JsonNode value = body.path(name);
            boolean unset = value.isMissingNode() || value.isNull() || (value.isBoolean() && !value.booleanValue());
            if (!unset) {
                return invalid("unsupported_field", "field " + name + " is not supported");
            }
        }
        if (body.hasNonNull("n") && body.path("n").asInt(0) != 1) {
            return invalid("unsupported_field", "field n must be 1, is " + body.path("n"));
        }
        boolean chat = path.equals(CHAT_PATH);
        JsonNode prompt = body.path(chat ? "messages" : "prompt");
        if (chat && !validMessages(prompt)) {
            return invalid("invalid_field", "field messages must be a list of objects with a role, not empty");
        }
        if (!chat && !prompt.isTextual()) {
            return invalid("invalid_field", "field prompt must be a string");
        }
        String tokensField = body.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode maxTokens = body.path(tokensField);
        boolean given = body.hasNonNull(tokensField);
        if (given && (!maxTokens.isInt() || maxTokens.intValue() < 1 || maxTokens.intValue() > MAX_TOKENS)) {
            return invalid(
                    "invalid_field", "field " + tokensField + " must be 1 to " + MAX_TOKENS + ", is " + maxTokens);
        }
        if (body.hasNonNull("stream") && !body.path("stream").isBoolean()) {
            return invalid("invalid_field", "field stream must be true or false, is " + body.path("stream"));
        }
        return Either.right(new ModelRequest(
                body,
                path,
                body.path("model").textValue(),
                body.path("stream").asBoolean(false),
                body.path("stream_options").path("include_usage").asBoolean(false),
                given ? maxTokens.intValue() : defaultMaxTokens,
                chat ? prompt.toString() : prompt.textValue()));
    }

    private static boolean validMessages(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return false;
        }
        for (JsonNode message : messages) {
            if (!message.isObject() || !message.path("role").isTextual()) {
                return false;
            }
        }
        return true;
    }

    private static <T> Either<ApiError, T> invalid(String code, String message) {
        return Either.left(ApiError.invalid(code, message));
    }

    /** Returns whether this is a chat completion. */
    public boolean chat() {
        return path.equals(CHAT_PATH);
    }

    /** Returns the path of the endpoint, which is the same at the engine. */
    public String path() {
        return path;
    }

    /** Returns the name of the deployment, from the field {@code model}. */
    public String deployment() {
        return deployment;
    }

    /** Returns whether the caller asked for an event stream. */
    public boolean stream() {
        return stream;
    }

    /** Returns whether the caller asked for the token usage at the end of the stream. */
    public boolean includeUsage() {
        return includeUsage;
    }

    /** Returns the largest number of tokens to generate. */
    public int maxTokens() {
        return maxTokens;
    }

    /** Returns the estimated prompt length in tokens. */
    public int promptTokens() {
        return Math.max(1, prompt.length() / CHARS_PER_TOKEN);
    }

    /** Returns a hash of the start of the prompt. */
    public long prefixHash() {
        String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARS));
        return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the body to send to an engine. */
    public Buffer body() {
        return continuation("", 0);
    }

    /**
     * Returns the body for an engine that continues a partial completion.
     *
     * @param partial text generated so far
     * @param tokens number of tokens generated so far, less than {@link #maxTokens}
     */
    public Buffer continuation(String partial, int tokens) {
        ObjectNode copy = body.deepCopy();
        copy.put("stream", true);
        copy.putObject("stream_options").put("include_usage", true);
        copy.remove("max_completion_tokens");
        copy.put("max_tokens", maxTokens - tokens);
        if (!partial.isEmpty()) {
            appendPartial(copy, partial);
        }
        try {
            return Buffer.buffer(Json.MAPPER.writeValueAsBytes(copy));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a request body", e);
        }
    }

    private void appendPartial(ObjectNode copy, String partial) {
        if (!chat()) {
            copy.put("prompt", prompt + partial);
            return;
        }
        ArrayNode messages = (ArrayNode) copy.get("messages");
        JsonNode last = messages.get(messages.size() - 1);
        boolean continued = copy.path("continue_final_message").asBoolean(false);
        if (continued && last.path("content").isTextual()) {
            ((ObjectNode) last).put("content", last.path("content").textValue() + partial);
        } else {
            messages.addObject().put("role", "assistant").put("content", partial);
        }
        copy.put("continue_final_message", true);
        copy.put("add_generation_prompt", false);
    }
}
