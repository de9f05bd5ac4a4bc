package dev.lavenderline.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** The completion of one request: its tokens so far and the connection they are written to. Not thread-safe. */
final class EngineStream {
    final Sequence sequence;
    final RequestHistory.Entry entry;
    private final boolean chat;
    private final String model;
    private final long createdSeconds;
    private final List<String> tokens = new ArrayList<>();
    private HttpServerResponse response;
    private boolean nonStreaming;
    private String responseId;
    private boolean ended;
    /** Incremented when a connection is attached or detached, so that an expiry timer set before has no effect. */
    int attachmentEpoch;

    EngineStream(Sequence sequence, RequestHistory.Entry entry, boolean chat, String model) {
        this.sequence = sequence;
        this.entry = entry;
        this.chat = chat;
        this.model = model;
        this.responseId = sequence.id;
        this.createdSeconds = System.currentTimeMillis() / 1000;
    }

    /** Returns another request's ID in the response (fault {@code cross_answers}). */
    void overrideId(String id) {
        responseId = id;
    }

    boolean attached() {
        return response != null;
    }

    boolean ended() {
        return ended;
    }

    boolean isAttached(HttpServerResponse candidate) {
        return response == candidate;
    }

    /** Sets the connection that gets the completion in one JSON body when it has ended. */
    void attachNonStreaming(HttpServerResponse newResponse) {
        attachmentEpoch++;
        response = newResponse;
        nonStreaming = true;
    }

    /** Streams the tokens from index {@code from} on to a connection; resets the previous connection. */
    void attach(HttpServerResponse newResponse, int from) {
        HttpServerResponse previous = response;
        attachmentEpoch++;
        response = newResponse;
        nonStreaming = false;
        if (previous != null) {
            previous.reset();
        }
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("X-Request-Id", responseId)
                .writeHead();
        for (int index = from; index < tokens.size(); index++) {
            writeToken(index);
        }
        if (ended) {
            writeFinal();
        }
    }

    void detach() {
        attachmentEpoch++;
        response = null;
    }

    /** Resets the connection, if there is one; the stream can still be resumed. */
    void resetConnection() {
        HttpServerResponse previous = response;
        if (previous != null) {
            detach();
            previous.reset();
        }
    }

    void addToken(String text) {
        tokens.add(text);
        if (response != null && !nonStreaming) {
            writeToken(tokens.size() - 1);
        }
    }

    void end() {
        ended = true;
        if (response != null) {
            writeFinal();
        }
    }

    private void writeToken(int index) {
        String text = tokens.get(index);
        JsonObject choice = new JsonObject().put("index", 0);
        if (chat) {
            choice.put("delta", new JsonObject().put("content", text));
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        response.write("id: " + index + "\ndata: "
                + envelope(true).put("choices", new JsonArray().add(choice)).encode() + "\n\n");
    }

    private void writeFinal() {
        HttpServerResponse finalResponse = response;
        response = null;
        JsonObject choice = new JsonObject().put("index", 0);
        if (nonStreaming) {
            String text = String.join("", tokens);
            if (chat) {
                choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
            } else {
                choice.put("text", text);
            }
        } else if (chat) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", sequence.finishReason);
        JsonObject body = envelope(!nonStreaming)
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage());
        if (nonStreaming) {
            finalResponse
                    .putHeader("Content-Type", "application/json")
                    .putHeader("X-Request-Id", responseId)
                    .end(body.toBuffer());
        } else {
            finalResponse.end("data: " + body.encode() + "\n\ndata: [DONE]\n\n");
        }
    }

    private JsonObject envelope(boolean chunk) {
        String object = chat ? (chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
        return new JsonObject()
                .put("id", responseId)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model);
    }

    private JsonObject usage() {
        return new JsonObject()
                .put("prompt_tokens", sequence.promptTokens)
                .put("completion_tokens", tokens.size())
                .put("total_tokens", sequence.promptTokens + tokens.size())
                .put("prompt_tokens_details", new JsonObject().put("cached_tokens", sequence.cachedTokens));
    }
}
