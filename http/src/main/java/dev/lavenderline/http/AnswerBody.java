package dev.lavenderline.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Renders complete answers in the JSON form of the model endpoints.
 *
 * <pre>{@code
 * ObjectNode body = new AnswerBody(request, "req-1", seconds).whole(text, tokens, "stop", promptTokens);
 * }</pre>
 *
 * @param request the request that is answered
 * @param id id shown to the caller
 * @param createdSeconds time of the request in seconds since the epoch
 */
public record AnswerBody(ModelRequest request, String id, long createdSeconds) {
    /**
     * Returns the body of a whole answer.
     *
     * @param text all of the answer
     * @param tokens number of its tokens
     * @param finishReason reason given by the engine
     * @param promptTokens length of the prompt in tokens
     */
    public ObjectNode whole(String text, int tokens, String finishReason, int promptTokens) {
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

    /** Returns the last event of a stream, which carries the finish reason. */
    ObjectNode lastChunk(String finishReason) {
        ObjectNode last = chunk();
        ObjectNode choice = last.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return last;
    }

    /** Returns the event of a stream that carries the usage. */
    ObjectNode usageChunk(int tokens, int promptTokens) {
        ObjectNode counts = chunk();
        counts.putArray("choices");
        counts.set("usage", usage(promptTokens, tokens));
        return counts;
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
