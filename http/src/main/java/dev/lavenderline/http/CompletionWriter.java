package dev.lavenderline.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Writes the completion of a model request to its caller, as an event stream or as one JSON body. Every token is
 * written once, in the order of the calls. Confined to the event loop.
 */
final class CompletionWriter {
    private final HttpServerResponse response;
    private final ModelRequest request;
    private final CompletionBody body;
    private final StringBuilder text = new StringBuilder();
    private int tokens;

    CompletionWriter(HttpServerResponse response, ModelRequest request, String id, long createdSeconds) {
        this.response = response;
        this.request = request;
        this.body = new CompletionBody(request, id, createdSeconds);
    }

    /** Returns the text received so far. */
    String text() {
        return text.toString();
    }

    /** Returns the number of tokens received so far. */
    int tokens() {
        return tokens;
    }

    void writeToken(StreamListener.Token token) {
        text.append(token.text());
        tokens++;
        if (request.stream()) {
            startStream();
            response.write(event(callerChunk(token)));
        }
    }

    /** Sends an SSE comment that keeps the connection of a streaming caller alive. */
    void writeComment() {
        if (request.stream()) {
            startStream();
            response.write(": waiting\n\n");
        }
    }

    void complete(String finishReason, int promptTokens) {
        if (request.stream()) {
            endStream(finishReason, promptTokens);
        } else {
            sendJsonBody(finishReason, promptTokens);
        }
    }

    /** Ends the response with an error; a started stream ends with an error event and without {@code [DONE]}. */
    void fail(ApiError error) {
        if (response.headWritten()) {
            response.end(event(ErrorBodies.json(error)));
        } else {
            ErrorBodies.send(response, error);
        }
    }

    private void startStream() {
        if (!response.headWritten()) {
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("Cache-Control", "no-cache");
        }
    }

    private ObjectNode callerChunk(StreamListener.Token token) {
        ObjectNode chunk = token.chunk();
        chunk.put("id", body.id());
        chunk.put("created", body.createdSeconds());
        chunk.put("model", request.deployment());
        chunk.remove("usage");
        JsonNode choice = chunk.path("choices").path(0);
        if (choice instanceof ObjectNode fields) {
            // The finish reason is sent only once the whole completion has arrived.
            fields.putNull("finish_reason");
            if (tokens == 1 && fields.get("delta") instanceof ObjectNode delta) {
                delta.put("role", "assistant");
            }
        }
        return chunk;
    }

    private void endStream(String finishReason, int promptTokens) {
        startStream();
        Buffer out = event(body.lastChunk(finishReason));
        if (request.includeUsage()) {
            out.appendBuffer(event(body.usageChunk(tokens, promptTokens)));
        }
        response.end(out.appendString("data: [DONE]\n\n"));
    }

    private void sendJsonBody(String finishReason, int promptTokens) {
        response.putHeader("Content-Type", "application/json")
                .end(bytes(body.completion(text.toString(), tokens, finishReason, promptTokens)));
    }

    private static Buffer event(JsonNode node) {
        return Buffer.buffer("data: ").appendBuffer(bytes(node)).appendString("\n\n");
    }

    private static Buffer bytes(JsonNode node) {
        try {
            return Buffer.buffer(Json.MAPPER.writeValueAsBytes(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }
}
