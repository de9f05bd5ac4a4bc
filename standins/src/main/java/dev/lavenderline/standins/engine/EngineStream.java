package dev.lavenderline.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** The answer to one request: its tokens so far and the connection that it is written to. Not thread-safe. */
final class EngineStream {
    final Sequence sequence;
    final History.Entry entry;
    private final boolean chat;
    private final String model;
    private final long createdSeconds;
    private final List<String> tokens = new ArrayList<>();
    private HttpServerResponse response;
    private boolean whole;
    private String shownId;
    private boolean ended;
    /** Counts attachments, so that a late expiry of an earlier one has no effect. */
    int attachment;

    EngineStream(Sequence sequence, History.Entry entry, boolean chat, String model) {
        this.sequence = sequence;
        this.entry = entry;
        this.chat = chat;
        this.model = model;
        this.shownId = sequence.id;
        this.createdSeconds = System.currentTimeMillis() / 1000;
    }

    /** Makes the answer carry another request's id (fault). */
    void showId(String id) {
        shownId = id;
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

    void attachWhole(HttpServerResponse newResponse) {
        attachment++;
        response = newResponse;
        whole = true;
    }

    /** Writes the tokens from an index on to a connection; an earlier connection is closed. */
    void attach(HttpServerResponse newResponse, int from) {
        HttpServerResponse previous = response;
        attachment++;
        response = newResponse;
        whole = false;
        if (previous != null) {
            previous.reset();
        }
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("X-Request-Id", shownId)
                .writeHead();
        for (int index = from; index < tokens.size(); index++) {
            writeToken(index);
        }
        if (ended) {
            writeEnd();
        }
    }

    void detach() {
        attachment++;
        response = null;
    }

    /** Closes the connection in the middle of the stream (fault); the stream stays resumable. */
    void cut() {
        HttpServerResponse previous = response;
        if (previous != null) {
            detach();
            previous.reset();
        }
    }

    void token(String text) {
        tokens.add(text);
        if (response != null && !whole) {
            writeToken(tokens.size() - 1);
        }
    }

    void end() {
        ended = true;
        if (response != null) {
            writeEnd();
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

    private void writeEnd() {
        HttpServerResponse target = response;
        response = null;
        JsonObject choice = new JsonObject().put("index", 0);
        if (whole) {
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
        JsonObject body =
                envelope(!whole).put("choices", new JsonArray().add(choice)).put("usage", usage());
        if (whole) {
            target.putHeader("Content-Type", "application/json")
                    .putHeader("X-Request-Id", shownId)
                    .end(body.toBuffer());
        } else {
            target.end("data: " + body.encode() + "\n\ndata: [DONE]\n\n");
        }
    }

    private JsonObject envelope(boolean chunk) {
        String object = chat ? (chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
        return new JsonObject()
                .put("id", shownId)
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
