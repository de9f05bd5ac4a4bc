package dev.lavenderline.http;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.overload.ConnectionLimits;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ListenerGuard;
import dev.lavenderline.core.routing.Dispatcher;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * HTTP server for callers: model requests, files, batch jobs and routes to plain services.
 *
 * <p>Not thread-safe; confined to the event loop on which {@link #start} is called.
 *
 * <pre>{@code
 * CallerServer server = CallerServer.builder(vertx)
 *         .address("127.0.0.1", 8080)
 *         .config(() -> config)
 *         .dispatcher(dispatcher)
 *         .upstreams(client)
 *         .batch(batchApi)
 *         .keyedCalls(keyedCalls)
 *         .build();
 * server.start().onSuccess(started -> ...);
 * }</pre>
 */
public final class CallerServer {
    /** Longest wait for the end handlers of requests that a drain has cut off. */
    private static final Duration END_HANDLER_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(10);

    /** Time for the body of a request; input files have up to some hundred megabytes. */
    private static final Duration BODY_TIMEOUT = Duration.ofMinutes(10);

    /** Above the time for which the usual clients keep an idle connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);

    private static final Duration ENFORCEMENT_PERIOD = Duration.ofSeconds(1);

    private final Builder settings;
    private final ListenerGuard guard;
    private final ServerContext context;
    private final BearerTokens tokens;
    private final Promise<Void> allRequestsEnded = Promise.promise();
    private HttpServer server;
    private boolean draining;
    private boolean connectionsClosed;
    private int openRequests;
    private long enforcement;

    private CallerServer(Builder settings) {
        this.settings = settings;
        this.context = new ServerContext(
                settings.vertx,
                settings.config,
                settings.dispatcher,
                settings.client,
                settings.limits,
                settings.ticker,
                new HttpMetrics(settings.registry));
        this.tokens = new BearerTokens(settings.config);
        // The server itself rejects a head above its limit, with an error body.
        ConnectionLimits limits =
                new ConnectionLimits(2 * settings.limits.maxHeaderBytes(), HEADER_TIMEOUT, BODY_TIMEOUT, IDLE_TIMEOUT);
        this.guard = new ListenerGuard(
                        "callers", settings.account, settings.account.limits().connections(), () -> limits)
                .respondWith(ErrorBodies.REFUSAL);
    }

    /** Starts building a server. */
    public static Builder builder(Vertx vertx) {
        return new Builder(vertx);
    }

    /** Starts accepting connections; fails if the address is in use. */
    public Future<Void> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(settings.host)
                .setPort(settings.port)
                .setMaxHeaderSize(settings.limits.maxHeaderBytes())
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true);
        server = settings.vertx
                .createHttpServer(options)
                .connectionHandler(connection -> {
                    connection.exceptionHandler(
                            cause -> HttpEvent.CONNECTION_BROKEN.debug(connection.remoteAddress(), cause.getMessage()));
                    guard.accepted(connection);
                })
                .invalidRequestHandler(this::rejectInvalidRequest)
                .requestHandler(router());
        enforcement = settings.vertx.setPeriodic(ENFORCEMENT_PERIOD.toMillis(), tick -> guard.enforceTimes());
        return server.listen()
                .onSuccess(started -> HttpEvent.LISTENING.info(settings.host, started.actualPort()))
                .mapEmpty();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the number of requests whose response has not ended yet. */
    public int openRequests() {
        return openRequests;
    }

    /** Sends {@code Connection: close} with every further response; requests are still accepted. */
    public void announceDrain() {
        draining = true;
    }

    /**
     * Stops accepting connections and completes when no request is open. Requests that are still open after the
     * timeout are aborted.
     */
    public Future<Void> drain(Duration timeout) {
        announceDrain();
        HttpEvent.DRAINING.info(openRequests);
        return server.shutdown(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .compose(closed -> awaitLastRequest())
                .onComplete(done -> settings.vertx.cancelTimer(enforcement))
                .onComplete(done -> HttpEvent.DRAINED.info(openRequests));
    }

    /** Waits for the end handlers of the last requests, which may run after their connections were closed. */
    private Future<Void> awaitLastRequest() {
        connectionsClosed = true;
        if (openRequests == 0) {
            return Future.succeededFuture();
        }
        long timer = settings.vertx.setTimer(END_HANDLER_TIMEOUT.toMillis(), fired -> allRequestsEnded.tryComplete());
        return allRequestsEnded.future().onComplete(done -> settings.vertx.cancelTimer(timer));
    }

    private void requestEnded() {
        openRequests--;
        if (connectionsClosed && openRequests == 0) {
            allRequestsEnded.tryComplete();
        }
    }

    private Router router() {
        Router router = Router.router(settings.vertx);
        BodyHandler bodies = BodyHandler.create(false).setBodyLimit(settings.limits.maxBodyBytes());
        OnlineHandler online = new OnlineHandler(context);
        router.route().handler(this::admit);
        router.post(ModelRequest.CHAT_PATH).handler(bodies).handler(online::handle);
        router.post(ModelRequest.TEXT_PATH).handler(bodies).handler(online::handle);
        router.get("/v1/models").handler(this::listModels);
        new BatchHandler(context, settings.batch).mount(router, bodies);
        RouteHandler routes = new RouteHandler(context, settings.keyedCalls);
        router.route().handler(routes::handle);
        router.route().failureHandler(this::handleFailure);
        return router;
    }

    private void admit(RoutingContext ctx) {
        openRequests++;
        ctx.addEndHandler(ended -> requestEnded());
        context.metrics().requests.mark();
        String id = settings.requestIds.get();
        ctx.response().putHeader("X-Request-Id", id);
        if (draining) {
            ctx.response().putHeader("Connection", "close");
        }
        Optional<String> workspace = tokens.workspace(ctx.request().getHeader("Authorization"));
        if (workspace.isEmpty()) {
            sendError(
                    ctx,
                    new ApiError(401, "unauthorized", "the bearer token is missing or not known", Optional.empty()));
            return;
        }
        new Caller(id, workspace.get(), settings.ticker.nanos()).attach(ctx);
        ctx.next();
    }

    private void listModels(RoutingContext ctx) {
        ObjectNode body = Json.MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = body.putArray("data");
        List<Deployment> deployments =
                new ArrayList<>(settings.config.get().deployments().values());
        deployments.sort(java.util.Comparator.comparing(Deployment::name));
        for (Deployment deployment : deployments) {
            data.addObject()
                    .put("id", deployment.name())
                    .put("object", "model")
                    .put("owned_by", "lavenderline")
                    .put("online", deployment.onlineEnabled())
                    .put("batch", deployment.batchEnabled());
        }
        ctx.response().putHeader("Content-Type", "application/json").end(body.toString());
    }

    private void handleFailure(RoutingContext ctx) {
        int status = ctx.statusCode();
        ApiError error = switch (status) {
            case 400 -> ApiError.invalid("bad_request", "the request is malformed");
            case 404 -> ApiError.notFound("no such path");
            case 405 ->
                new ApiError(405, "method_not_allowed", "the path does not accept this method", Optional.empty());
            case 413 -> new ApiError(413, "too_large", "the body is too large", Optional.empty());
            default -> new ApiError(500, "internal", "the node failed to handle the request", Optional.empty());
        };
        if (error.status() == 500) {
            HttpEvent.HANDLER_FAILED.error(
                    ctx.failure(), ctx.response().headers().get("X-Request-Id"));
        }
        if (status == 413) {
            // The rest of the body is not read, so the connection cannot be reused.
            ctx.response().putHeader("Connection", "close");
        }
        sendError(ctx, error);
    }

    private void sendError(RoutingContext ctx, ApiError error) {
        context.metrics().error(error);
        ErrorBodies.send(ctx.response(), error);
    }

    private void rejectInvalidRequest(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        String reason = String.valueOf(cause);
        ApiError error;
        if (reason.contains("TooLongHttpHeader")) {
            error = new ApiError(431, "headers_too_large", "the headers are too large", Optional.empty());
        } else if (reason.contains("TooLongHttpLine")) {
            error = new ApiError(414, "uri_too_long", "the request line is too long", Optional.empty());
        } else {
            error = ApiError.invalid("bad_request", "the request is not valid HTTP");
        }
        context.metrics().error(error);
        request.response().putHeader("Connection", "close");
        ErrorBodies.send(request.response(), error);
        request.connection().close();
    }

    /** Builds a server; all settings without a default are required. */
    public static final class Builder {
        private final Vertx vertx;
        private final String instanceId = UUID.randomUUID().toString().substring(0, 8);
        private String host = "127.0.0.1";
        private int port;
        private Supplier<FleetConfig> config;
        private Dispatcher dispatcher;
        private UpstreamClient client;
        private BatchApi batch;
        private KeyedCalls keyedCalls;
        private HttpLimits limits = HttpLimits.defaults();
        private HoldingAccount account = HoldingAccount.unbounded(Ticker.system());
        private Ticker ticker = Ticker.system();
        private MetricRegistry registry = new MetricRegistry();
        private long requestCount;
        private Supplier<String> requestIds = () -> "req-" + instanceId + "-" + (++requestCount);

        private Builder(Vertx vertx) {
            this.vertx = Objects.requireNonNull(vertx, "vertx");
        }

        /** Sets the address to listen on; the system chooses a port if it is 0. */
        public Builder address(String newHost, int newPort) {
            host = newHost;
            port = newPort;
            return this;
        }

        /** Sets the source of the current configuration. */
        public Builder config(Supplier<FleetConfig> newConfig) {
            config = newConfig;
            return this;
        }

        /** Sets the dispatcher of online requests. */
        public Builder dispatcher(Dispatcher newDispatcher) {
            dispatcher = newDispatcher;
            return this;
        }

        /** Sets the client for upstreams. */
        public Builder upstreams(UpstreamClient newClient) {
            client = newClient;
            return this;
        }

        /** Sets the storage of files and batch jobs. */
        public Builder batch(BatchApi newBatch) {
            batch = newBatch;
            return this;
        }

        /** Sets the store of claims for calls with an {@code Idempotency-Key}. */
        public Builder keyedCalls(KeyedCalls newKeyedCalls) {
            keyedCalls = newKeyedCalls;
            return this;
        }

        /** Sets the limits; default {@link HttpLimits#defaults}. */
        public Builder limits(HttpLimits newLimits) {
            limits = newLimits;
            return this;
        }

        /** Sets the account of what callers make the process hold; default one without bounds. */
        public Builder account(HoldingAccount newAccount) {
            account = newAccount;
            return this;
        }

        /** Sets the clock; default the system clock. */
        public Builder ticker(Ticker newTicker) {
            ticker = newTicker;
            return this;
        }

        /** Sets the registry for metrics. */
        public Builder metrics(MetricRegistry newRegistry) {
            registry = newRegistry;
            return this;
        }

        /** Sets the source of request ids; they must be unique within the fleet. */
        public Builder requestIds(Supplier<String> newRequestIds) {
            requestIds = newRequestIds;
            return this;
        }

        /** Returns the server, not yet started. */
        public CallerServer build() {
            Objects.requireNonNull(config, "config");
            Objects.requireNonNull(dispatcher, "dispatcher");
            Objects.requireNonNull(client, "upstreams");
            Objects.requireNonNull(batch, "batch");
            Objects.requireNonNull(keyedCalls, "keyedCalls");
            return new CallerServer(this);
        }
    }
}
