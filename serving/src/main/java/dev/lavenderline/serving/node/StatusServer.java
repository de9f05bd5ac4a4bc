package dev.lavenderline.serving.node;

import dev.lavenderline.core.overload.ConnectionLimits;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ListenerGuard;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Serves the readiness probe of the platform and the metrics for operators. Confined to the event loop. */
final class StatusServer {
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    /** The platform and an operator's collector need a few connections each. */
    private static final int MAX_CONNECTIONS = 32;

    /** Above the interval at which metrics are usually collected, so that their connection is kept. */
    private static final ConnectionLimits LIMITS = new ConnectionLimits(
            8 << 10, Duration.ofSeconds(3), Duration.ofSeconds(5), Duration.ofSeconds(IDLE_TIMEOUT_SECONDS));

    private final Vertx vertx;
    private final HoldingAccount account;
    private final List<ListenerGuard> guards = new ArrayList<>();
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;

    StatusServer(Vertx vertx, HoldingAccount account, BooleanSupplier ready, Supplier<String> metrics) {
        this.vertx = vertx;
        this.account = account;
        this.ready = ready;
        this.metrics = metrics;
    }

    private HttpServer server(String name) {
        ListenerGuard guard = new ListenerGuard(name, account, MAX_CONNECTIONS, () -> LIMITS);
        guards.add(guard);
        return vertx.createHttpServer(new HttpServerOptions()
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setHttp2ClearTextEnabled(false))
                .connectionHandler(guard::accepted);
    }

    /** Closes connections whose time is up; call it about once a second. */
    void enforceTimes() {
        guards.forEach(ListenerGuard::enforceTimes);
    }

    Future<Integer> listenReadiness(String host, int port) {
        return server("readiness")
                .requestHandler(request -> request.response()
                        .setStatusCode(ready.getAsBoolean() ? 200 : 503)
                        .end())
                .listen(port, host)
                .map(HttpServer::actualPort);
    }

    Future<Integer> listenMetrics(String host, int port) {
        return server("metrics")
                .requestHandler(request -> request.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4")
                        .end(metrics.get()))
                .listen(port, host)
                .map(HttpServer::actualPort);
    }
}
