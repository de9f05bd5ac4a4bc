package dev.lavenderline.http;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.routing.Dispatcher;
import dev.lavenderline.core.routing.Refusal;
import dev.lavenderline.core.routing.RequestProfile;
import io.vavr.control.Either;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One online model request from its acceptance to the end of its response.
 *
 * <p>Invariants: at most two attempts are open; only the tokens of one attempt, the winner, are sent to the caller;
 * token {@code n} is sent only after token {@code n - 1}; no attempt is open after the response has ended. Confined to
 * the event loop.
 */
final class OnlineRequest {
    /** Limits how many engines one request can crash, whatever the retry budget allows. */
    private static final int MAX_ATTEMPTS = 4;

    /** Limits how often a stream is resumed from the same engine until a token arrives. */
    private static final int MAX_RESUMES = 3;

    private final ServerContext server;
    private final Caller caller;
    private final ModelRequest model;
    private final long deadlineNanos;
    private final HttpServerResponse response;
    private final CompletionWriter writer;
    private final List<EngineAttempt> openAttempts = new ArrayList<>(2);
    private final Set<String> excluded = new HashSet<>();
    private Dispatcher.Ticket ticket;
    private Either<Refusal, Dispatcher.Attempt> earlyDecision;
    private EngineAttempt winner;
    private int attempts;
    private boolean maybeSent;
    private boolean done;
    private long submittedNanos;
    private long lastTokenNanos;
    private long lastWriteNanos;
    private long deadlineTimer = -1;
    private long commentTimer = -1;
    private long hedgeTimer = -1;

    OnlineRequest(
            ServerContext server, Caller caller, ModelRequest model, Duration timeout, HttpServerResponse response) {
        this.server = server;
        this.caller = caller;
        this.model = model;
        this.deadlineNanos = caller.arrivedNanos() + timeout.toNanos();
        this.response = response;
        this.writer = new CompletionWriter(
                response, model, caller.requestId(), server.ticker().now().getEpochSecond());
    }

    void start() {
        response.closeHandler(closed -> onCallerDisconnected());
        response.exceptionHandler(failure -> onCallerDisconnected());
        RequestProfile profile = new RequestProfile(
                caller.requestId(),
                caller.workspace(),
                model.deployment(),
                model.prefixHash(),
                model.promptTokens(),
                model.maxTokens(),
                deadlineNanos,
                true);
        long remainingNanos = deadlineNanos - server.ticker().nanos();
        deadlineTimer = server.vertx().setTimer(Math.max(1, millis(remainingNanos)), fired -> onDeadline());
        if (model.stream()) {
            long periodMs = server.limits().commentInterval().toMillis();
            lastWriteNanos = server.ticker().nanos();
            commentTimer = server.vertx().setPeriodic(periodMs, fired -> writeCommentIfIdle());
        }
        submittedNanos = server.ticker().nanos();
        Either<Refusal, Dispatcher.Ticket> admitted = server.dispatcher().submit(profile, this::onDecision);
        if (admitted.isLeft()) {
            fail(ErrorBodies.notRun(admitted.getLeft()));
            return;
        }
        ticket = admitted.get();
        if (earlyDecision != null) {
            onDecision(earlyDecision);
        }
    }

    private void onDecision(Either<Refusal, Dispatcher.Attempt> decision) {
        if (ticket == null) {
            // The dispatcher called back before submit returned.
            earlyDecision = decision;
            return;
        }
        if (done) {
            decision.forEach(Dispatcher.Attempt::cancelled);
            return;
        }
        if (decision.isLeft()) {
            onRefused(decision.getLeft());
            return;
        }
        send(decision.get());
        scheduleHedge();
    }

    private void send(Dispatcher.Attempt attempt) {
        attempts++;
        Upstream upstream = server.config().get().upstreams().get(attempt.upstream());
        if (upstream == null) {
            // The upstream was removed from the configuration after the decision.
            attempt.cancelled();
            excluded.add(attempt.upstream());
            retry();
            return;
        }
        if (attempts == 1) {
            long waitNanos = server.ticker().nanos() - submittedNanos;
            long sinceArrivalNanos = server.ticker().nanos() - caller.arrivedNanos();
            server.metrics().addedLatency.update(sinceArrivalNanos - waitNanos, TimeUnit.NANOSECONDS);
        }
        if (writer.tokens() > 0) {
            HttpEvent.STREAM_CONTINUED.info(caller.requestId(), upstream.name(), writer.tokens());
        }
        EngineAttempt engineAttempt = new EngineAttempt(attempt, upstream, writer.tokens());
        openAttempts.add(engineAttempt);
        engineAttempt.start();
    }

