package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.ServiceSplit;
import dev.lavenderline.serving.slots.LeaseEnd;
import dev.lavenderline.serving.slots.SlotClient;
import dev.lavenderline.serving.slots.SlotRequest;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One request of a caller for a route, from its arrival to its final answer.
 *
 * <p>Invariants: a request that is not repeatable is sent again only if no earlier attempt can have run; it is rejected
 * only if no attempt can have run; at most one exchange is in progress. Not thread-safe; confined to the event loop.
 */
final class OnlineCall {
    /** Sends of one request that certainly did not run; bounds the work for one caller when upstreams refuse. */
    private static final int LARGEST_SENDS = 4;

    /** Silence of an upstream that makes it suspect: four times the wait for a slot in its queue. */
    private static final Duration SILENCE = Duration.ofMillis(900);

    /** Answers that are held back until they are complete; larger ones are streamed. */
    private static final int LARGEST_WHOLE_ANSWER = 256 * 1024;

    /** Least status of an answer that tells of a failure of the upstream. */
    private static final int LEAST_FAILURE = 500;

    /** Time after which callers come back if no upstream can be used. */
    private static final Duration NO_UPSTREAM = Duration.ofMillis(700);

    /** Share of the longest time a request may take below which a caller has been here before. */
    private static final double RETURNING_SHARE = 0.97;

    private final CallContext context;
    private final Route route;
    private final RequestInfo info;
    private final HttpMethod method;
    private final String uri;
    private final MultiMap headers;
    private final Buffer body;
    private final CallerAnswer answer;
    private final Runnable whenDone;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final Set<String> excluded = new HashSet<>();
    private final Timers.Timer deadlineTimer;

    private String service;
    private int sends;
    private int maybeRuns;
    private OptionalLong lastEvent;
    private boolean modelEngines;
    private boolean done;
    private long lease = -1;
    private Upstream upstream;
    private UpstreamExchange exchange;
    private long sentNanos;
    private long firstByteNanos;
    private long heardNanos;
    private Timers.Timer silenceTimer = () -> {};
    private String failures = "";

