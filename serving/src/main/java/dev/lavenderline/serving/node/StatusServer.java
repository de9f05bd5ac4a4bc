package dev.lavenderline.serving.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Serves the readiness probe of the platform and the metrics for operators. Confined to the event loop. */
final class StatusServer {
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    private final Vertx vertx;
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;

    StatusServer(Vertx vertx, BooleanSupplier ready, Supplier<String> metrics) {
        this.vertx = vertx;
        this.ready = ready;
        this.metrics = metrics;
    }

    private HttpServer server() {
        return vertx.createHttpServer(
                new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS).setHttp2ClearTextEnabled(false));
    }

    Future<Integer> listenReadiness(String host, int port) {
        return server().requestHandler(request -> request.response()
                        .setStatusCode(ready.getAsBoolean() ? 200 : 503)
                        .end())
                .listen(port, host)
                .map(HttpServer::actualPort);
    }

    Future<Integer> listenMetrics(String host, int port) {
        return server().requestHandler(request -> request.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4")
                        .end(metrics.get()))
                .listen(port, host)
                .map(HttpServer::actualPort);
    }
}
