package dev.lavenderline.node.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.admission.ItemOutcome;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.http.AnswerBody;
import dev.lavenderline.http.ApiError;
import dev.lavenderline.http.ModelRequest;
import dev.lavenderline.http.StreamListener;
import dev.lavenderline.http.StreamRequest;
import dev.lavenderline.http.TrafficClass;
import dev.lavenderline.http.UpstreamClient;
import dev.lavenderline.http.UpstreamFailure;
import dev.lavenderline.proto.log.ItemResult;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Runs one batch item on one engine and gathers its whole answer.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class ItemExecutor {
    private static final int DEFAULT_MAX_TOKENS = 512;

    private final UpstreamClient client;
    private final Duration firstToken;
    private final Duration stall;
    private final Ticker ticker;

    /**
     * Creates an executor.
     *
     * @param firstToken longest time until the first token
     * @param stall longest time between tokens
     */
    ItemExecutor(UpstreamClient client, Duration firstToken, Duration stall, Ticker ticker) {
        this.client = client;
        this.firstToken = firstToken;
        this.stall = stall;
        this.ticker = ticker;
    }

    /** Receives the end of a run; exactly one of {@code done} and {@code failed} is called unless it was cancelled. */
    interface Listener {
        void firstToken();

        void done(ItemResult result);

        void failed(ItemOutcome outcome, ItemResult asResult);
    }

    /** Returns the result of an item that cannot be sent, or the parsed request. */
    static Either<ItemResult, ModelRequest> parse(int index, InputFile.Line line, String endpoint) {
        if (!line.url().equals(endpoint)) {
            return Either.left(error(
                    index,
                    line.customId(),
                    0,
                    "invalid_endpoint",
                    "the item names " + line.url() + ", the batch " + endpoint));
        }
        byte[] body = line.body().toString().getBytes(StandardCharsets.UTF_8);
        return ModelRequest.parse(body, line.url(), DEFAULT_MAX_TOKENS).mapLeft(fault -> rejected(index, line, fault));
    }

    private static ItemResult rejected(int index, InputFile.Line line, ApiError fault) {
        return error(index, line.customId(), fault.status(), fault.code(), fault.message());
    }

    /** Returns a result that records an error. */
    static ItemResult error(int index, String customId, int status, String code, String message) {
        return ItemResult.newBuilder()
                .setIndex(index)
                .setCustomId(customId)
                .setStatus(status)
                .setErrorCode(code)
                .setErrorMessage(message)
                .build();
    }

    /**
     * What an engine generated before an item had to give way; the next attempt continues there.
     *
     * @param text text so far
     * @param tokens number of tokens so far
     */
    record Partial(String text, int tokens) {
        static final Partial NONE = new Partial("", 0);
    }

    /** A run in progress. */
    static final class Run {
        private final UpstreamClient.Exchange exchange;
        private final Gatherer gatherer;

        private Run(UpstreamClient.Exchange exchange, Gatherer gatherer) {
            this.exchange = exchange;
            this.gatherer = gatherer;
        }

        /** Stops the engine's work and returns what it generated. */
        Partial cancel() {
            exchange.cancel();
            return gatherer.partial();
        }
    }

    /** Sends an item, or the rest of it. */
    Run run(
            Upstream upstream,
            String requestId,
            int index,
            String customId,
            ModelRequest request,
            Partial partial,
            boolean newConnection,
            Listener listener) {
        StreamRequest stream = new StreamRequest(
                requestId,
                request.path(),
                request.continuation(partial.text(), partial.tokens()),
                TrafficClass.BATCH,
                firstToken,
                stall,
                newConnection);
        Gatherer gatherer = new Gatherer(
                index, customId, requestId, request, partial, ticker.now().getEpochSecond(), listener);
        return new Run(client.stream(upstream, stream, gatherer), gatherer);
    }

    private static final class Gatherer implements StreamListener {
        private final int index;
        private final String customId;
        private final String requestId;
        private final ModelRequest request;
        private final Listener listener;
        private final long createdSeconds;
        private final int continuedFrom;
        private final StringBuilder text = new StringBuilder();
        private int tokens;
        private boolean hasFirstToken;

        private Gatherer(
                int index,
                String customId,
                String requestId,
                ModelRequest request,
                Partial partial,
                long createdSeconds,
                Listener listener) {
            this.index = index;
            this.customId = customId;
            this.requestId = requestId;
            this.request = request;
            this.listener = listener;
            this.createdSeconds = createdSeconds;
            this.continuedFrom = partial.tokens();
            this.text.append(partial.text());
            this.tokens = partial.tokens();
        }

        /** Returns what can be continued; nothing if only the end of the answer is missing. */
        private Partial partial() {
            return tokens < request.maxTokens() ? new Partial(text.toString(), tokens) : Partial.NONE;
        }

        @Override
        public void token(Token token) {
            text.append(token.text());
            tokens++;
            if (!hasFirstToken) {
                hasFirstToken = true;
                listener.firstToken();
            }
        }

        @Override
        public void end(End end) {
            listener.done(ItemResult.newBuilder()
                    .setIndex(index)
                    .setCustomId(customId)
                    .setStatus(200)
                    .setRequestId(requestId)
                    .setBody(ByteString.copyFromUtf8(body(end).toString()))
                    .build());
        }

        private ObjectNode body(End end) {
            // The engine counts a continued answer's first part as prompt.
            int promptTokens = Math.max(0, end.promptTokens() - continuedFrom);
            return new AnswerBody(request, requestId, createdSeconds)
                    .whole(text.toString(), tokens, end.finishReason(), promptTokens);
        }

        @Override
        public void failed(UpstreamFailure failure) {
            ItemResult asResult = error(index, customId, failure.status(), code(failure), failure.message()).toBuilder()
                    .setRequestId(requestId)
                    .setBody(ByteString.copyFrom(failure.body().getBytes()))
                    .build();
            listener.failed(outcome(failure), asResult);
        }

        private static String code(UpstreamFailure failure) {
            return failure.kind() == UpstreamFailure.Kind.REFUSED ? "refused" : "attempts_exhausted";
        }

        private static ItemOutcome outcome(UpstreamFailure failure) {
            return switch (failure.kind()) {
                case CONNECT -> ItemOutcome.NOT_SENT;
                case SILENT -> ItemOutcome.TIMED_OUT;
                case REJECTED -> ItemOutcome.REJECTED;
                case REFUSED -> ItemOutcome.REFUSED;
                case BROKEN, UNKNOWN_STREAM, CROSSED -> ItemOutcome.KILLED;
            };
        }
    }
}
