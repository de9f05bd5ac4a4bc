package dev.lavenderline.standins.weights;

import dev.lavenderline.standins.Outage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * Stand-in for the platform's weight store over HTTP. {@code POST /reserve {"artifact","bytes"}} takes bytes from a
 * token bucket and returns {@code {"wait_ms"}}, the time until the bucket has refilled to cover them. {@code POST
 * /faults {"outage_ms":N,"silent":B}} simulates an outage.
 *
 * <p>All requests are handled on one event loop; {@link #start} and {@link #stop} may be called from any thread.
 */
public final class WeightStoreStandin {
    private final Vertx vertx;
    private final Builder settings;
    private final Outage outage = new Outage();
    private HttpServer server;
    /** Bytes in the token bucket; negative while reservations wait for the refill. */
    private double availableBytes;

    private long lastNanos = System.nanoTime();

    private WeightStoreStandin(Builder settings) {
        this.vertx = settings.vertx;
        this.settings = settings;
        this.availableBytes = settings.burstBytes;
    }

    /** Returns a builder with 1 GB per second and an ephemeral port. */
    public static Builder builder(Vertx vertx) {
        return new Builder(vertx);
    }

    /** Starts the server and returns its port. */
    public Future<Integer> start() {
        Router router = Router.router(vertx);
        router.post("/faults").handler(BodyHandler.create(false)).handler(this::setFaults);
        router.route().handler(outage::filter);
        router.post("/reserve").handler(BodyHandler.create(false)).handler(this::reserve);
        server = vertx.createHttpServer(new HttpServerOptions()
                .setHost(settings.bind)
                .setPort(settings.port)
                .setHttp2ClearTextEnabled(false));
        return server.requestHandler(router).listen().map(HttpServer::actualPort);
    }

    /** Closes the server and its connections. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void setFaults(RoutingContext context) {
        outage.configure(context.body().asJsonObject());
        context.response().setStatusCode(204).end();
    }

    private void reserve(RoutingContext context) {
        JsonObject request = context.body().asJsonObject();
        Long bytes = request == null ? null : request.getLong("bytes");
        if (bytes == null || bytes < 0 || request.getString("artifact") == null) {
            context.response().setStatusCode(400).end("artifact and a number of bytes are needed");
            return;
        }
        long now = System.nanoTime();
        availableBytes =
                Math.min(settings.burstBytes, availableBytes + (now - lastNanos) * 1e-9 * settings.bytesPerSecond)
                        - bytes;
        lastNanos = now;
        long waitMs = (long) Math.ceil(Math.max(0, -availableBytes) / settings.bytesPerSecond * 1000);
        context.json(new JsonObject().put("wait_ms", waitMs));
    }

    /** Settings of a weight store stand-in. */
    public static final class Builder {
        private final Vertx vertx;
        private String bind = "127.0.0.1";
        private int port;
        private double bytesPerSecond = 1e9;
        private long burstBytes = 1_000_000_000;

        private Builder(Vertx vertx) {
            this.vertx = vertx;
        }

        /** Address to listen on; 127.0.0.1 by default. */
        public Builder bind(String address) {
            this.bind = address;
            return this;
        }

        /** Port to listen on; 0, the default, for an ephemeral port. */
        public Builder port(int port) {
            this.port = port;
            return this;
        }

        /** Refill rate of the bucket in bytes per second; 1e9 by default. */
        public Builder bytesPerSecond(double rate) {
            if (!(rate > 0)) {
                throw new IllegalArgumentException("bytes per second must be positive, not " + rate);
            }
            this.bytesPerSecond = rate;
            return this;
        }

        /** Capacity of the bucket in bytes; 1e9 by default. */
        public Builder burstBytes(long bytes) {
            this.burstBytes = bytes;
            return this;
        }

        /** Returns the stand-in; {@link WeightStoreStandin#start} starts it. */
        public WeightStoreStandin build() {
            return new WeightStoreStandin(this);
        }
    }
}
