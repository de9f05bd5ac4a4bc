package dev.lavenderline.http;

import dev.lavenderline.core.config.Route;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.routing.Dispatcher;
import dev.lavenderline.core.routing.Refusal;
import dev.lavenderline.core.routing.RequestProfile;
import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One call to a plain service.
 *
 * <p>Invariants: a non-repeatable call is sent again only if no byte of it was written; once a piece of an answer was
 * passed on, no other attempt is made. Answers are held back up to the size that can be recorded, larger ones are
 * passed on as they arrive. Confined to the event loop.
 */
final class RoutedCall implements CallListener {
    /** Bounds the services that one call can take down, whatever the retry budget allows. */
    private static final int MAX_ATTEMPTS = 4;

    private final ServerContext server;
    private final Caller caller;
    private final RoutingContext ctx;
    private final HttpServerResponse response;
    private final Route route;
    private final Buffer body;
    private final Recorder recorder;
    private final long deadlineNanos;
    private final Set<String> excluded = new HashSet<>();
    private Dispatcher.Ticket ticket;
    private Either<Refusal, Dispatcher.Attempt> earlyDecision;
    private Dispatcher.Attempt attempt;
    private UpstreamClient.Exchange exchange;
    private int attempts;
    private boolean maybeSent;
    private boolean passing;
    private boolean callerLeft;
    private boolean done;
    private int status;
    private MultiMap headers;
    private Buffer held = Buffer.buffer();
    private long deadlineTimer = -1;

    /** Records the outcome of a keyed call. */
    interface Recorder {
        /** For calls without a key. */
        Recorder NONE = new Recorder() {
            @Override
            public void done(KeyedCalls.Answer answer, Runnable then) {
                then.run();
            }

            @Override
            public void notRun(Runnable then) {
                then.run();
            }

            @Override
            public void unknown(Runnable then) {
                then.run();
            }
        };

        /** Runs {@code then} when the outcome is recorded, or cannot be. */
        void done(KeyedCalls.Answer answer, Runnable then);

        void notRun(Runnable then);

        void unknown(Runnable then);

        static Recorder of(KeyedCalls calls, KeyedCalls.Run run) {
            return new Recorder() {
                @Override
                public void done(KeyedCalls.Answer answer, Runnable then) {
                    calls.done(run, answer).subscribe().with(ignored -> then.run(), failure -> then.run());
                }

                @Override
                public void notRun(Runnable then) {
                    calls.notRun(run).subscribe().with(ignored -> then.run(), failure -> then.run());
                }

                @Override
                public void unknown(Runnable then) {
                    calls.unknown(run).subscribe().with(ignored -> then.run(), failure -> then.run());
                }
            };
        }
    }

    RoutedCall(
            ServerContext server, RoutingContext ctx, Route route, Duration timeout, Buffer body, Recorder recorder) {
        this.server = server;
        this.caller = Caller.of(ctx);
        this.ctx = ctx;
        this.response = ctx.response();
        this.route = route;
        this.body = body;
        this.recorder = recorder;
        this.deadlineNanos = server.ticker().nanos() + timeout.toNanos();
    }

    void start() {
        callerLeft = response.closed();
        response.closeHandler(closed -> callerLeft());
        response.exceptionHandler(failure -> callerLeft());
        long left =
                TimeUnit.NANOSECONDS.toMillis(deadlineNanos - server.ticker().nanos());
        if (left <= 0) {
            fail(ApiError.notRun("the deadline passed before the call was sent", Duration.ofSeconds(1)));
            return;
        }
        deadlineTimer = server.vertx().setTimer(left, fired -> deadlinePassed());
        RequestProfile profile = new RequestProfile(
                caller.requestId(), caller.workspace(), route.service(), 0, 0, 0, deadlineNanos, route.repeatable());
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
    }

    private void send(Dispatcher.Attempt newAttempt) {
        attempts++;
        Upstream upstream = server.config().get().upstreams().get(newAttempt.upstream());
        if (upstream == null) {
            // The configuration changed after the decision.
            newAttempt.cancelled();
            excluded.add(newAttempt.upstream());
            retry();
            return;
        }
        attempt = newAttempt;
        held = Buffer.buffer();
        headers = null;
        Duration left =
                Duration.ofNanos(Math.max(1, deadlineNanos - server.ticker().nanos()));
        CallRequest request = new CallRequest(
                caller.requestId() + "-" + attempts,
                ctx.request().method(),
                ctx.request().uri(),
                HeaderFilter.forService(ctx.request().headers()),
                body,
                !route.repeatable() || attempts > 1,
                left,
                left);
        exchange = server.client().call(upstream, request, this);
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
        if (headers != null) {
            // The last answer of a service that could not serve the call says more than an error of the node.
            close();
            endWhole();
        } else if (maybeSent) {
            fail(ApiError.outcomeUnknown("the call was sent and its answer was lost: " + refusal.message()));
        } else {
            fail(ErrorBodies.notRun(refusal));
        }
    }

