package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
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
import java.util.function.Supplier;

/**
 * HTTP server for callers. Reads each request completely, routes it by the latest configuration and responds once.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class CallerServer {
    /** Above the idle timeout of every known configuration, so no connection is closed while its caller may use it. */
    private static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration NOT_READY_RETRY_DELAY = Duration.ofMillis(500);

    /** Retry delay for callers that are rejected while this node stops; short because another node serves them. */
    private static final Duration DRAINING_RETRY_DELAY = Duration.ofMillis(50);

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
    private final StartupQueue startupQueue;
    private final Map<HttpConnection, Set<OnlineCall>> callsByConnection = new HashMap<>();
    private HttpServer server;
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
            Timers timers) {
        this.vertx = vertx;
        this.context = context;
        this.config = config;
        this.startupQueue = new StartupQueue(
                () -> config.get().isPresent() && context.directory().loaded(), context.ticker(), timers);
        this.admission = new CallerAdmission(context, configAge, MAX_CONFIG_AGE, NOT_READY_RETRY_DELAY);
        this.batch = new BatchCallHandler(context, ledger, jobs, timers);
    }

    /** Starts listening; returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        server = vertx.createHttpServer(new HttpServerOptions()
                .setTcpNoDelay(true)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setIdleTimeout((int) CONNECTION_IDLE_TIMEOUT.toSeconds())
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(1024));
        server.connectionHandler(connection -> {
            callsByConnection.put(connection, new HashSet<>());
            openRequests.put(connection, 0);
            connection.closeHandler(closed -> connectionClosed(connection));
        });
        server.requestHandler(this::handle);
        return server.listen(port, host).map(HttpServer::actualPort);
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
        Optional<FleetConfig> current = config.get();
        int maxBodyBytes = current.map(latest -> latest.limits().bodyBytes()).orElse(4 * 1024 * 1024);
        Buffer body = Buffer.buffer();
        boolean[] tooLarge = new boolean[1];
        request.exceptionHandler(failure -> {});
        request.handler(chunk -> {
            if (body.length() + chunk.length() > maxBodyBytes) {
                tooLarge[0] = true;
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(end -> {
            trackResponse(request, response);
            if (draining.isPresent()) {
                response.closeConnectionAfterwards();
            }
            if (tooLarge[0]) {
                response.sendText(413, "the body has more than " + maxBodyBytes + " bytes");
                return;
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

    /** Returns the time for which a request may wait for the start; the other half of its time is left to serve it. */
    private Duration maxStartupWait(HttpServerRequest request) {
        return context.wire()
                .parseRequest(request.headers())
                .timeout()
                .map(timeout -> timeout.dividedBy(2))
                .orElse(StartupQueue.MAX_WAIT);
    }

    private void dispatchSafely(HttpServerRequest request, Buffer body, CallerResponse response, long arrivalNanos) {
        Runnable task = () -> dispatch(request, body, response, arrivalNanos);
        if (!FailureGuard.run(context.log(), task, "uri", request.uri())) {
            response.sendText(500, "internal error");
        }
    }

    private void trackResponse(HttpServerRequest request, CallerResponse response) {
        activeResponses.add(response);
        request.response().closeHandler(closed -> activeResponses.remove(response));
        response.onWritten(() -> {
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

    private void dispatch(HttpServerRequest request, Buffer body, CallerResponse response, long arrivalNanos) {
        FleetConfig current = config.get().orElseThrow();
        String host = Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse("");
        RequestInfo info = context.wire().parseRequest(request.headers());
        Optional<Route> route = current.route(host, request.path() == null ? "" : request.path());
        if (!endsBeforeExit(route, info, arrivalNanos)) {
            rejectLeaving(response);
            return;
        }
        if (route.isEmpty()) {
            Optional<BatchCall> call = current.hasHost(host)
                    ? context.wire().parseBatchCall(request.method(), request.uri())
                    : Optional.empty();
            if (call.isPresent()) {
                admission
                        .admit(current, info, "", false, response)
                        .ifPresent(caller -> batch.handle(call.get(), caller, info, response));
            } else {
                rejectUnknownRoute(request, host, info, current, response);
            }
            return;
        }
        boolean batchRoute = route.get().kind() == RouteKind.BATCH;
        // A job without a workspace could not be read, so a submission needs a key also on a public route.
        boolean publicAccess = route.get().publicAccess() && !batchRoute;
        Optional<Caller> caller = admission.admit(current, info, route.get().name(), publicAccess, response);
        if (caller.isEmpty()) {
            return;
        }
        if (batchRoute) {
            batch.submit(route.get(), host, caller.get(), info, body, response);
            return;
        }
        handleOnline(request, body, response, arrivalNanos, info, route.get(), caller.get(), current);
    }

    /** Rejects a request without a route. Only a node with the newest configuration may deny the route. */
    private void rejectUnknownRoute(
            HttpServerRequest request, String host, RequestInfo info, FleetConfig current, CallerResponse response) {
        boolean outdated = admission.configOutdated();
        context.log()
                .event(
                        ServingEvent.REQUEST_ENDED,
                        "request",
                        info.id(),
                        "host",
                        host,
                        "uri",
                        request.uri(),
                        "config",
                        current.version(),
                        "outcome",
                        outdated ? "503 no route, configuration may be outdated" : "404 no route");
        if (outdated) {
            response.sendText(503, "not run: the configuration may be outdated", NOT_READY_RETRY_DELAY);
        } else {
            response.sendText(404, "no route");
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
