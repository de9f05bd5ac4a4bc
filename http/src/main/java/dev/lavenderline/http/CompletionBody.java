package dev.lavenderline.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Renders the JSON response bodies and the final stream events of the model endpoints.
 *
 * <pre>{@code
 * ObjectNode body = new CompletionBody(request, "req-1", seconds).completion(text, tokens, "stop", promptTokens);
 * }</pre>
 *
 * @param request the request that the response belongs to
 * @param id request id sent to the caller
 * @param createdSeconds time of the request in seconds since the epoch
 */
public record CompletionBody(ModelRequest request, String id, long createdSeconds) {
    /**
     * Returns the body of a response that is not streamed.
     *
     * @param text the complete generated text
     * @param tokens number of generated tokens
     * @param finishReason finish reason reported by the engine
     * @param promptTokens length of the prompt in tokens
     */
    public ObjectNode completion(String text, int tokens, String finishReason, int promptTokens) {
        ObjectNode body = envelope(request.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        body.set("usage", usage(promptTokens, tokens));
        return body;
    }

    /** Returns the stream event that carries the finish reason. */
    ObjectNode lastChunk(String finishReason) {
        ObjectNode chunk = chunk();
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    /** Returns the stream event that carries the token usage. */
    ObjectNode usageChunk(int tokens, int promptTokens) {
        ObjectNode usageChunk = chunk();
        usageChunk.putArray("choices");
        usageChunk.set("usage", usage(promptTokens, tokens));
        return usageChunk;
    }

    private ObjectNode chunk() {
        return envelope(request.chat() ? "chat.completion.chunk" : "text_completion");
    }

    private ObjectNode envelope(String object) {
        return Json.MAPPER
                .createObjectNode()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", request.deployment());
    }

    private static ObjectNode usage(int promptTokens, int tokens) {
        return Json.MAPPER
                .createObjectNode()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", tokens)
                .put("total_tokens", promptTokens + tokens);
    }
}
