package dev.lavenderline.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Writes the answer to a model request to its caller, as a stream or whole. Every token is written once, in the order
 * of the calls. Confined to the event loop.
 */
final class AnswerSink {
    private final HttpServerResponse response;
    private final ModelRequest request;
    private final String id;
    private final long createdSeconds;
    private final StringBuilder text = new StringBuilder();
    private int tokens;

    AnswerSink(HttpServerResponse response, ModelRequest request, String id, long createdSeconds) {
        this.response = response;
        this.request = request;
        this.id = id;
        this.createdSeconds = createdSeconds;
    }

    /** Returns the text passed on so far. */
    String text() {
        return text.toString();
    }

    /** Returns the number of tokens passed on so far. */
    int tokens() {
        return tokens;
    }

    void token(StreamListener.Token token) {
        text.append(token.text());
        tokens++;
        if (request.stream()) {
            begin();
            response.write(event(chunkFor(token)));
        }
    }

    /** Tells a waiting caller of a stream that the connection is alive. */
    void comment() {
        if (request.stream()) {
            begin();
            response.write(": waiting\n\n");
        }
    }

    void end(String finishReason, int promptTokens) {
        if (request.stream()) {
            endStream(finishReason, promptTokens);
        } else {
            endWhole(finishReason, promptTokens);
        }
    }

    /** Ends with an error; a stream that has begun ends with an error event and without an end marker. */
    void error(ApiError error) {
        if (response.headWritten()) {
            response.end(event(ErrorBodies.json(error)));
        } else {
            ErrorBodies.send(response, error);
        }
    }

    private void begin() {
        if (!response.headWritten()) {
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("Cache-Control", "no-cache");
        }
    }

    private ObjectNode chunkFor(StreamListener.Token token) {
        ObjectNode chunk = token.chunk();
        chunk.put("id", id);
        chunk.put("created", createdSeconds);
        chunk.put("model", request.deployment());
        chunk.remove("usage");
        JsonNode choice = chunk.path("choices").path(0);
        if (choice instanceof ObjectNode fields) {
            // The reason is passed on only when the whole answer arrived.
            fields.putNull("finish_reason");
            if (tokens == 1 && fields.get("delta") instanceof ObjectNode delta) {
                delta.put("role", "assistant");
            }
        }
        return chunk;
    }

    private ObjectNode envelope(String object) {
        return Json.MAPPER
                .createObjectNode()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", request.deployment());
    }

    private ObjectNode usage(int promptTokens) {
        return Json.MAPPER
                .createObjectNode()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", tokens)
                .put("total_tokens", promptTokens + tokens);
    }

    private void endStream(String finishReason, int promptTokens) {
        begin();
        ObjectNode last = envelope(request.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = last.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        Buffer out = event(last);
        if (request.includeUsage()) {
            ObjectNode counts = envelope(request.chat() ? "chat.completion.chunk" : "text_completion");
            counts.putArray("choices");
            counts.set("usage", usage(promptTokens));
            out.appendBuffer(event(counts));
        }
        response.end(out.appendString("data: [DONE]\n\n"));
    }

    private void endWhole(String finishReason, int promptTokens) {
        ObjectNode body = envelope(request.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", finishReason);
        body.set("usage", usage(promptTokens));
        response.putHeader("Content-Type", "application/json").end(bytes(body));
    }

    private static Buffer event(JsonNode node) {
        return Buffer.buffer("data: ").appendBuffer(bytes(node)).appendString("\n\n");
    }

    private static Buffer bytes(JsonNode node) {
        try {
            return Buffer.buffer(Json.MAPPER.writeValueAsBytes(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a JSON tree", e);
        }
    }
}
