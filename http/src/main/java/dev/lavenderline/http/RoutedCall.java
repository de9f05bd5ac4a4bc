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
 * <p>Invariants: a non-repeatable call is sent again only if no byte of it was written; once a byte of a response was
 * sent to the caller, no other attempt is made. Responses are buffered up to the size that can be recorded; larger ones
 * are streamed to the caller as they arrive. Confined to the event loop.
 */
final class RoutedCall implements CallListener {
    /** Limits how many services one call can crash, whatever the retry budget allows. */
    private static final int MAX_ATTEMPTS = 4;

    private final ServerContext server;
    private final Caller caller;
    private final RoutingContext ctx;
    private final HttpServerResponse response;
    private final Route route;
    private final Buffer body;
    private final OutcomeRecorder recorder;
    private final long deadlineNanos;
    private final Set<String> excluded = new HashSet<>();
    private Dispatcher.Ticket ticket;
    private Either<Refusal, Dispatcher.Attempt> earlyDecision;
    private Dispatcher.Attempt attempt;
    private UpstreamClient.Exchange exchange;
    private int attempts;
    private boolean maybeSent;
    private boolean streaming;
    private boolean callerDisconnected;
    private boolean done;
    private int status;
    private MultiMap headers;
    private Buffer buffered = Buffer.buffer();
    private long deadlineTimer = -1;

    /** Records the outcome of a call with an idempotency key. */
    interface OutcomeRecorder {
        /** Records nothing; for calls without a key. */
        OutcomeRecorder NONE = new OutcomeRecorder() {
            @Override
            public void recordResponse(KeyedCalls.Response response, Runnable then) {
                then.run();
            }

            @Override
            public void recordNotRun(Runnable then) {
                then.run();
            }

            @Override
            public void recordUnknown(Runnable then) {
                then.run();
            }
        };

        /** Records the response; runs {@code then} when it is recorded or recording it failed. */
        void recordResponse(KeyedCalls.Response response, Runnable then);

        /** Records that no byte of the call was sent; runs {@code then} in either case. */
        void recordNotRun(Runnable then);

        /** Records that the outcome is unknown; runs {@code then} in either case. */
        void recordUnknown(Runnable then);

        static OutcomeRecorder of(KeyedCalls calls, KeyedCalls.Claimed claimed) {
            return new OutcomeRecorder() {
                @Override
                public void recordResponse(KeyedCalls.Response response, Runnable then) {
                    calls.recordResponse(claimed, response)
                            .subscribe()
                            .with(ignored -> then.run(), failure -> then.run());
                }

                @Override
                public void recordNotRun(Runnable then) {
                    calls.recordNotRun(claimed).subscribe().with(ignored -> then.run(), failure -> then.run());
                }

                @Override
                public void recordUnknown(Runnable then) {
                    calls.recordUnknown(claimed).subscribe().with(ignored -> then.run(), failure -> then.run());
                }
            };
        }
    }

    RoutedCall(
            ServerContext server,
            RoutingContext ctx,
            Route route,
            Duration timeout,
            Buffer body,
            OutcomeRecorder recorder) {
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
        callerDisconnected = response.closed();
        response.closeHandler(closed -> onCallerDisconnected());
        response.exceptionHandler(failure -> onCallerDisconnected());
        long remainingMs =
                TimeUnit.NANOSECONDS.toMillis(deadlineNanos - server.ticker().nanos());
        if (remainingMs <= 0) {
            fail(ApiError.notRun("the deadline passed before the call was sent", Duration.ofSeconds(1)));
            return;
        }
        deadlineTimer = server.vertx().setTimer(remainingMs, fired -> onDeadline());
        RequestProfile profile = new RequestProfile(
                caller.requestId(), caller.workspace(), route.service(), 0, 0, 0, deadlineNanos, route.repeatable());
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
    }

    private void send(Dispatcher.Attempt newAttempt) {
        attempts++;
        Upstream upstream = server.config().get().upstreams().get(newAttempt.upstream());
        if (upstream == null) {
            // The upstream was removed from the configuration after the decision.
            newAttempt.cancelled();
            excluded.add(newAttempt.upstream());
            retry();
            return;
        }
        attempt = newAttempt;
        buffered = Buffer.buffer();
        headers = null;
        Duration remaining =
                Duration.ofNanos(Math.max(1, deadlineNanos - server.ticker().nanos()));
        CallRequest request = new CallRequest(
                caller.requestId() + "-" + attempts,
                ctx.request().method(),
                ctx.request().uri(),
                HeaderFilter.forService(ctx.request().headers()),
                body,
                !route.repeatable() || attempts > 1,
                remaining,
                remaining);
        exchange = server.client().call(upstream, request, this);
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
        if (headers != null) {
            // The last response of an overloaded service tells the caller more than an error of the node.
            close();
            sendBuffered();
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
    public void data(Buffer chunk) {
        if (!streaming && buffered.length() + chunk.length() <= server.limits().maxRecordedResponseBytes()) {
            buffered.appendBuffer(chunk);
            return;
        }
        if (!streaming) {
            startStreaming();
        }
        if (callerDisconnected) {
            return;
        }
        response.write(chunk);
        if (response.writeQueueFull()) {
            exchange.pause();
            response.drainHandler(drained -> exchange.resume());
        }
    }

    private void startStreaming() {
        streaming = true;
        HttpEvent.ANSWER_TOO_LARGE.info(caller.requestId(), server.limits().maxRecordedResponseBytes());
        recorder.recordUnknown(() -> {});
        if (!callerDisconnected) {
            writeHead();
            response.setChunked(true).write(buffered);
        }
        buffered = Buffer.buffer();
    }

    private void writeHead() {
        response.setStatusCode(status);
        HeaderFilter.endToEnd(headers)
                .forEach((name, value) -> response.headers().add(name, value));
    }

    @Override
    public void end() {
        boolean overloaded = status == 503 || status == 429;
        if (overloaded && route.repeatable() && !streaming) {
            attempt.failed(Dispatcher.Failure.REJECTED);
            excluded.add(attempt.upstream());
            attempt = null;
            retry();
            return;
        }
        attempt.finished();
        attempt = null;
        close();
        if (streaming) {
            if (!callerDisconnected) {
                response.end();
            }
            return;
        }
        String contentType = headers.get("Content-Type");
        KeyedCalls.Response recorded =
                new KeyedCalls.Response(status, contentType == null ? "" : contentType, buffered.getBytes());
        recorder.recordResponse(recorded, this::sendBuffered);
    }

    private void sendBuffered() {
        if (callerDisconnected || response.ended()) {
            return;
        }
        writeHead();
        response.end(buffered);
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
        if (streaming) {
            close();
            // The reset shows the caller that the response is truncated.
            response.reset();
            return;
        }
        if (maybeSent && !route.repeatable()) {
            fail(ApiError.outcomeUnknown("the call was sent and its answer was lost: " + failure.message()));
            return;
        }
        retry();
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        maybeSent |= exchange != null && exchange.maybeSent();
        if (streaming) {
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

    private void onCallerDisconnected() {
        if (done || callerDisconnected) {
            return;
        }
        callerDisconnected = true;
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
        Runnable sendError = () -> {
            if (!callerDisconnected) {
                ErrorBodies.send(response, error);
            }
        };
        if (maybeSent) {
            recorder.recordUnknown(sendError);
        } else {
            recorder.recordNotRun(sendError);
        }
    }

    /** Ends the call and all of its work on upstreams. */
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
