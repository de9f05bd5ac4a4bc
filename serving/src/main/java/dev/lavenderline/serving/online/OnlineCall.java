package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.TrafficSplit;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.LocalPlacement;
import dev.lavenderline.serving.slots.ReleaseReason;
import dev.lavenderline.serving.slots.RequestTraits;
import dev.lavenderline.serving.slots.SlotClient;
import dev.lavenderline.serving.slots.SlotRequest;
import dev.lavenderline.serving.slots.StreamOrigin;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.workspaces.Caller;
import dev.lavenderline.serving.workspaces.QuotaClient;
import dev.lavenderline.serving.workspaces.WorkspaceMetrics;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One request of a caller for a route, from its arrival to the end of its response.
 *
 * <p>Invariants: a request that is not repeatable is resent only if no earlier attempt can have run; it is rejected as
 * not run only if no attempt can have run; at most one exchange is in progress; an exchange whose upstream is silent is
 * given up only once another upstream can take the request. Not thread-safe; confined to the event loop.
 */
final class OnlineCall {
    /** Maximum number of sends of one request; bounds the work while upstreams reject it without running it. */
    private static final int MAX_SENDS = 4;

    /**
     * Time without data after which an upstream is suspect: four times the wait for a slot in its own queue. The time
     * while this node does not read the response, because the caller reads slowly, does not count.
     */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(900);

    private static final Duration SILENCE_CHECK_PERIOD = Duration.ofMillis(300);

    /** Size up to which a response is buffered until it is complete; larger ones are streamed. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Time after the first event in which a crash of the upstream may be due to the request. */
    private static final Duration CRASH_PERIOD = Duration.ofMillis(100);

    /** Lowest response status that counts as a failure of the upstream. */
    private static final int MIN_FAILURE_STATUS = 500;

    private static final int HTTP_OK = 200;

    /** Retry delay for callers if no upstream can be used. */
    private static final Duration NO_UPSTREAM_RETRY_DELAY = Duration.ofMillis(700);

    private final CallContext context;
    private final Route route;
    private final Caller caller;
    private final RequestInfo info;
    private final HttpMethod method;
    private final String uri;
    private final MultiMap headers;
    private final Buffer body;
    private final CallerResponse response;
    private final Runnable onDone;
    private final long arrivalNanos;
    private final long deadlineNanos;
    private final RequestTraits traits;
    private final KeyCheck keyCheck;
    private final Set<String> excluded = new HashSet<>();
    private final Timers.Timer deadlineTimer;

    private String service;
    private int sends;
    private int possibleRuns;

    /** The events that the caller has received, as far as the next send continues them. */
    private EventSequence events;

    private final ContinuationEnd continuationEnd = new ContinuationEnd();

    /** Where the stream began that the next send continues; empty if the caller has not received an event. */
    private Optional<StreamOrigin> origin;

    private boolean modelEngines;

    /** The placement of the request at its current upstream if this node chose that, else null. */
    private LocalPlacement.Placed placedLocally;

    /** Whether the request has been admitted by the quota of its workspace. */
    private boolean charged;

    private boolean done;

    private long lease = -1;

    /** Lease with which a slot is requested while the upstream is silent, or -1. */
    private long replacementLease = -1;

    private Upstream upstream;
    private UpstreamExchange exchange;

    /** The exchange in progress or, after its end, the last one. */
    private UpstreamExchange lastExchange;

    private long sentNanos;
    private long firstByteNanos;

    /** When the current exchange brought its first event, or first byte of a body, 0 if it has not. */
    private long exchangeFirstByteNanos;

    private long lastReceivedNanos;
    private long lastSuspectNanos;
    private boolean paused;
    private boolean partialEvent;
    private Timers.Timer silenceTimer = () -> {};
    private String failures = "";

