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
 * One online model request from its acceptance to its final answer.
 *
 * <p>Invariants: at most two attempts are open; tokens of one attempt only, the winner, are passed on; token
 * {@code n} is passed on only after token {@code n - 1}; after the final answer no attempt is open. Confined to the
 * event loop.
 */
final class OnlineRequest {
    /** Bounds the engines that one request can take down, whatever the retry budget allows. */
    private static final int MAX_ATTEMPTS = 4;

    private final ServerContext server;
    private final Caller caller;
    private final ModelRequest model;
    private final long deadlineNanos;
    private final HttpServerResponse response;
    private final AnswerSink sink;
    private final List<Try> open = new ArrayList<>(2);
    private final Set<String> excluded = new HashSet<>();
    private Dispatcher.Ticket ticket;
    private Either<Refusal, Dispatcher.Attempt> earlyDecision;
    private Try winner;
    private int attempts;
    private boolean maybeSent;
    private boolean done;
    private long queuedNanos;
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
        this.sink = new AnswerSink(
                response, model, caller.requestId(), server.ticker().now().getEpochSecond());
    }

    void start() {
        response.closeHandler(closed -> callerLeft());
        response.exceptionHandler(failure -> callerLeft());
        RequestProfile profile = new RequestProfile(
                caller.requestId(),
                caller.workspace(),
                model.deployment(),
                model.prefixHash(),
                model.promptTokens(),
                model.maxTokens(),
                deadlineNanos,
                true);
        long left = deadlineNanos - server.ticker().nanos();
        deadlineTimer = server.vertx().setTimer(Math.max(1, millis(left)), fired -> deadlinePassed());
        if (model.stream()) {
            long period = server.limits().comment().toMillis();
            lastWriteNanos = server.ticker().nanos();
            commentTimer = server.vertx().setPeriodic(period, fired -> commentIfQuiet());
        }
        queuedNanos = server.ticker().nanos();
        Either<Refusal, Dispatcher.Ticket> admitted = server.dispatcher().submit(profile, this::decided);
        if (admitted.isLeft()) {
            fail(ErrorBodies.notRun(admitted.getLeft()));
            return;
        }
        ticket = admitted.get();
        if (earlyDecision != null) {
            decided(earlyDecision);
        }
    }

    private void decided(Either<Refusal, Dispatcher.Attempt> decision) {
        if (ticket == null) {
            // The dispatcher decided before submit returned.
            earlyDecision = decision;
            return;
        }
        if (done) {
            decision.forEach(Dispatcher.Attempt::cancelled);
            return;
        }
        if (decision.isLeft()) {
            giveUp(decision.getLeft());
            return;
        }
        send(decision.get());
        armHedge();
    }

    private void send(Dispatcher.Attempt attempt) {
        attempts++;
        Upstream upstream = server.config().get().upstreams().get(attempt.upstream());
        if (upstream == null) {
            // The configuration changed after the decision.
            attempt.cancelled();
            excluded.add(attempt.upstream());
            retry();
            return;
        }
        if (attempts == 1) {
            long waited = server.ticker().nanos() - queuedNanos;
            long sinceArrival = server.ticker().nanos() - caller.arrivedNanos();
            server.metrics().addedLatency.update(sinceArrival - waited, TimeUnit.NANOSECONDS);
        }
        if (sink.tokens() > 0) {
            HttpEvent.STREAM_CONTINUED.info(caller.requestId(), upstream.name(), sink.tokens());
        }
        Try attemptInProgress = new Try(attempt, upstream, sink.tokens());
        open.add(attemptInProgress);
        attemptInProgress.start();
    }

    private void armHedge() {
        if (done || sink.tokens() > 0 || open.size() != 1 || hedgeTimer >= 0) {
            return;
        }
        Optional<Duration> delay = ticket.hedgeDelay();
        if (delay.isEmpty()) {
            return;
        }
        long wait = Math.max(1, delay.get().toMillis());
        hedgeTimer = server.vertx().setTimer(wait, fired -> hedge());
    }

    private void hedge() {
        hedgeTimer = -1;
        if (done || winner != null || open.size() != 1) {
            return;
        }
        ticket.hedge().ifPresent(attempt -> {
            server.metrics().hedges.inc();
            send(attempt);
        });
    }

    private void retry() {
        if (attempts >= MAX_ATTEMPTS) {
            giveUp(new Refusal(Refusal.Reason.RETRY_BUDGET, Duration.ofSeconds(1), attempts + " attempts failed"));
            return;
        }
        Optional<Refusal> refusal = ticket.retry(Set.copyOf(excluded));
        if (refusal.isEmpty()) {
            server.metrics().retries.inc();
        }
        refusal.ifPresent(this::giveUp);
    }

    private void giveUp(Refusal refusal) {
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

    private void deadlinePassed() {
        if (done) {
            return;
        }
        boolean sent = maybeSent || open.stream().anyMatch(Try::maybeSent);
        if (sent) {
            fail(deadlineExceeded());
        } else {
            fail(ApiError.notRun("no upstream was free before the deadline", Duration.ofSeconds(1)));
        }
    }

    private void callerLeft() {
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
        sink.error(error);
    }

    private void finish(String finishReason, int promptTokens) {
        close();
        sink.end(finishReason, promptTokens);
    }

    /** Ends all upstream work. */
    private void close() {
        done = true;
        server.vertx().cancelTimer(deadlineTimer);
        server.vertx().cancelTimer(commentTimer);
        server.vertx().cancelTimer(hedgeTimer);
        for (Try attempt : List.copyOf(open)) {
            attempt.cancel();
        }
        if (ticket != null) {
            ticket.close();
        }
    }

    private void commentIfQuiet() {
        long now = server.ticker().nanos();
        if (!done && now - lastWriteNanos >= server.limits().comment().toNanos() / 2) {
            lastWriteNanos = now;
            sink.comment();
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** One attempt on one engine, with its resumptions. */
    private final class Try implements StreamListener {
        private final Dispatcher.Attempt attempt;
        private final Upstream upstream;
        private final int base;
        private final StreamRequest request;
        private UpstreamClient.Exchange exchange;
        private int received;
        private boolean accepted;
        /** Whether the stream was resumed since the last token. */
        private boolean resumed;

        private boolean sentAgain;
        private boolean ended;

        /** Creates an attempt that starts at a token of the answer. */
        Try(Dispatcher.Attempt attempt, Upstream upstream, int base) {
            this.attempt = attempt;
            this.upstream = upstream;
            this.base = base;
            this.request = new StreamRequest(
                    caller.requestId() + "-" + attempts,
                    model.path(),
                    model.continuation(sink.text(), base),
                    TrafficClass.ONLINE,
                    server.limits().firstToken(),
                    server.limits().stall(),
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
            open.remove(this);
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
                win();
            }
            if (received == 0) {
                attempt.firstToken();
            }
            if (sink.tokens() == 0) {
                server.metrics().firstToken.update(now - caller.arrivedNanos(), TimeUnit.NANOSECONDS);
            } else {
                server.metrics().tokenInterval.update(now - lastTokenNanos, TimeUnit.NANOSECONDS);
            }
            received++;
            resumed = false;
            lastTokenNanos = now;
            lastWriteNanos = now;
            attempt.tokens(1);
            sink.token(token);
            if (response.writeQueueFull()) {
                // A slow caller holds back its own stream instead of filling the node's memory.
                exchange.pause();
                response.drainHandler(drained -> exchange.resume());
            }
        }

        private void win() {
            winner = this;
            for (Try other : List.copyOf(open)) {
                if (other != this) {
                    other.cancel();
                }
            }
        }

        @Override
        public void end(End answer) {
            if (ended) {
                return;
            }
            win();
            end();
            attempt.finished();
            finish(answer.finishReason(), Math.max(0, answer.promptTokens() - base));
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
            boolean neverArrived = failure.kind() == UpstreamFailure.Kind.UNKNOWN_STREAM && !accepted;
            if (neverArrived && !sentAgain) {
                sendAgain();
                return;
            }
            end();
            if (winner == this) {
                winner = null;
            }
            if (failure.kind() == UpstreamFailure.Kind.REFUSED && sink.tokens() == 0) {
                attempt.finished();
                fail(refused(failure));
                return;
            }
            attempt.failed(failure.forDispatcher());
            boolean mayStillRun = failure.maybeSent() && failure.status() < 400;
            if (mayStillRun) {
                server.client().cancel(upstream, request.requestId(), TrafficClass.ONLINE);
            }
            excluded.add(upstream.name());
            if (!open.isEmpty()) {
                return;
            }
            continueElsewhere();
        }

        /**
         * Returns whether the same engine is asked again on a new connection, which is done once without progress. A
         * failure before the first token may lie in a pooled connection, whose state can be lost while the engine is
         * healthy; a new connection excludes that cause.
         */
        private boolean resumable(UpstreamFailure failure) {
            if (resumed) {
                return false;
            }
            boolean pooled = !request.newConnection();
            return switch (failure.kind()) {
                case BROKEN -> accepted || pooled;
                case SILENT -> received > 0 || pooled;
                default -> false;
            };
        }

        private void resumeStream() {
            resumed = true;
            server.metrics().resumes.inc();
            HttpEvent.STREAM_RESUMED.info(request.requestId(), upstream.name(), received);
            exchange = server.client().resume(upstream, request, received, this);
        }

        /** Sends the request again when the engine answered that it has not seen it. */
        private void sendAgain() {
            sentAgain = true;
            HttpEvent.SENT_AGAIN.info(request.requestId(), upstream.name());
            exchange = server.client().stream(upstream, request.onNewConnection(), this);
        }

        private ApiError refused(UpstreamFailure failure) {
            String reason = ErrorBodies.upstreamMessage(failure.body());
            return new ApiError(failure.status(), "refused_by_engine", reason, Optional.empty());
        }
    }

    private void continueElsewhere() {
        if (sink.tokens() >= model.maxTokens()) {
            // All tokens arrived, only the end of the stream was lost.
            finish("length", model.promptTokens());
            return;
        }
        retry();
    }
}
