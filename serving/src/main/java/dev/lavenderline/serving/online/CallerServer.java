package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.core.overload.ConnectionLimits;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ListenerGuard;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobLookup;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.CallerLimits;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.workspaces.Caller;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * HTTP server for callers. Reads each request completely, routes it by the latest configuration and responds once.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class CallerServer {
    private static final Duration NOT_READY_RETRY_DELAY = Duration.ofMillis(500);

    /** Retry delay for callers that are rejected while this node stops; short because another node serves them. */
    private static final Duration DRAINING_RETRY_DELAY = Duration.ofMillis(50);

    /** Retry delay for a job that found no room; the jobs that hold it are stored within some seconds. */
    private static final Duration NO_MEMORY_RETRY_DELAY = Duration.ofMillis(1500);

    /** Time between the end of a response and the close of its connection while the node stops. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(200);

    /**
     * Age of the configuration above which an unknown route or key may have been added meanwhile. Below the 2.5 s in
     * which changes have to apply, and twice the time between two responses of the store. A confirmation by another
     * node counts as well; its age includes the time for which the store held a poll, so it is often above 2 s.
     */
    private static final Duration MAX_CONFIG_AGE = Duration.ofSeconds(2);

    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private final Vertx vertx;
    private final CallContext context;
    private final Supplier<Optional<FleetConfig>> config;
    private final CallerAdmission admission;
    private final BatchCallHandler batch;
    private final EarlierWork earlierWork;
    private final StartupQueue startupQueue;
    private final Map<HttpConnection, Set<OnlineCall>> callsByConnection = new HashMap<>();
    private HttpServer server;
    private final ListenerGuard guard;
    private final Set<CallerResponse> activeResponses = new HashSet<>();
    private final Map<HttpConnection, Integer> openRequests = new HashMap<>();

    /** Present once the node is about to exit. */
    private Optional<DrainAdmission> draining = Optional.empty();

    private boolean refusing;

    /**
     * Creates a server.
     *
     * @param configAge returns the time since the store or another node confirmed that the configuration is the newest
     *     one
     */
    public CallerServer(
            Vertx vertx,
            CallContext context,
            Supplier<Optional<FleetConfig>> config,
            Supplier<Duration> configAge,
            JobLedger ledger,
            JobStore jobs,
            Timers timers,
            HoldingAccount account) {
        this.vertx = vertx;
        this.guard = new ListenerGuard("callers", account, account.limits().connections(), this::connectionLimits);
        this.context = context;
        this.config = config;
        this.startupQueue = new StartupQueue(
                () -> config.get().isPresent() && context.directory().loaded(), context.ticker(), timers);
        this.admission = new CallerAdmission(context, configAge, MAX_CONFIG_AGE, NOT_READY_RETRY_DELAY);
        JobLookup lookup = new JobLookup(ledger);
        this.batch = new BatchCallHandler(context, ledger, lookup, jobs, timers);
        this.earlierWork = new EarlierWork(context, admission, batch, lookup, jobs);
    }

    /** Starts listening; returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        server = vertx.createHttpServer(serverOptions());
        server.connectionHandler(connection -> {
            callsByConnection.put(connection, new HashSet<>());
            openRequests.put(connection, 0);
            connection.closeHandler(closed -> connectionClosed(connection));
            guard.accepted(connection);
        });
        server.requestHandler(this::handle);
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /**
     * Returns the options of the server. It has no idle timeout of its own: that would count bytes only, and end
     * connections whose request is in progress. {@link ListenerGuard} closes idle ones.
     */
    static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setTcpNoDelay(true)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(1024);
    }

    private CallerLimits limits() {
        return config.get().map(FleetConfig::limits).orElseGet(CallerLimits::defaults);
    }

    private ConnectionLimits connectionLimits() {
        CallerLimits limits = limits();
        Duration longest = config.get().map(FleetConfig::longestTimeout).orElse(Duration.ZERO);
        Duration bodyTimeout = longest.compareTo(limits.idleTimeout()) > 0 ? longest : limits.idleTimeout();
        return new ConnectionLimits(limits.headerBytes(), limits.headerTimeout(), bodyTimeout, limits.idleTimeout());
    }

    /** Closes connections whose time is up; call it about once a second. */
    public void enforceTimes() {
        guard.enforceTimes();
    }

    private void connectionClosed(HttpConnection connection) {
        Set<OnlineCall> open = callsByConnection.remove(connection);
        openRequests.remove(connection);
        if (open != null) {
            List.copyOf(open).forEach(OnlineCall::cancelByCaller);
        }
    }

    /**
     * Asks callers to close their connections after the next response, also that to a request in progress; requests are
     * still served if they end before the exit.
     *
     * @param exitNanos when the process exits at the latest, by the ticker's clock
     */
    public void drain(long exitNanos) {
        draining = Optional.of(new DrainAdmission(exitNanos));
        activeResponses.forEach(CallerResponse::closeConnectionAfterwards);
    }

    /** Rejects further requests, which other nodes can serve, and closes idle connections. */
    public void refuse() {
        refusing = true;
        List.copyOf(openRequests.keySet()).forEach(this::closeIfIdle);
    }

    /** Rejects the requests that wait for a slot, because the process exits before they can be served. */
    public void rejectWaiting() {
        callsByConnection.values().stream()
                .flatMap(Set::stream)
                .toList()
                .forEach(call -> call.rejectIfWaiting(DRAINING_RETRY_DELAY));
    }

    private void closeIfIdle(HttpConnection connection) {
        if (openRequests.getOrDefault(connection, 0) == 0) {
            connection.close();
        }
    }

    /**
     * Returns the number of requests in progress, from the end of their head until their response has been written
     * completely.
     */
    public int activeRequests() {
        return openRequests.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Closes the server and its connections. */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void handle(HttpServerRequest request) {
        long arrivalNanos = context.ticker().nanos();
        openRequests.computeIfPresent(request.connection(), (connection, count) -> count + 1);
        CallerResponse response = new CallerResponse(request, context.wire());
        int maxBodyBytes = limits().bodyBytes();
        RequestBody body = new RequestBody(maxBodyBytes);
        guard.onGivenUp(request.connection(), body::drop);
        request.exceptionHandler(failure -> {});
        trackResponse(request, response, body);
        if (hasBody(request) && decideBeforeBody(request, response, body, maxBodyBytes)) {
            body.keepBegin();
        }
        request.handler(chunk -> {
            if (response.ended()) {
                body.drop();
            } else if (body.append(chunk)) {
                rejectTooLarge(request, response, body, maxBodyBytes);
            }
        });
        request.endHandler(end -> {
            if (response.ended() || !body.needed()) {
                return;
            }
            if (draining.isPresent()) {
                response.closeConnectionAfterwards();
            }
            if (refusing) {
                rejectLeaving(response);
                return;
            }
            startupQueue.submit(
                    maxStartupWait(request),
                    () -> dispatchSafely(request, body, response, arrivalNanos),
                    () -> response.sendText(503, "not run: this node is starting", NOT_READY_RETRY_DELAY));
        });
    }

    private static boolean hasBody(HttpServerRequest request) {
        return request.headers().contains(HttpHeaders.TRANSFER_ENCODING) || contentLength(request) > 0;
    }

    /** Returns the length that a request announces; 0 if it announces none. */
    private static long contentLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void rejectTooLarge(
            HttpServerRequest request, CallerResponse response, RequestBody body, int maxBodyBytes) {
        Runnable reject = () -> response.sendText(413, "the body has more than " + maxBodyBytes + " bytes");
        config.get()
                .ifPresentOrElse(
                        current -> earlierWork.answerRepeat(call(request, response, body, current), reject), reject);
    }

    private EarlierWork.Call call(
            HttpServerRequest request, CallerResponse response, RequestBody body, FleetConfig current) {
        RequestInfo info = context.wire().parseRequest(request.headers());
        BooleanSupplier mayBeSubmission = () ->
                body.bytes().length() == 0 ? hasBody(request) : context.wire().mayBeSubmission(body.bytes());
        return new EarlierWork.Call(request.method(), host(request), info, current, mayBeSubmission, response);
    }

    /** Answers a request if its head alone shows how; returns whether the body is not needed. */
    private boolean decideBeforeBody(
            HttpServerRequest request, CallerResponse response, RequestBody body, int maxBodyBytes) {
        if (contentLength(request) > maxBodyBytes) {
            rejectTooLarge(request, response, body, maxBodyBytes);
            return true;
        }
        Optional<FleetConfig> current =
                config.get().filter(known -> context.directory().loaded());
        return current.isPresent() && decideBeforeBody(request, call(request, response, body, current.get()));
    }

    private boolean decideBeforeBody(HttpServerRequest request, EarlierWork.Call call) {
        Optional<Route> route = call.config().route(call.host(), path(request));
        if (route.isPresent()) {
            admission.rejectUnknownCaller(
                    call.config(), call.info(), route.get().name(), publicAccess(route.get()), call.response());
            return call.response().ended();
        }
        if (batchCall(request).isPresent()) {
            return false;
        }
        earlierWork.answerRepeat(call, () -> rejectUnknownRoute(request, call));
        return true;
    }

    private static String host(HttpServerRequest request) {
        return Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse("");
    }

    private static String path(HttpServerRequest request) {
        return request.path() == null ? "" : request.path();
    }

    private Optional<BatchCall> batchCall(HttpServerRequest request) {
        return context.wire().parseBatchCall(request.method(), request.uri());
    }

    /** A job without a workspace could not be read, so a submission needs a key also on a public route. */
    private static boolean publicAccess(Route route) {
        return route.publicAccess() && route.kind() != RouteKind.BATCH;
    }

    /** Returns the time for which a request may wait for the start; the other half of its time is left to serve it. */
    private Duration maxStartupWait(HttpServerRequest request) {
        return context.wire()
                .parseRequest(request.headers())
                .timeout()
                .map(timeout -> timeout.dividedBy(2))
                .orElse(StartupQueue.MAX_WAIT);
    }

    private void dispatchSafely(
            HttpServerRequest request, RequestBody body, CallerResponse response, long arrivalNanos) {
        Runnable task = () -> dispatch(request, body, response, arrivalNanos);
        if (!FailureGuard.run(context.log(), task, "uri", request.uri())) {
            response.sendText(500, "internal error");
        }
    }

    private void trackResponse(HttpServerRequest request, CallerResponse response, RequestBody body) {
        activeResponses.add(response);
        request.response().closeHandler(closed -> activeResponses.remove(response));
        response.onWritten(() -> {
            body.drop();
            activeResponses.remove(response);
            openRequests.computeIfPresent(request.connection(), (connection, count) -> count - 1);
            if (draining.isPresent()) {
                context.timers().after(CLOSE_DELAY, () -> closeIfIdle(request.connection()));
            }
        });
    }

    private static void rejectLeaving(CallerResponse response) {
        response.sendText(503, "not run: this node is leaving", DRAINING_RETRY_DELAY);
    }

    /** Returns whether a request is answered before the process exits, if it is about to. */
    private boolean endsBeforeExit(Optional<Route> route, RequestInfo info, long arrivalNanos) {
        Duration limit = route.filter(known -> known.kind() != RouteKind.BATCH)
                .map(known -> info.limit(known.timeout()))
                .orElse(BatchCallHandler.CALL_TIMEOUT.plus(info.maxWait()));
        return draining.map(admission -> admission.admits(arrivalNanos, limit)).orElse(true);
    }

    private void dispatch(HttpServerRequest request, RequestBody received, CallerResponse response, long arrivalNanos) {
        EarlierWork.Call call = call(request, response, received, config.get().orElseThrow());
        Buffer body = received.bytes();
        Optional<Route> route = call.config().route(call.host(), path(request));
        if (!endsBeforeExit(route, call.info(), arrivalNanos)) {
            rejectLeaving(response);
            return;
        }
        Runnable byRoute = () -> route.ifPresentOrElse(
                known -> dispatch(request, body, call, arrivalNanos, known), () -> rejectUnknownRoute(request, call));
        Optional<BatchCall> batchCall = batchCall(request);
        if (batchCall.isPresent()) {
            earlierWork.answerJobCall(batchCall.get(), call, route.isPresent(), byRoute);
        } else if (route.isEmpty()) {
            earlierWork.answerRepeat(call, byRoute);
        } else if (route.get().kind() != RouteKind.BATCH) {
            earlierWork.answerRepeatOnOtherRoute(call, body, byRoute);
        } else {
            earlierWork.afterReading(call, byRoute);
        }
    }

    private void dispatch(
            HttpServerRequest request, Buffer body, EarlierWork.Call call, long arrivalNanos, Route route) {
        RequestInfo info = call.info();
        CallerResponse response = call.response();
        Optional<Caller> caller = admission.admit(call.config(), info, route.name(), publicAccess(route), response);
        if (caller.isEmpty()) {
            return;
        }
        if (route.kind() != RouteKind.BATCH) {
            handleOnline(request, body, response, arrivalNanos, info, route, caller.get(), call.config());
        } else if (guard.charge(request.connection(), context.wire().submissionBytes(body))) {
            batch.submit(route, call.host(), caller.get(), info, body, response);
        } else {
            response.sendText(503, "not run: no memory for the job", NO_MEMORY_RETRY_DELAY);
        }
    }

    /** Rejects a request without a route. Only a node with the newest configuration may deny the route. */
    private void rejectUnknownRoute(HttpServerRequest request, EarlierWork.Call call) {
        boolean outdated = admission.configOutdated();
        context.log()
                .event(
                        ServingEvent.REQUEST_ENDED,
                        "request",
                        call.info().id(),
                        "host",
                        call.host(),
                        "uri",
                        request.uri(),
                        "config",
                        call.config().version(),
                        "outcome",
                        outdated ? "503 no route, configuration may be outdated" : "404 no route");
        if (outdated) {
            call.response().sendText(503, "not run: the configuration may be outdated", NOT_READY_RETRY_DELAY);
        } else {
            call.response().sendText(404, "no route");
        }
    }

    private void handleOnline(
            HttpServerRequest request,
            Buffer body,
            CallerResponse response,
            long arrivalNanos,
            RequestInfo info,
            Route route,
            Caller caller,
            FleetConfig current) {
        Set<OnlineCall> open = callsByConnection.get(request.connection());
        if (open == null) {
            return;
        }
        OnlineCall[] self = new OnlineCall[1];
        OnlineCall call = new OnlineCall(
                context,
                route,
                caller,
                info,
                request.method(),
                request.uri(),
                request.headers(),
                body,
                response,
                arrivalNanos,
                () -> open.remove(self[0]));
        self[0] = call;
        open.add(call);
        String service = OnlineCall.chooseService(route, context);
        call.start(current.modelEngines(service), service);
    }
}
