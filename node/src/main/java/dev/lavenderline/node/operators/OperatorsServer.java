package dev.lavenderline.node.operators;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.lavenderline.core.overload.ConnectionLimits;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ListenerGuard;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * HTTP server for operators: {@code GET /state}, {@code /metrics}, {@code /live}, {@code /ready} and
 * {@code POST /drain}.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class OperatorsServer {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Probes, a metrics collector and the command line need a few connections each. */
    private static final int MAX_CONNECTIONS = 64;

    private static final ConnectionLimits LIMITS =
            new ConnectionLimits(8 << 10, Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(75));
    private static final Duration ENFORCEMENT_PERIOD = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final ListenerGuard guard;
    private final MetricRegistry metrics;
    private final Supplier<Map<String, Object>> state;
    private final BooleanSupplier isReady;
    private final Runnable drain;
    private HttpServer server;

    /**
     * Creates the server.
     *
     * @param state content of the state dump, serializable as JSON
     * @param drain starts a graceful shutdown; idempotent
     */
    public OperatorsServer(
            Vertx vertx,
            HoldingAccount account,
            MetricRegistry metrics,
            Supplier<Map<String, Object>> state,
            BooleanSupplier isReady,
            Runnable drain) {
        this.vertx = vertx;
        this.guard = new ListenerGuard("operators", account, MAX_CONNECTIONS, () -> LIMITS);
        this.metrics = metrics;
        this.state = state;
        this.isReady = isReady;
        this.drain = drain;
    }

    /** Starts the server; fails if the address is in use. */
    public Future<Void> start(String host, int port) {
        Router router = Router.router(vertx);
        router.get("/state").handler(this::writeState);
        router.get("/metrics")
                .handler(ctx -> ctx.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4")
                        .end(PrometheusText.render(metrics)));
        router.get("/live").handler(ctx -> ctx.response().end("live\n"));
        router.get("/ready")
                .handler(ctx -> ctx.response()
                        .setStatusCode(isReady.getAsBoolean() ? 200 : 503)
                        .end(isReady.getAsBoolean() ? "ready\n" : "not ready\n"));
        router.post("/drain").handler(ctx -> {
            ctx.response().setStatusCode(202).end("draining\n");
            drain.run();
        });
        // An upgrade to HTTP/2, which the JDK's client asks for, breaks off large responses.
        server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .connectionHandler(guard::accepted)
                .requestHandler(router);
        vertx.setPeriodic(ENFORCEMENT_PERIOD.toMillis(), tick -> guard.enforceTimes());
        return server.listen(port, host).mapEmpty();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.actualPort();
    }

    /** Stops the server; idempotent. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void writeState(RoutingContext ctx) {
        try {
            ctx.response()
                    .putHeader("Content-Type", "application/json")
                    .end(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(state.get()) + "\n");
        } catch (JsonProcessingException e) {
            ctx.fail(e);
        }
    }
}
