package dev.lavenderline.node.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.admission.AttemptFailure;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.http.ApiError;
import dev.lavenderline.http.CompletionBody;
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
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Sends batch items to engines and collects each answer until it is complete.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class ItemExecutor {
    private static final int DEFAULT_MAX_TOKENS = 512;

    private final UpstreamClient client;
    private final Duration firstTokenTimeout;
    private final Duration stallTimeout;
    private final Ticker ticker;

    /**
     * Creates an executor.
     *
     * @param firstTokenTimeout longest time until the first token
     * @param stallTimeout longest time between two tokens
     */
    ItemExecutor(UpstreamClient client, Duration firstTokenTimeout, Duration stallTimeout, Ticker ticker) {
        this.client = client;
        this.firstTokenTimeout = firstTokenTimeout;
        this.stallTimeout = stallTimeout;
        this.ticker = ticker;
    }

    /** Receives the progress of a run, which ends with {@code done} or {@code failed} unless it is cancelled. */
    interface Listener {
        void firstToken();

        void done(ItemResult result);

        void failed(AttemptFailure failure, ItemResult errorResult);
    }

    /** Returns the parsed request, or the error result of an item that cannot be sent. */
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
        return ModelRequest.parse(body, line.url(), DEFAULT_MAX_TOKENS).mapLeft(error -> rejected(index, line, error));
    }

    private static ItemResult rejected(int index, InputFile.Line line, ApiError error) {
        return error(index, line.customId(), error.status(), error.code(), error.message());
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
     * The answer that an engine generated before the item was cancelled; the next attempt continues it.
     *
     * @param tokens number of tokens in the text
     */
    record PartialAnswer(String text, int tokens) {
        static final PartialAnswer EMPTY = new PartialAnswer("", 0);
    }

    /** An item in flight on an engine. */
    static final class Run {
        private final UpstreamClient.Exchange exchange;
        private final AnswerCollector collector;

        private Run(UpstreamClient.Exchange exchange, AnswerCollector collector) {
            this.exchange = exchange;
            this.collector = collector;
        }

        /** Cancels the request and returns the answer generated so far. */
        PartialAnswer cancel() {
            exchange.cancel();
            return collector.partialAnswer();
        }
    }

    /**
     * Sends an item; the engine continues the partial answer of an earlier attempt.
     *
     * @param mayRun whether the item may still run, evaluated just before its body is sent
     */
    Run run(
            Upstream upstream,
            String requestId,
            int index,
            String customId,
            ModelRequest request,
            PartialAnswer partial,
            boolean newConnection,
            BooleanSupplier mayRun,
            Listener listener) {
        StreamRequest stream = new StreamRequest(
                requestId,
                request.path(),
                request.continuation(partial.text(), partial.tokens()),
                TrafficClass.BATCH,
                firstTokenTimeout,
                stallTimeout,
                newConnection,
                Optional.of(mayRun));
        AnswerCollector collector = new AnswerCollector(
                index, customId, requestId, request, partial, ticker.now().getEpochSecond(), listener);
        return new Run(client.stream(upstream, stream, collector), collector);
    }

    private static final class AnswerCollector implements StreamListener {
        private final int index;
        private final String customId;
        private final String requestId;
        private final ModelRequest request;
        private final Listener listener;
        private final long createdEpochSeconds;
        private final int partialTokens;
        private final StringBuilder text = new StringBuilder();
        private int tokens;
        private boolean hasFirstToken;

        private AnswerCollector(
                int index,
                String customId,
                String requestId,
                ModelRequest request,
                PartialAnswer partial,
                long createdEpochSeconds,
                Listener listener) {
            this.index = index;
            this.customId = customId;
            this.requestId = requestId;
            this.request = request;
            this.listener = listener;
            this.createdEpochSeconds = createdEpochSeconds;
            this.partialTokens = partial.tokens();
            this.text.append(partial.text());
            this.tokens = partial.tokens();
        }

        /** Returns the answer to continue; empty if all tokens are generated and only the end is missing. */
        private PartialAnswer partialAnswer() {
            return tokens < request.maxTokens() ? new PartialAnswer(text.toString(), tokens) : PartialAnswer.EMPTY;
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
                    .setBody(ByteString.copyFromUtf8(responseBody(end).toString()))
                    .build());
        }

        private ObjectNode responseBody(End end) {
            // The engine counts the tokens of the partial answer as prompt tokens.
            int promptTokens = Math.max(0, end.promptTokens() - partialTokens);
            return new CompletionBody(request, requestId, createdEpochSeconds)
                    .completion(text.toString(), tokens, end.finishReason(), promptTokens);
        }

        @Override
        public void failed(UpstreamFailure failure) {
            ItemResult errorResult =
                    error(index, customId, failure.status(), errorCode(failure), failure.message()).toBuilder()
                            .setRequestId(requestId)
                            .setBody(ByteString.copyFrom(failure.body().getBytes()))
                            .build();
            listener.failed(attemptFailure(failure), errorResult);
        }

        private static String errorCode(UpstreamFailure failure) {
            return failure.kind() == UpstreamFailure.Kind.REFUSED ? "refused" : "attempts_exhausted";
        }

        private static AttemptFailure attemptFailure(UpstreamFailure failure) {
            return switch (failure.kind()) {
                case CONNECT -> AttemptFailure.NOT_SENT;
                case NOT_WANTED -> AttemptFailure.CANCELLED;
                case SILENT -> AttemptFailure.TIMED_OUT;
                case REJECTED -> AttemptFailure.REJECTED;
                case REFUSED -> AttemptFailure.REFUSED;
                case BROKEN, UNKNOWN_STREAM, CROSSED -> AttemptFailure.KILLED;
            };
        }
    }
}