    OnlineCall(
            CallContext context,
            Route route,
            RequestInfo info,
            HttpMethod method,
            String uri,
            MultiMap headers,
            Buffer body,
            CallerAnswer answer,
            long arrivedNanos,
            Runnable whenDone) {
        this.context = context;
        this.route = route;
        this.info = info;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.answer = answer;
        this.whenDone = whenDone;
        this.lastEvent = info.lastEvent();
        this.arrivedNanos = arrivedNanos;
        Duration limit = info.deadline()
                .filter(deadline -> deadline.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        this.deadlineNanos = arrivedNanos + limit.toNanos();
        this.deadlineTimer = context.timers().after(left(), this::deadlinePassed);
    }

    private Duration left() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - context.ticker().nanos()));
    }

    private Duration targetLeft() {
        return Duration.ofNanos(arrivedNanos
                + route.latencyTarget().toNanos()
                - context.ticker().nanos());
    }

    private boolean returning() {
        return info.deadline()
                .map(deadline ->
                        deadline.toMillis() < RETURNING_SHARE * route.timeout().toMillis())
                .orElse(false);
    }

    void start(boolean model, String chosenService) {
        service = chosenService;
        modelEngines = model;
        next();
    }

    private void next() {
        if (left().isZero()) {
            return;
        }
        if (!modelEngines) {
            Optional<Upstream> local = context.placement().pick(service, excluded);
            if (local.isEmpty()) {
                noUpstream(NO_UPSTREAM);
            } else {
                send(local.get());
            }
            return;
        }
        lease = context.slots().newLease();
        SlotRequest request = new SlotRequest(
                context.node(),
                lease,
                service,
                targetLeft(),
                left(),
                Set.copyOf(excluded),
                info.sharedPrefix(),
                returning() || sends > 0);
        context.slots().acquire(request, new SlotClient.Listener() {
            @Override
            public void granted(String upstreamId) {
                slotGranted(upstreamId);
            }

            @Override
            public void rejected(Duration retryAfter) {
                lease = -1;
                noUpstream(retryAfter);
            }
        });
    }

    private void slotGranted(String upstreamId) {
        Optional<Upstream> found = context.directory().find(upstreamId);
        boolean leaving = context.directory().leaving(upstreamId);
        if (found.isEmpty() || leaving) {
            // The scheduler's entries may be older than this node's; an upstream that is new here may be known there.
            excluded.add(upstreamId);
            releaseSlot(leaving ? LeaseEnd.UPSTREAM_GONE : LeaseEnd.CANCELLED);
            next();
            return;
        }
        send(found.get());
    }

    private void send(Upstream target) {
        upstream = target;
        sends++;
        sentNanos = context.ticker().nanos();
        heardNanos = sentNanos;
        MultiMap sent = context.wire().upstreamHeaders(headers, target.id(), Optional.of(left()), lastEvent);
        UpstreamCall call = new UpstreamCall(info.id(), method, uri, sent, body);
        AnswerListener listener = route.kind() == RouteKind.STREAMING
                ? (route.resumable() ? new ResumableStream() : new PlainStream())
                : new WholeAnswer();
        silenceTimer = context.timers().every(Duration.ofMillis(300), this::checkSilence);
        exchange = context.connections().send(target, call, context.wire(), listener);
    }

    private void checkSilence() {
        if (done || exchange == null || context.ticker().nanos() - heardNanos < SILENCE.toNanos()) {
            return;
        }
        boolean another = route.repeatable() && attemptsLeft();
        if (modelEngines) {
            context.slots().suspect(upstream.id());
        }
        if (another) {
            exchange.cancel();
            attemptFailed(SendFailure.LOST, LeaseEnd.UPSTREAM_UNREACHABLE, "silent");
        } else {
            heardNanos = context.ticker().nanos();
        }
    }

    private boolean attemptsLeft() {
        return maybeRuns + 1 < route.attempts() && sends < LARGEST_SENDS;
    }

    private void failedWith(int status) {
        attemptFailed(SendFailure.FAILURE_STATUS, LeaseEnd.UPSTREAM_FAILED, "status " + status);
    }

    private void attemptFailed(SendFailure failure, LeaseEnd end, String message) {
        if (done) {
            return;
        }
        endExchange(end);
        failures += (failures.isEmpty() ? "" : "; ") + upstream.id() + " " + failure + " " + message;
        excluded.add(upstream.id());
        context.metrics().count("lavenderline_upstream_" + failure.name().toLowerCase(Locale.ROOT));
        boolean again;
        if (failure.maybeRun()) {
            again = route.repeatable() && attemptsLeft() && (!answer.started() || route.resumable());
            maybeRuns++;
        } else {
            again = sends < LARGEST_SENDS;
        }
        if (again && !left().isZero()) {
            context.log()
                    .event(
                            ServingEvent.REQUEST_SENT_AGAIN,
                            "request",
                            info.id(),
                            "upstream",
                            upstream.id(),
                            "cause",
                            failure,
                            "message",
                            message,
                            "after",
                            lastEvent.isPresent() ? lastEvent.getAsLong() : null);
            next();
            return;
        }
        if (maybeRuns > 0) {
            finish(502, "an upstream failed while it may have run the request", Duration.ZERO);
        } else {
            finish(503, "not run: upstreams refuse", NO_UPSTREAM);
        }
    }

    /** Ends a request that gets no upstream now. */
    private void noUpstream(Duration retryAfter) {
        if (done) {
            return;
        }
        if (maybeRuns > 0) {
            finish(502, "an upstream failed and no other is free", Duration.ZERO);
        } else {
            finish(503, "not run: no free upstream", retryAfter);
        }
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        if (exchange != null) {
            maybeRuns += exchange.sent() ? 1 : 0;
            exchange.cancel();
        }
        if (maybeRuns > 0) {
            finish(504, "no complete answer in time", Duration.ZERO);
        } else {
            finish(503, "not run: no free upstream in time", NO_UPSTREAM);
        }
    }

    /** Ends the call because its caller has left. */
    void callerLeft() {
        if (done) {
            return;
        }
        if (exchange != null) {
            exchange.cancel();
        }
        finished("caller left", LeaseEnd.CANCELLED);
    }

    private void finish(int status, String message, Duration retryAfter) {
        answer.own(status, message, retryAfter);
        finished(status + " " + message, LeaseEnd.CANCELLED);
    }

    private void complete(int status) {
        context.metrics().time("lavenderline_answer_seconds", context.ticker().nanos() - arrivedNanos);
        finished("answered " + status, failure(status) ? LeaseEnd.UPSTREAM_FAILED : LeaseEnd.COMPLETED);
    }

    private static boolean failure(int status) {
        return status >= LEAST_FAILURE;
    }

    private void finished(String outcome, LeaseEnd end) {
        done = true;
        deadlineTimer.cancel();
        endExchange(end);
        long now = context.ticker().nanos();
        context.metrics().count("lavenderline_requests_" + (end == LeaseEnd.COMPLETED ? "answered" : "failed"));
        context.log()
                .event(
                        ServingEvent.REQUEST_ENDED,
                        "request",
                        info.id(),
                        "route",
                        route.name(),
                        "kind",
                        route.kind(),
                        "service",
                        service,
                        "upstream",
                        upstream == null ? null : upstream.id(),
                        "sends",
                        sends,
                        "mayHaveRun",
                        maybeRuns,
                        "placedMs",
                        sentNanos == 0 ? null : (sentNanos - arrivedNanos) / 1_000_000,
                        "firstMs",
                        firstByteNanos == 0 ? null : (firstByteNanos - arrivedNanos) / 1_000_000,
                        "totalMs",
                        (now - arrivedNanos) / 1_000_000,
                        "deadlineMs",
                        (deadlineNanos - arrivedNanos) / 1_000_000,
                        "returning",
                        returning(),
                        "outcome",
                        outcome,
                        "failures",
                        failures);
        whenDone.run();
    }

    private void endExchange(LeaseEnd end) {
        silenceTimer.cancel();
        exchange = null;
        if (modelEngines) {
            releaseSlot(end);
        } else if (upstream != null) {
            context.placement().ended(upstream.id(), end);
        }
    }

    private void releaseSlot(LeaseEnd end) {
        if (lease >= 0) {
            context.slots().release(lease, end, 0);
            lease = -1;
        }
    }

    private void heard() {
        heardNanos = context.ticker().nanos();
    }

    private void firstByte() {
        if (firstByteNanos == 0) {
            firstByteNanos = context.ticker().nanos();
            context.metrics().time("lavenderline_first_byte_seconds", firstByteNanos - arrivedNanos);
        }
    }

    private void throttle(UpstreamExchange source) {
        if (answer.congested()) {
            source.pause();
            answer.onDrain(source::resume);
        }
    }

    /** Holds the answer back until it is complete, so that a cut answer can be asked for again. */
    private final class WholeAnswer implements AnswerListener {
        private int status;
        private MultiMap answerHeaders;
        private Buffer received = Buffer.buffer();
        private boolean streaming;

        @Override
        public void head(int code, MultiMap upstreamHeaders) {
            heard();
            status = code;
            answerHeaders = upstreamHeaders;
        }

        @Override
        public void data(Buffer piece) {
            heard();
            firstByte();
            if (streaming) {
                answer.write(piece);
                throttle(exchange);
                return;
            }
            received.appendBuffer(piece);
            if (received.length() > LARGEST_WHOLE_ANSWER) {
                streaming = true;
                answer.stream(status, answerHeaders);
                answer.write(received);
                received = Buffer.buffer();
            }
        }

        @Override
        public void end() {
            if (!streaming && failure(status) && route.repeatable() && attemptsLeft()) {
                failedWith(status);
                return;
            }
            if (streaming) {
                answer.end();
            } else {
                answer.whole(status, answerHeaders, received);
            }
            complete(status);
        }

        @Override
        public void failed(SendFailure failure, String message) {
            attemptFailed(failure, failure.leaseEnd(), message);
        }
    }

    /** Forwards a stream that can't be resumed piece by piece. */
    private final class PlainStream implements AnswerListener {
        private int status;
        private MultiMap answerHeaders;

        @Override
        public void head(int code, MultiMap upstreamHeaders) {
            heard();
            status = code;
            answerHeaders = upstreamHeaders;
        }

        private void startAnswer() {
            if (!answer.started()) {
                answer.stream(status, answerHeaders);
            }
        }

        @Override
        public void data(Buffer piece) {
            heard();
            firstByte();
            startAnswer();
            answer.write(piece);
            throttle(exchange);
        }

        @Override
        public void end() {
            startAnswer();
            answer.end();
            complete(status);
        }

        @Override
        public void failed(SendFailure failure, String message) {
            attemptFailed(failure, failure.leaseEnd(), message);
        }
    }

    /** Forwards complete events only, so that another upstream can continue after the last one. */
    private final class ResumableStream implements AnswerListener {
        private final EventStreamParser parser = new EventStreamParser(this::event);
        private final Buffer failureBody = Buffer.buffer();
        private int status;
        private MultiMap answerHeaders;
        private boolean outOfOrder;

        @Override
        public void head(int code, MultiMap upstreamHeaders) {
            heard();
            status = code;
            answerHeaders = upstreamHeaders;
        }

        private void startAnswer() {
            if (!answer.started()) {
                answer.stream(status, answerHeaders);
            }
        }

        @Override
        public void data(Buffer piece) {
            heard();
            if (status != 200) {
                failureBody.appendBuffer(piece);
                return;
            }
            parser.feed(piece);
            if (outOfOrder && !done) {
                exchange.cancel();
                attemptFailed(SendFailure.CUT, LeaseEnd.ANSWER_LOST, "events out of order");
            }
        }

        private void event(StreamEvent event) {
            if (outOfOrder) {
                return;
            }
            if (lastEvent.isPresent()
                    && event.id().isPresent()
                    && event.id().getAsLong() != lastEvent.getAsLong() + 1) {
                outOfOrder = true;
                return;
            }
            firstByte();
            startAnswer();
            answer.write(event.raw());
            lastEvent = event.id().isPresent() ? event.id() : lastEvent;
            throttle(exchange);
        }

        @Override
        public void end() {
            if (status == 200 && parser.partial()) {
                attemptFailed(SendFailure.CUT, LeaseEnd.ANSWER_LOST, "stream ends within an event");
                return;
            }
            if (failure(status) && attemptsLeft()) {
                failedWith(status);
                return;
            }
            if (status != 200 && answer.started()) {
                answer.cut();
                finished("upstream answered " + status + " within a stream", LeaseEnd.UPSTREAM_FAILED);
                return;
            }
            if (status != 200) {
                answer.whole(status, answerHeaders, failureBody);
                complete(status);
                return;
            }
            startAnswer();
            answer.end();
            complete(status);
        }

        @Override
        public void failed(SendFailure failure, String message) {
            attemptFailed(failure, failure.leaseEnd(), message);
        }
    }

    /** Chooses the service of a request. */
    static String chooseService(Route route, CallContext context) {
        return ServiceSplit.choose(route.services(), context.random());
    }
}