    OnlineCall(
            CallContext context,
            Route route,
            Caller caller,
            RequestInfo info,
            HttpMethod method,
            String uri,
            MultiMap headers,
            Buffer body,
            CallerResponse response,
            long arrivalNanos,
            Runnable onDone) {
        this.context = context;
        this.route = route;
        this.caller = caller;
        this.info = info;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.response = response;
        this.onDone = onDone;
        this.traits = new RequestTraits(info.sharedParts(), this::hash);
        this.keyCheck = new KeyCheck(context.keys(), route, info);
        this.events = new EventSequence(resumedByCaller() ? info.lastEventId() : OptionalLong.empty());
        this.origin = resumedByCaller() ? Optional.of(resumedOrigin(arrivalNanos)) : Optional.empty();
        this.arrivalNanos = arrivalNanos;
        this.deadlineNanos = arrivalNanos + info.limit(route.timeout()).toNanos();
        this.deadlineTimer = context.timers().after(remaining(), this::deadlinePassed);
    }

    private StreamOrigin resumedOrigin(long receivedNanos) {
        return new StreamOrigin(
                Optional.empty(),
                info.resumedAttempt(),
                Optional.of(contentName()),
                route.services().stream().map(WeightedService::service).collect(Collectors.toSet()),
                receivedNanos);
    }

