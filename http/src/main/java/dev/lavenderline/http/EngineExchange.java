package dev.lavenderline.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Reads an engine's response as a stream of server-sent events, in the format of the HTML standard, section 9.2. */
final class EngineExchange extends UpstreamExchange {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final String requestId;
    private final boolean resumed;
    private final StreamListener listener;
    private final RecordParser lines = RecordParser.newDelimited("\n");
    private final StringBuilder eventData = new StringBuilder();
    private int eventIndex = -1;
    private int nextIndex;
    private String finishReason;
    private int promptTokens;

    EngineExchange(
            Vertx vertx,
            HttpClientAgent client,
            UsedConnections usedConnections,
            RequestOptions options,
            Buffer body,
            Duration firstTimeout,
            Duration stallTimeout,
            String requestId,
            int firstIndex,
            boolean resumed,
            Optional<BooleanSupplier> precondition,
            StreamListener listener) {
        super(vertx, client, usedConnections, requestId, options, body, firstTimeout, stallTimeout, precondition);
        this.requestId = requestId;
        this.nextIndex = firstIndex;
        this.resumed = resumed;
        this.listener = listener;
        lines.maxRecordSize(MAX_LINE_BYTES);
        lines.handler(this::handleLine);
        lines.exceptionHandler(cause -> fail(UpstreamFailure.Kind.BROKEN, "a line is longer than 1 MiB"));
    }

    @Override
    void onHead(HttpClientResponse head) {
        String id = head.getHeader(REQUEST_ID_HEADER);
        if (id != null && !id.equals(requestId)) {
            fail(UpstreamFailure.Kind.CROSSED, "the answer has the id " + id + " instead of " + requestId);
            return;
        }
        int status = head.statusCode();
        if (status != 200) {
            failWithBody(failureKind(status), status);
            return;
        }
        listener.head();
    }

    private UpstreamFailure.Kind failureKind(int status) {
        if (resumed && status == 404) {
            return UpstreamFailure.Kind.UNKNOWN_STREAM;
        }
        boolean refused = status >= 400 && status < 500;
        boolean temporary = status == 401 || status == 403 || status == 408 || status == 409 || status == 429;
        return refused && !temporary ? UpstreamFailure.Kind.REFUSED : UpstreamFailure.Kind.REJECTED;
    }

    @Override
    void onData(Buffer bytes) {
        lines.handle(bytes);
    }

    @Override
    void onBodyEnd() {
        fail(UpstreamFailure.Kind.BROKEN, "the stream ended before its end marker");
    }

    @Override
    void notifyFailed(UpstreamFailure failure) {
        listener.failed(failure);
    }

    private void handleLine(Buffer raw) {
        if (done()) {
            return;
        }
        int length = raw.length();
        if (length > 0 && raw.getByte(length - 1) == '\r') {
            length--;
        }
        if (length == 0) {
            dispatchEvent();
            return;
        }
        String line = raw.getString(0, length, StandardCharsets.UTF_8.name());
        if (line.startsWith("data:")) {
            if (!eventData.isEmpty()) {
                eventData.append('\n');
            }
            eventData.append(line, line.startsWith("data: ") ? 6 : 5, line.length());
        } else if (line.startsWith("id:")) {
            eventIndex = parseEventId(line.substring(3).trim());
        }
    }

    private static int parseEventId(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void dispatchEvent() {
        if (eventData.isEmpty()) {
            eventIndex = -1;
            return;
        }
        String data = eventData.toString();
        int index = eventIndex;
        eventData.setLength(0);
        eventIndex = -1;
        if (data.equals("[DONE]")) {
            completeStream();
            return;
        }
        JsonNode event;
        try {
            event = Json.MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            fail(UpstreamFailure.Kind.BROKEN, "an event is not JSON");
            return;
        }
        if (!(event instanceof ObjectNode chunk)) {
            fail(UpstreamFailure.Kind.BROKEN, "an event is not a JSON object");
            return;
        }
        if (chunk.hasNonNull("error")) {
            fail(
                    UpstreamFailure.Kind.BROKEN,
                    "the engine reported: "
                            + chunk.path("error").path("message").asText());
            return;
        }
        String id = chunk.path("id").asText("");
        if (!id.equals(requestId)) {
            fail(UpstreamFailure.Kind.CROSSED, "an event has the id " + id + " instead of " + requestId);
            return;
        }
        handleChunk(chunk, index);
    }

    private void completeStream() {
        if (finishReason == null) {
            fail(UpstreamFailure.Kind.BROKEN, "the stream ended without a finish reason");
            return;
        }
        finishBeforeEnd();
        listener.end(new StreamListener.End(finishReason, promptTokens));
    }

    private void handleChunk(ObjectNode chunk, int index) {
        promptTokens =
                Math.max(promptTokens, chunk.path("usage").path("prompt_tokens").asInt(0));
        JsonNode choice = chunk.path("choices").path(0);
        String text = choice.has("delta")
                ? choice.path("delta").path("content").asText("")
                : choice.path("text").asText("");
        if (choice.hasNonNull("finish_reason")) {
            finishReason = choice.path("finish_reason").asText();
        }
        if (text.isEmpty()) {
            return;
        }
        recordProgress();
        int position = index < 0 ? nextIndex : index;
        if (position < nextIndex) {
            return;
        }
        if (position > nextIndex) {
            fail(UpstreamFailure.Kind.BROKEN, "token " + nextIndex + " is missing, got " + position);
            return;
        }
        nextIndex++;
        listener.token(new StreamListener.Token(position, text, chunk));
    }
}