    private void scheduleHedge() {
        if (done || writer.tokens() > 0 || openAttempts.size() != 1 || hedgeTimer >= 0) {
            return;
        }
        Optional<Duration> delay = ticket.hedgeDelay();
        if (delay.isEmpty()) {
            return;
        }
        long waitMs = Math.max(1, delay.get().toMillis());
        hedgeTimer = server.vertx().setTimer(waitMs, fired -> hedge());
    }

    private void hedge() {
        hedgeTimer = -1;
        if (done || winner != null || openAttempts.size() != 1) {
            return;
        }
        ticket.hedge().ifPresent(attempt -> {
            server.metrics().hedges.inc();
            send(attempt);
        });
    }

    private void retry() {
        if (attempts >= MAX_ATTEMPTS) {
            onRefused(new Refusal(Refusal.Reason.RETRY_BUDGET, Duration.ofSeconds(1), attempts + " attempts failed"));
            return;
        }
        Optional<Refusal> refusal = ticket.retry(Set.copyOf(excluded));
        if (refusal.isEmpty()) {
            server.metrics().retries.inc();
        }
        refusal.ifPresent(this::onRefused);
    }

    private void onRefused(Refusal refusal) {
        if (!maybeSent) {
            fail(ErrorBodies.notRun(refusal));
        } else if (refusal.reason() == Refusal.Reason.DEADLINE) {
            fail(deadlineExceeded());
        } else {
            fail(ApiError.outcomeUnknown(
                    "the answer was lost and could not be completed elsewhere: " + refusal.message()));
        }
    }

    private static ApiError deadlineExceeded() {
        return new ApiError(
                504, "deadline_exceeded", "the answer was not complete before the deadline", Optional.empty());
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        boolean sent = maybeSent || openAttempts.stream().anyMatch(EngineAttempt::maybeSent);
        if (sent) {
            fail(deadlineExceeded());
        } else {
            fail(ApiError.notRun("no upstream was free before the deadline", Duration.ofSeconds(1)));
        }
    }

    private void onCallerDisconnected() {
        if (done) {
            return;
        }
        HttpEvent.CALLER_LEFT.debug(caller.requestId());
        close();
    }

    private void fail(ApiError error) {
        if (done) {
            return;
        }
        close();
        HttpEvent.REQUEST_FAILED.info(caller.requestId(), error.code(), error.message());
        server.metrics().error(error);
        writer.fail(error);
    }

    private void finish(String finishReason, int promptTokens) {
        close();
        writer.complete(finishReason, promptTokens);
    }

    /** Ends the request and all of its work on upstreams. */
    private void close() {
        done = true;
        server.vertx().cancelTimer(deadlineTimer);
        server.vertx().cancelTimer(commentTimer);
        server.vertx().cancelTimer(hedgeTimer);
        for (EngineAttempt attempt : List.copyOf(openAttempts)) {
            attempt.cancel();
        }
        if (ticket != null) {
            ticket.close();
        }
    }