    private Duration remaining() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - context.ticker().nanos()));
    }

    private Duration timeToTarget() {
        return Duration.ofNanos(arrivalNanos
                + route.latencyTarget().toNanos()
                - context.ticker().nanos());
    }

    void start(boolean modelEngines, String service) {
        this.service = service;
        this.modelEngines = modelEngines;
        endOnException(this::tryUpstream);
    }

    /**
     * Runs a step and ends the request if it throws; otherwise the request would keep its slot, and its caller would
     * wait until the deadline.
     */
    private void endOnException(Runnable step) {
        if (!FailureGuard.run(context.log(), step, "request", info.id(), "uri", uri)) {
            endUnexpectedly();
        }
    }

    private void endUnexpectedly() {
        if (done) {
            return;
        }
        if (exchange != null) {
            possibleRuns += exchange.sent() ? 1 : 0;
            exchange.cancel();
        }
        if (possibleRuns > 0) {
            fail(502, "internal error", Duration.ZERO);
        } else {
            fail(503, "not run: internal error", NO_UPSTREAM_RETRY_DELAY);
        }
    }

    /**
     * Returns whether this node chooses the upstream itself. Slots of engines, and requests to upstreams with a limit,
     * are counted by the scheduler, for all nodes.
     */
    private boolean placesLocally() {
        return !modelEngines && !context.directory().limited(service);
    }

    private void tryUpstream() {
        if (remaining().isZero() || rejectedForCrashes() || rejectedForKey()) {
            return;
        }
        if (placesLocally()) {
            if (toBeCharged()) {
                context.slots().admit(caller.workspace(), new QuotaAnswer());
                return;
            }
            if (origin.isPresent() && requiredVersion().isEmpty()) {
                context.slots().findVersion(service, origin.get(), this::originFound);
                return;
            }
            Optional<LocalPlacement.Placed> picked = context.placement()
                    .pick(service, excluded, requiredVersion().map(ServiceVersion::version));
            if (picked.isEmpty()) {
                rejectWithoutUpstream(NO_UPSTREAM_RETRY_DELAY);
            } else {
                placedLocally = picked.get();
                send(placedLocally.upstream());
            }
            return;
        }
        lease = context.slots().newLease();
        context.slots().acquire(slotRequest(lease, excluded), new SlotClient.Listener() {
            @Override
            public void granted(String upstreamId) {
                charged = true;
                endOnException(() -> slotGranted(upstreamId));
            }

            @Override
            public void rejected(Duration retryAfter) {
                lease = -1;
                rejectWithoutUpstream(retryAfter);
            }

            @Override
            public void overQuota(Duration retryAfter) {
                lease = -1;
                rejectOverQuota(retryAfter);
            }
        });
    }

    private void originFound(Optional<ServiceVersion> served) {
        origin = origin.map(began -> began.with(served));
        if (served.filter(found -> hasService(found.service())).isEmpty()) {
            rejectWithoutUpstream(NO_UPSTREAM_RETRY_DELAY);
        } else if (!done) {
            service = served.get().service();
            endOnException(this::tryUpstream);
        }
    }

    /** Returns whether the next send counts toward the quota: the first one of a request that begins no stream anew. */
    private boolean toBeCharged() {
        return caller.hasWorkspace() && !charged && origin.isEmpty();
    }

    private final class QuotaAnswer implements QuotaClient.Listener {
        @Override
        public void admitted() {
            charged = true;
            if (!done) {
                endOnException(OnlineCall.this::tryUpstream);
            }
        }

        @Override
        public void overQuota(Duration retryAfter) {
            rejectOverQuota(retryAfter);
        }

        @Override
        public void undecided() {
            if (!done) {
                fail(503, "not run: no decision on the quota", NO_UPSTREAM_RETRY_DELAY);
            }
        }
    }

    /** Ends a request beyond the quota of its workspace, which has not been sent. */
    private void rejectOverQuota(Duration retryAfter) {
        if (!done) {
            context.metrics().workspaces().rejected(caller, WorkspaceMetrics.Rejection.QUOTA);
            fail(429, "not run: the quota of the workspace is used up", retryAfter);
        }
    }

    private SlotRequest slotRequest(long number, Set<String> unusable) {
        return new SlotRequest(
                context.node(),
                number,
                service,
                timeToTarget(),
                remaining(),
                Set.copyOf(unusable),
                info.sharedPrefix(),
                info.retries(route.timeout()) || sends > 0 || origin.isPresent(),
                origin,
                caller.workspace(),
                caller.priorityOr(route.priority()),
                toBeCharged(),
                info.promptTokens(),
                info.maxOutputTokens(),
                info.sharedTokens());
    }

    /** Returns whether the caller has received events of this stream in an earlier attempt. */
    private boolean resumedByCaller() {
        return info.lastEventId().isPresent() && route.kind() == RouteKind.STREAMING && route.resumable();
    }

    /** Records that the stream has to continue on the version of the upstream that has sent an event. */
    private void recordOrigin() {
        if (requiredVersion().isPresent()) {
            return;
        }
        ServiceVersion served = ServiceVersion.of(upstream);
        origin = Optional.of(StreamOrigin.of(served));
        service = served.service();
        if (!resumedByCaller()) {
            context.slots()
                    .streamBegan(
                            info.id().isEmpty() ? List.of(contentName()) : List.of(info.id(), contentName()), served);
        }
    }

    /** Returns a name of the stream that is the same for each attempt of its caller to get it. */
    private String contentName() {
        return StreamOrigin.contentName(caller.workspace(), hash() ^ info.contentHash());
    }

    /** Returns where the request has to continue, empty if each upstream of the route will do. */
    private Optional<ServiceVersion> requiredVersion() {
        return origin.flatMap(StreamOrigin::served);
    }

    private boolean hasService(String name) {
        return route.services().stream().anyMatch(each -> each.service().equals(name));
    }

    /** Ends the request if it, or a part of its prompt, crashes upstreams. */
    private boolean rejectedForCrashes() {
        Optional<Duration> period = context.slots().rejectedFor(traits);
        if (period.isEmpty()) {
            return false;
        }
        if (possibleRuns > 0) {
            fail(502, "upstreams crash under this request", Duration.ZERO);
        } else {
            fail(503, "not run: upstreams crash under such requests", period.get());
        }
        return true;
    }

    /** Ends the request if its key must not be used now. Sends follow this check at once. */
    private boolean rejectedForKey() {
        Optional<KeyCheck.Refusal> refusal = keyCheck.refusal(possibleRuns > 0);
        refusal.ifPresent(cause -> fail(cause.status(), cause.message(), cause.retryAfter()));
        return refusal.isPresent();
    }

    /** Returns a hash of what stays the same when the caller sends the request again. */
    private long hash() {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
        String target = method + " " + route.host() + " " + uri + "\n";
        digest.update(target.getBytes(StandardCharsets.UTF_8));
        digest.update(body.getBytes());
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private void slotGranted(String upstreamId) {
        if (rejectedForCrashes() || rejectedForKey()) {
            return;
        }
        Optional<Upstream> found = usable(upstreamId);
        if (found.isEmpty()) {
            excluded.add(upstreamId);
            releaseSlot(unusableReason(upstreamId));
            tryUpstream();
            return;
        }
        send(found.get());
    }

    /**
     * Returns a granted upstream, or empty if this node can't use it: the scheduler's directory may be older than this
     * node's, or newer and have an upstream unknown here.
     */
    private Optional<Upstream> usable(String upstreamId) {
        return context.directory()
                .find(upstreamId)
                .filter(found -> !context.directory().drainingOrRemoved(upstreamId))
                .filter(found -> hasService(found.service()))
                .filter(found ->
                        requiredVersion().isEmpty() || requiredVersion().get().equals(ServiceVersion.of(found)));
    }

    private ReleaseReason unusableReason(String upstreamId) {
        return context.directory().drainingOrRemoved(upstreamId)
                ? ReleaseReason.UPSTREAM_GONE
                : ReleaseReason.CANCELLED;
    }

    private void send(Upstream target) {
        upstream = target;
        sends++;
        sentNanos = context.ticker().nanos();
        exchangeFirstByteNanos = 0;
        lastReceivedNanos = sentNanos;
        lastSuspectNanos = sentNanos;
        paused = false;
        events = new EventSequence(events.lastId());
        MultiMap upstreamHeaders =
                context.wire().upstreamHeaders(headers, target.id(), Optional.of(remaining()), sendAfter(), caller);
        UpstreamRequest request = new UpstreamRequest(info.id(), method, uri, upstreamHeaders, body);
        ResponseListener listener = route.kind() == RouteKind.STREAMING
                ? (route.resumable() ? new ResumableStream() : new PlainStream())
                : new BufferedResponse();
        silenceTimer = context.timers().every(SILENCE_CHECK_PERIOD, () -> endOnException(this::checkSilence));
        exchange = context.connections().send(target, request, context.wire(), listener);
        lastExchange = exchange;
    }

    /** Returns the event after which the next send continues the stream. */
    private OptionalLong sendAfter() {
        return events.lastId().isPresent() ? events.lastId() : info.lastEventId();
    }

    private void checkSilence() {
        long now = context.ticker().nanos();
        if (done || exchange == null || paused || now - lastReceivedNanos < SILENCE_TIMEOUT.toNanos()) {
            return;
        }
        if (now - lastSuspectNanos >= SILENCE_TIMEOUT.toNanos()) {
            lastSuspectNanos = now;
            context.connections().upstreamSilent(upstream);
            if (placedLocally == null) {
                context.slots().suspect(upstream.id());
            }
        }
        if (mayRunAgain()) {
            seekReplacement();
        }
    }

    /** Seeks another upstream for a request whose upstream is silent, which may still respond meanwhile. */
    private void seekReplacement() {
        if (replacementLease >= 0
                || remaining().isZero()
                || context.slots().rejectedFor(traits).isPresent()
                || keyCheck.refusal(true).isPresent()) {
            return;
        }
        Set<String> unusable = new HashSet<>(excluded);
        unusable.add(upstream.id());
        if (placesLocally()) {
            context.placement()
                    .pick(service, unusable, requiredVersion().map(ServiceVersion::version))
                    .ifPresent(placed -> replaceSilentUpstream(placed.upstream(), -1, placed));
            return;
        }
        replacementLease = context.slots().newLease();
        context.slots().acquire(slotRequest(replacementLease, unusable), new SlotClient.Listener() {
            @Override
            public void granted(String upstreamId) {
                endOnException(() -> replacementGranted(upstreamId));
            }

            @Override
            public void rejected(Duration retryAfter) {
                // The next check asks again: this request holds a slot already, so the delay for callers is too long.
                replacementLease = -1;
            }
        });
    }

    private void replacementGranted(String upstreamId) {
        if (keyCheck.refusal(true).isPresent()) {
            releaseReplacement(ReleaseReason.CANCELLED);
            return;
        }
        Optional<Upstream> found = usable(upstreamId);
        if (found.isEmpty()) {
            excluded.add(upstreamId);
            releaseReplacement(unusableReason(upstreamId));
            return;
        }
        long granted = replacementLease;
        replacementLease = -1;
        replaceSilentUpstream(found.get(), granted, null);
    }

    private void replaceSilentUpstream(Upstream target, long targetLease, LocalPlacement.Placed placed) {
        exchange.cancel();
        recordFailure(SendFailure.LOST, ReleaseReason.UPSTREAM_UNREACHABLE, "silent");
        possibleRuns++;
        logSentAgain(SendFailure.LOST, "silent");
        lease = targetLease;
        placedLocally = placed;
        send(target);
    }

    private boolean attemptsLeft() {
        return possibleRuns + 1 < route.attempts() && sends < MAX_SENDS;
    }

    /** Returns whether a request that may have run can be sent to another upstream. */
    private boolean mayRunAgain() {
        return route.repeatable()
                && attemptsLeft()
                && (!response.started() || (route.resumable() && events.continuable()));
    }

    private void failedWithStatus(int status) {
        attemptFailed(SendFailure.FAILURE_STATUS, ReleaseReason.UPSTREAM_FAILED, "status " + status);
    }

    private void attemptFailed(SendFailure failure, ReleaseReason reason, String message) {
        if (done) {
            return;
        }
        if (mayHaveCrashedUpstream(failure)) {
            Upstream lost = upstream;
            RequestTraits seen = aboutToBeAnswered() ? traits : traits.withoutParts();
            context.connections().ifCrashed(lost, () -> context.slots().requestCrashed(seen, lost.id()));
        }
        recordFailure(failure, reason, message);
        boolean canRetry;
        if (failure.mayHaveRun()) {
            canRetry = mayRunAgain();
            possibleRuns++;
        } else {
            canRetry = sends < MAX_SENDS;
        }
        if (canRetry && !remaining().isZero()) {
            logSentAgain(failure, message);
            endOnException(this::tryUpstream);
            return;
        }
        if (possibleRuns > 0) {
            fail(502, "an upstream failed while it may have run the request", Duration.ZERO);
        } else {
            failForCapacity("not run: upstreams refuse", NO_UPSTREAM_RETRY_DELAY);
        }
    }

    private static boolean mayHaveCrashedUpstream(SendFailure failure) {
        return failure == SendFailure.LOST || failure == SendFailure.CUT;
    }

    /** Returns whether the upstream had not begun to answer, or only just; later, no prompt part is the cause. */
    private boolean aboutToBeAnswered() {
        return exchangeFirstByteNanos == 0
                || context.ticker().nanos() - exchangeFirstByteNanos <= CRASH_PERIOD.toNanos();
    }

    private void recordFailure(SendFailure failure, ReleaseReason reason, String message) {
        endExchange(reason);
        failures += (failures.isEmpty() ? "" : "; ") + upstream.id() + " " + failure + " " + message
                + (exchangeFirstByteNanos == 0 ? ", no event yet" : "");
        excluded.add(upstream.id());
        context.metrics().count("lavenderline_upstream_" + failure.name().toLowerCase(Locale.ROOT));
    }

    private void logSentAgain(SendFailure failure, String message) {
        context.log()
                .event(
                        ServingEvent.REQUEST_SENT_AGAIN,
                        "request",
                        info.id(),
                        "upstream",
                        upstream.id(),
                        "version",
                        upstream.version(),
                        "cause",
                        failure,
                        "message",
                        message,
                        "after",
                        sendAfter().isPresent() ? sendAfter().getAsLong() : null);
    }

    /** Ends a request for which no upstream is available. */
    private void rejectWithoutUpstream(Duration retryAfter) {
        if (done) {
            return;
        }
        if (possibleRuns > 0) {
            fail(502, "an upstream failed and no other is free", Duration.ZERO);
        } else {
            failForCapacity("not run: no free upstream", retryAfter);
        }
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        if (exchange != null) {
            possibleRuns += exchange.sent() ? 1 : 0;
            exchange.cancel();
        }
        if (possibleRuns > 0) {
            fail(504, "no complete answer in time", Duration.ZERO);
        } else {
            failForCapacity("not run: no free upstream in time", NO_UPSTREAM_RETRY_DELAY);
        }
    }

    /** Cancels the request because its caller has closed the connection. */
    void cancelByCaller() {
        if (done) {
            return;
        }
        if (exchange != null) {
            exchange.cancel();
        }
        finish("caller closed the connection", ReleaseReason.CANCELLED);
    }

    /** Ends the request if it is not in progress at an upstream, because the process is about to exit. */
    void rejectIfWaiting(Duration retryAfter) {
        if (done || exchange != null) {
            return;
        }
        if (possibleRuns > 0) {
            fail(502, "an upstream failed and this node is leaving", Duration.ZERO);
        } else {
            fail(503, "not run: this node is leaving", retryAfter);
        }
    }

    private void failForCapacity(String message, Duration retryAfter) {
        context.metrics().workspaces().rejected(caller, WorkspaceMetrics.Rejection.CAPACITY);
        fail(503, message, retryAfter);
    }

    private void fail(int status, String message, Duration retryAfter) {
        response.sendText(status, message, retryAfter);
        finish(status + " " + message, ReleaseReason.CANCELLED);
    }

    private void complete(int status) {
        context.metrics().time("lavenderline_answer_seconds", context.ticker().nanos() - arrivalNanos);
        if (!isFailure(status)) {
            context.slots().requestCompleted(status == HTTP_OK ? traits : traits.withoutParts());
        }
        finish("answered " + status, isFailure(status) ? ReleaseReason.UPSTREAM_FAILED : ReleaseReason.COMPLETED);
    }

    private static boolean isFailure(int status) {
        return status >= MIN_FAILURE_STATUS;
    }

    private void finish(String outcome, ReleaseReason reason) {
        done = true;
        deadlineTimer.cancel();
        endExchange(reason);
        long now = context.ticker().nanos();
        context.metrics().count("lavenderline_requests_" + (reason == ReleaseReason.COMPLETED ? "answered" : "failed"));
        context.log()
                .event(
                        ServingEvent.REQUEST_ENDED,
                        "request",
                        info.id(),
                        "route",
                        route.name(),
                        "workspace",
                        caller.workspaceName().orElse(null),
                        "kind",
                        route.kind(),
                        "service",
                        service,
                        "upstream",
                        upstream == null ? null : upstream.id(),
                        "version",
                        upstream == null ? null : upstream.version(),
                        "resumes",
                        info.resumedAttempt().orElse(null),
                        "sends",
                        sends,
                        "mayHaveRun",
                        possibleRuns,
                        "placedMs",
                        sentNanos == 0 ? null : (sentNanos - arrivalNanos) / 1_000_000,
                        "firstMs",
                        firstByteNanos == 0 ? null : (firstByteNanos - arrivalNanos) / 1_000_000,
                        "totalMs",
                        (now - arrivalNanos) / 1_000_000,
                        "deadlineMs",
                        (deadlineNanos - arrivalNanos) / 1_000_000,
                        "returning",
                        info.retries(route.timeout()),
                        "connectionRequests",
                        lastExchange == null ? null : lastExchange.connectionRequests(),
                        "closeDelimited",
                        lastExchange == null ? null : lastExchange.closeDelimited(),
                        "partialEvent",
                        partialEvent,
                        "eventIds",
                        events,
                        "outcome",
                        outcome,
                        "failures",
                        failures,
                        "promptParts",
                        failures.isEmpty()
                                ? null
                                : info.sharedParts().stream()
                                        .map(Long::toHexString)
                                        .toList());
        onDone.run();
    }

    private void endExchange(ReleaseReason reason) {
        silenceTimer.cancel();
        exchange = null;
        releaseReplacement(ReleaseReason.CANCELLED);
        releaseSlot(reason);
        if (placedLocally != null) {
            LocalPlacement.Placed ended = placedLocally;
            placedLocally = null;
            context.placement().requestEnded(ended, reason);
        }
    }

    private void releaseSlot(ReleaseReason reason) {
        if (lease >= 0) {
            context.slots().release(lease, reason, 0);
            lease = -1;
        }
    }

    private void releaseReplacement(ReleaseReason reason) {
        if (replacementLease >= 0) {
            context.slots().release(replacementLease, reason, 0);
            replacementLease = -1;
        }
    }

    private void markReceived() {
        lastReceivedNanos = context.ticker().nanos();
        releaseReplacement(ReleaseReason.CANCELLED);
    }

    private void markFirstByte() {
        if (exchangeFirstByteNanos == 0) {
            exchangeFirstByteNanos = context.ticker().nanos();
        }
        if (firstByteNanos == 0) {
            firstByteNanos = exchangeFirstByteNanos;
            context.metrics().time("lavenderline_first_byte_seconds", firstByteNanos - arrivalNanos);
        }
    }

    /**
     * Ends the attempt if the stream that has just ended is truncated. The response may have been delimited correctly:
     * an upstream may break off a stream and still end its connection, or its last chunk, in order.
     */
    private boolean failIfTruncated(boolean withinEvent) {
        Optional<String> truncation =
                events.truncation(withinEvent, exchange.closeDelimited(), upstream.id(), continuationEnd);
        truncation.ifPresent(cause -> attemptFailed(SendFailure.CUT, ReleaseReason.ANSWER_LOST, cause));
        return truncation.isPresent();
    }

    private void applyBackpressure(UpstreamExchange source) {
        if (response.writeQueueFull()) {
            source.pause();
            paused = true;
            response.onDrain(() -> resume(source));
        }
    }

    private void resume(UpstreamExchange source) {
        if (source == exchange && paused) {
            paused = false;
            lastReceivedNanos = context.ticker().nanos();
        }
        source.resume();
    }

    /** Buffers the response until it is complete, so that a truncated response can be requested again. */
    private final class BufferedResponse extends ForwardedResponse {
        private Buffer received = Buffer.buffer();
        private boolean streaming;

        @Override
        public void chunk(Buffer chunk) {
            markReceived();
            markFirstByte();
            if (streaming) {
                response.write(chunk);
                applyBackpressure(exchange);
                return;
            }
            received.appendBuffer(chunk);
            if (received.length() > MAX_BUFFERED_BYTES) {
                streaming = true;
                response.startStream(status, responseHeaders);
                response.write(received);
                received = Buffer.buffer();
            }
        }

        @Override
        public void end() {
            if (!streaming && isFailure(status) && route.repeatable() && attemptsLeft()) {
                failedWithStatus(status);
                return;
            }
            if (streaming) {
                response.end();
            } else {
                response.send(status, responseHeaders, received);
            }
            complete(status);
        }
    }

    /** Ends the attempt if forwarding its status would promise that a request has not run which may have. */
    private void failIfUnprovenRejection(int status) {
        if (!route.repeatable() && RejectionStatus.promisesNotRun(status)) {
            exchange.cancel();
            failedWithStatus(status);
        }
    }

    private void breakOff(String cause) {
        exchange.cancel();
        attemptFailed(SendFailure.CUT, ReleaseReason.ANSWER_LOST, cause);
    }

    /** What the ways to forward a response have in common. */
    private abstract class ForwardedResponse implements ResponseListener {
        int status;
        MultiMap responseHeaders;

        @Override
        public void headers(int upstreamStatus, MultiMap upstreamHeaders) {
            markReceived();
            status = upstreamStatus;
            responseHeaders = upstreamHeaders;
            failIfUnprovenRejection(status);
        }

        void forward(Buffer bytes) {
            if (!response.started()) {
                response.startStream(status, responseHeaders);
            }
            response.write(bytes);
            applyBackpressure(exchange);
        }

        void endStream() {
            if (!response.started()) {
                response.startStream(status, responseHeaders);
            }
            response.end();
            complete(status);
        }

        @Override
        public void failed(SendFailure failure, String message) {
            attemptFailed(failure, failure.releaseReason(), message);
        }
    }

    /** Forwards a stream that can't be resumed; a response that consists of no events as it arrives. */
    private final class PlainStream extends ForwardedResponse {
        private final EventStreamFilter filter = new EventStreamFilter(events);

        private boolean hasEvents() {
            return status == HTTP_OK && EventStreamFilter.isEventStream(responseHeaders);
        }

        /** Returns whether nothing was forwarded of a success, whose body has an event whatever its content type. */
        private boolean withoutContent() {
            return status == HTTP_OK && !hasEvents() && !response.started() && !method.equals(HttpMethod.HEAD);
        }

        @Override
        public void chunk(Buffer chunk) {
            markReceived();
            markFirstByte();
            Buffer passed = hasEvents() ? filter.feed(chunk) : chunk;
            if (passed.length() > 0) {
                forward(passed);
            }
            if (filter.broken()) {
                breakOff("events out of order");
            }
        }

        @Override
        public void end() {
            partialEvent = filter.withinEvent();
            if (hasEvents() && failIfTruncated(partialEvent)) {
                return;
            }
            if (withoutContent()) {
                attemptFailed(SendFailure.CUT, ReleaseReason.ANSWER_LOST, "stream ended without content");
                return;
            }
            Buffer lineEnds = filter.remainder();
            if (lineEnds.length() > 0) {
                forward(lineEnds);
            }
            endStream();
        }
    }

    /** Forwards only complete events, so that another upstream can continue the stream after the last one. */
    private final class ResumableStream extends ForwardedResponse {
        private final EventStreamParser parser = new EventStreamParser(this::event);
        private final Buffer errorBody = Buffer.buffer();

        @Override
        public void chunk(Buffer chunk) {
            markReceived();
            if (status != HTTP_OK) {
                errorBody.appendBuffer(chunk);
                if (errorBody.length() > MAX_BUFFERED_BYTES) {
                    breakOff("error response is too long");
                }
                return;
            }
            boolean withinLimit = parser.feed(chunk);
            if (events.broken() && !done) {
                breakOff("events out of order");
            } else if (!withinLimit && !done) {
                breakOff("event is too long");
            }
        }

        private void event(StreamEvent event) {
            if (!events.accepts(event)) {
                return;
            }
            markFirstByte();
            recordOrigin();
            forward(event.raw());
        }

        @Override
        public void end() {
            partialEvent = parser.hasPartialEvent();
            if (status == HTTP_OK && failIfTruncated(partialEvent)) {
                return;
            }
            if (isFailure(status) && attemptsLeft()) {
                failedWithStatus(status);
                return;
            }
            if (status != HTTP_OK && response.started()) {
                response.abort();
                finish(
                        "upstream answered " + status + " to the continuation of a stream",
                        ReleaseReason.UPSTREAM_FAILED);
                return;
            }
            if (status != HTTP_OK) {
                response.send(status, responseHeaders, errorBody);
                complete(status);
                return;
            }
            endStream();
        }
    }

    /** Chooses the service for a request according to the route's weights. */
    static String chooseService(Route route, CallContext context) {
        return TrafficSplit.choose(route.services(), context.random());
    }
}
