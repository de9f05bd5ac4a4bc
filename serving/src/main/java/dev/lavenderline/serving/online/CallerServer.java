package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * HTTP server for callers. Requests are read whole, routed by the newest configuration and answered once.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class CallerServer {
    /** Above the idle time of every known configuration, so that no connection closes while its caller may use it. */
    private static final Duration CONNECTION_IDLE = Duration.ofSeconds(60);

    private static final Duration NOT_READY = Duration.ofMillis(500);

    /** Time after which a caller that this node refuses while it stops may come back; another node serves it. */
    private static final Duration LEAVING = Duration.ofMillis(50);

    /** Time between the end of an answer and the close of its connection while the node stops. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(200);

    private static final int LARGEST_HEAD = 64 * 1024;

    private final Vertx vertx;
    private final CallContext context;
    private final Supplier<Optional<FleetConfig>> config;
    private final BatchCalls batch;
    private final Map<HttpConnection, Set<OnlineCall>> calls = new HashMap<>();
    private HttpServer server;
    private final Set<HttpServerResponse> unanswered = new HashSet<>();
    private final Map<HttpConnection, Integer> openRequests = new HashMap<>();
    private boolean draining;
    private boolean refusing;

    public CallerServer(
            Vertx vertx,
            CallContext context,
            Supplier<Optional<FleetConfig>> config,
            JobLedger ledger,
            JobStore jobs,
            Timers timers) {
        this.vertx = vertx;
        this.context = context;
        this.config = config;
        this.batch = new BatchCalls(context.wire(), ledger, jobs, timers, context.log());
    }

    /** Starts to listen; returns the port. */
    public Future<Integer> listen(String host, int port) {
        server = vertx.createHttpServer(new HttpServerOptions()
                .setTcpNoDelay(true)
                .setMaxHeaderSize(LARGEST_HEAD)
                .setMaxInitialLineLength(LARGEST_HEAD)
                .setIdleTimeout((int) CONNECTION_IDLE.toSeconds())
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(1024));
        server.connectionHandler(connection -> {
            calls.put(connection, new HashSet<>());
            openRequests.put(connection, 0);
            connection.closeHandler(closed -> connectionClosed(connection));
        });
        server.requestHandler(this::handle);
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void connectionClosed(HttpConnection connection) {
        Set<OnlineCall> open = calls.remove(connection);
        openRequests.remove(connection);
        if (open != null) {
            List.copyOf(open).forEach(OnlineCall::callerLeft);
        }
    }

    /** Asks callers to leave with their next answers; requests are still served. */
    public void drain() {
        draining = true;
    }

    /** Refuses further requests, which other nodes can serve, and closes connections without a request. */
    public void refuse() {
        refusing = true;
        List.copyOf(openRequests.keySet()).forEach(this::closeIdle);
    }

    private void closeIdle(HttpConnection connection) {
        if (openRequests.getOrDefault(connection, 0) == 0) {
            connection.close();
        }
    }

    /** Returns the number of requests in progress. */
    public int active() {
        return unanswered.size();
    }

    /** Closes the server and its connections. */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void handle(HttpServerRequest request) {
        long arrived = context.ticker().nanos();
        openRequests.computeIfPresent(request.connection(), (connection, count) -> count + 1);
        CallerAnswer answer = new CallerAnswer(request, context.wire());
        if (draining) {
            answer.closeAfter();
        }
        Optional<FleetConfig> current = config.get();
        int largest = current.map(known -> known.limits().bodyBytes()).orElse(4 * 1024 * 1024);
        Buffer body = Buffer.buffer();
        boolean[] tooLarge = new boolean[1];
        request.exceptionHandler(failure -> {});
        request.handler(piece -> {
            if (body.length() + piece.length() > largest) {
                tooLarge[0] = true;
            } else {
                body.appendBuffer(piece);
            }
        });
        request.endHandler(end -> {
            if (tooLarge[0]) {
                track(request);
                answer.own(413, "the body has more than " + largest + " bytes");
                return;
            }
            track(request);
            if (refusing) {
                answer.own(503, "not run: this node is leaving", LEAVING);
                return;
            }
            try {
                route(request, body, answer, arrived);
            } catch (RuntimeException e) {
                context.log().event(ServingEvent.UNEXPECTED, "uri", request.uri(), "message", e);
                answer.own(500, "internal error");
            }
        });
    }

    private void track(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        unanswered.add(response);
        response.closeHandler(closed -> unanswered.remove(response));
        response.endHandler(end -> {
            unanswered.remove(response);
            openRequests.computeIfPresent(request.connection(), (connection, count) -> count - 1);
            if (draining) {
                // The last bytes are written after this handler.
                context.timers().after(CLOSE_DELAY, () -> closeIdle(request.connection()));
            }
        });
    }

    private void route(HttpServerRequest request, Buffer body, CallerAnswer answer, long arrived) {
        Optional<FleetConfig> current = config.get();
        if (current.isEmpty()) {
            answer.own(503, "not run: no configuration yet", NOT_READY);
            return;
        }
        String host = Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse("");
        RequestInfo info = context.wire().request(request.headers());
        Optional<Route> route = current.get().route(host, request.path() == null ? "" : request.path());
        if (route.isEmpty()) {
            Optional<BatchCall> call = current.get().knowsHost(host)
                    ? context.wire().batchCall(request.method(), request.uri())
                    : Optional.empty();
            if (call.isPresent()) {
                batch.call(call.get(), info, answer);
            } else {
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
                                current.get().version(),
                                "outcome",
                                "404 no route");
                answer.own(404, "no route");
            }
            return;
        }
        if (route.get().kind() == RouteKind.BATCH) {
            batch.submit(route.get(), host, info, body, answer);
            return;
        }
        online(request, body, answer, arrived, info, route.get(), current.get());
    }

    private void online(
            HttpServerRequest request,
            Buffer body,
            CallerAnswer answer,
            long arrived,
            RequestInfo info,
            Route route,
            FleetConfig current) {
        Set<OnlineCall> open = calls.get(request.connection());
        if (open == null) {
            return;
        }
        OnlineCall[] self = new OnlineCall[1];
        OnlineCall call = new OnlineCall(
                context,
                route,
                info,
                request.method(),
                request.uri(),
                request.headers(),
                body,
                answer,
                arrived,
                () -> open.remove(self[0]));
        self[0] = call;
        open.add(call);
        String service = OnlineCall.chooseService(route, context);
        call.start(current.modelEngines(service), service);
    }
}