    private void writeCommentIfIdle() {
        long now = server.ticker().nanos();
        if (!done && now - lastWriteNanos >= server.limits().commentInterval().toNanos() / 2) {
            lastWriteNanos = now;
            writer.writeComment();
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** One attempt on one engine, including resumptions of its stream. */
    private final class EngineAttempt implements StreamListener {
        private final Dispatcher.Attempt attempt;
        private final Upstream upstream;
        private final int tokensBefore;
        private final StreamRequest request;
        private UpstreamClient.Exchange exchange;
        private int received;
        private boolean accepted;
        /** Number of times that the stream was resumed after the last token. */
        private int resumesSinceToken;

        private boolean resent;
        private boolean ended;

        /** Creates an attempt that continues after the first {@code tokensBefore} tokens of the completion. */
        EngineAttempt(Dispatcher.Attempt attempt, Upstream upstream, int tokensBefore) {
            this.attempt = attempt;
            this.upstream = upstream;
            this.tokensBefore = tokensBefore;
            this.request = new StreamRequest(
                    caller.requestId() + "-" + attempts,
                    model.path(),
                    model.continuation(writer.text(), tokensBefore),
                    TrafficClass.ONLINE,
                    server.limits().firstTokenTimeout(),
                    server.limits().stallTimeout(),
                    attempts > 1);
        }

        void start() {
            exchange = server.client().stream(upstream, request, this);
        }

        boolean maybeSent() {
            return exchange != null && exchange.maybeSent();
        }

        void cancel() {
            if (ended) {
                return;
            }
            maybeSent |= maybeSent();
            end();
            exchange.cancel();
            attempt.cancelled();
        }

        private void end() {
            ended = true;
            openAttempts.remove(this);
        }

        @Override
        public void head() {
            accepted = true;
        }

        @Override
        public void token(Token token) {
            if (ended) {
                return;
            }
            long now = server.ticker().nanos();
            if (winner != this) {
                becomeWinner();
            }
            if (received == 0) {
                attempt.firstToken();
            }
            if (writer.tokens() == 0) {
                server.metrics().firstToken.update(now - caller.arrivedNanos(), TimeUnit.NANOSECONDS);
            } else {
                server.metrics().tokenInterval.update(now - lastTokenNanos, TimeUnit.NANOSECONDS);
            }
            received++;
            resumesSinceToken = 0;
            lastTokenNanos = now;
            lastWriteNanos = now;
            attempt.tokens(1);
            writer.writeToken(token);
            if (response.writeQueueFull()) {
                // Backpressure: a slow caller slows down its own stream instead of filling the node's memory.
                exchange.pause();
                response.drainHandler(drained -> exchange.resume());
            }
        }

        private void becomeWinner() {
            winner = this;
            for (EngineAttempt other : List.copyOf(openAttempts)) {
                if (other != this) {
                    other.cancel();
                }
            }
        }

        @Override
        public void end(End end) {
            if (ended) {
                return;
            }
            becomeWinner();
            end();
            attempt.finished();
            finish(end.finishReason(), Math.max(0, end.promptTokens() - tokensBefore));
        }

        @Override
        public void failed(UpstreamFailure failure) {
            if (ended) {
                return;
            }
            maybeSent |= failure.maybeSent();
            HttpEvent.ATTEMPT_FAILED.info(request.requestId(), upstream.name(), failure.kind(), failure.message());
            if (resumable(failure)) {
                resumeStream();
                return;
            }
            boolean neverReceived = failure.kind() == UpstreamFailure.Kind.UNKNOWN_STREAM && !accepted;
            if (neverReceived && !resent) {
                resend();
                return;
            }
            end();
            if (winner == this) {
                winner = null;
            }
            if (failure.kind() == UpstreamFailure.Kind.REFUSED && writer.tokens() == 0) {
                attempt.finished();
                fail(refusedByEngine(failure));
                return;
            }
            attempt.failed(failure.forDispatcher());
            boolean mayStillRun = failure.maybeSent() && failure.status() < 400;
            if (mayStillRun) {
                server.client().cancel(upstream, request.requestId(), TrafficClass.ONLINE);
            }
            excluded.add(upstream.name());
            if (!openAttempts.isEmpty()) {
                return;
            }
            continueOnAnotherEngine();
        }

        /**
         * Returns whether to resume the stream from the same engine on a new connection. That is no further run, so
         * that it needs no retry budget. Until a token arrives, it is done once if the engine is silent, as each time
         * costs a timeout, and {@link #MAX_RESUMES} times if connections break. A failure before the first token may be
         * caused by a pooled connection that lost its state while the engine is healthy; a new connection rules that
         * out.
         */
        private boolean resumable(UpstreamFailure failure) {
            boolean pooled = !request.newConnection();
            return switch (failure.kind()) {
                case BROKEN -> resumesSinceToken < MAX_RESUMES && (accepted || pooled);
                case SILENT -> resumesSinceToken == 0 && (received > 0 || pooled);
                default -> false;
            };
        }

        private void resumeStream() {
            resumesSinceToken++;
            server.metrics().resumes.inc();
            HttpEvent.STREAM_RESUMED.info(request.requestId(), upstream.name(), received);
            exchange = server.client().resume(upstream, request, received, this);
        }

        /** Sends the request again after the engine has reported that it does not know it. */
        private void resend() {
            resent = true;
            HttpEvent.SENT_AGAIN.info(request.requestId(), upstream.name());
            exchange = server.client().stream(upstream, request.onNewConnection(), this);
        }

        private ApiError refusedByEngine(UpstreamFailure failure) {
            String reason = ErrorBodies.upstreamMessage(failure.body());
            return new ApiError(failure.status(), "refused_by_engine", reason, Optional.empty());
        }
    }

    private void continueOnAnotherEngine() {
        if (writer.tokens() >= model.maxTokens()) {
            // All tokens have arrived; only the end of the stream was lost.
            finish("length", model.promptTokens());
            return;
        }
        retry();
    }
}