    @Override
    public void head(int newStatus, MultiMap newHeaders) {
        maybeSent = true;
        status = newStatus;
        headers = newHeaders;
        attempt.firstToken();
    }

    @Override
    public void data(Buffer piece) {
        if (!passing && held.length() + piece.length() <= server.limits().storedAnswerBytes()) {
            held.appendBuffer(piece);
            return;
        }
        if (!passing) {
            beginPassing();
        }
        if (callerLeft) {
            return;
        }
        response.write(piece);
        if (response.writeQueueFull()) {
            exchange.pause();
            response.drainHandler(drained -> exchange.resume());
        }
    }

    private void beginPassing() {
        passing = true;
        HttpEvent.ANSWER_TOO_LARGE.info(caller.requestId(), server.limits().storedAnswerBytes());
        recorder.unknown(() -> {});
        if (!callerLeft) {
            writeHead();
            response.setChunked(true).write(held);
        }
        held = Buffer.buffer();
    }

    private void writeHead() {
        response.setStatusCode(status);
        HeaderFilter.endToEnd(headers)
                .forEach((name, value) -> response.headers().add(name, value));
    }

    @Override
    public void end() {
        boolean busy = status == 503 || status == 429;
        if (busy && route.repeatable() && !passing) {
            attempt.failed(Dispatcher.Failure.REJECTED);
            excluded.add(attempt.upstream());
            attempt = null;
            retry();
            return;
        }
        attempt.finished();
        attempt = null;
        close();
        if (passing) {
            if (!callerLeft) {
                response.end();
            }
            return;
        }
        String type = headers.get("Content-Type");
        KeyedCalls.Answer answer = new KeyedCalls.Answer(status, type == null ? "" : type, held.getBytes());
        recorder.done(answer, this::endWhole);
    }

    private void endWhole() {
        if (callerLeft || response.ended()) {
            return;
        }
        writeHead();
        response.end(held);
    }

    @Override
    public void failed(UpstreamFailure failure) {
        maybeSent |= failure.maybeSent();
        HttpEvent.ATTEMPT_FAILED.info(
                caller.requestId() + "-" + attempts, attempt.upstream(), failure.kind(), failure.message());
        attempt.failed(failure.forDispatcher());
        excluded.add(attempt.upstream());
        attempt = null;
        headers = null;
        if (passing) {
            close();
            // The caller sees a truncated answer as a broken connection.
            response.reset();
            return;
        }
        if (maybeSent && !route.repeatable()) {
            fail(ApiError.outcomeUnknown("the call was sent and its answer was lost: " + failure.message()));
            return;
        }
        retry();
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        maybeSent |= exchange != null && exchange.maybeSent();
        if (passing) {
            close();
            response.reset();
        } else if (!maybeSent) {
            fail(ApiError.notRun("no service was free before the deadline", Duration.ofSeconds(1)));
        } else if (route.repeatable()) {
            fail(new ApiError(504, "deadline_exceeded", "no answer arrived before the deadline", Optional.empty()));
        } else {
            fail(ApiError.outcomeUnknown("the call was sent and no answer arrived before the deadline"));
        }
    }

    private void callerLeft() {
        if (done || callerLeft) {
            return;
        }
        callerLeft = true;
        HttpEvent.CALLER_LEFT.debug(caller.requestId());
        if (route.repeatable()) {
            close();
        } else if (exchange != null) {
            // A non-repeatable call runs to its end, so that its outcome is recorded.
            exchange.resume();
        }
    }

    private void fail(ApiError error) {
        if (done) {
            return;
        }
        close();
        HttpEvent.REQUEST_FAILED.info(caller.requestId(), error.code(), error.message());
        server.metrics().error(error);
        Runnable answer = () -> {
            if (!callerLeft) {
                ErrorBodies.send(response, error);
            }
        };
        if (maybeSent) {
            recorder.unknown(answer);
        } else {
            recorder.notRun(answer);
        }
    }

    /** Ends all upstream work. */
    private void close() {
        done = true;
        server.vertx().cancelTimer(deadlineTimer);
        if (attempt != null) {
            attempt.cancelled();
            attempt = null;
        }
        if (exchange != null) {
            exchange.close();
        }
        if (ticket != null) {
            ticket.close();
        }
    }
}
