package dev.lavenderline.standins.hosts;

import dev.lavenderline.standins.Outage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Stand-in for the platform's host list over HTTP. {@code GET /hosts} returns {@code {"hosts":[{"address","state"}]}};
 * {@code POST /hosts {"address","state"}} adds or changes a host and {@code DELETE /hosts?address=A} removes one; both
 * become visible after the lag. {@code POST /faults {"outage_ms":N,"silent":B}} simulates an outage.
 *
 * <p>All requests are handled on one event loop; {@link #start} and {@link #stop} may be called from any thread.
 */
public final class HostListStandin {
    private static final Set<String> STATES = Set.of("live", "leaving");

    private final Vertx vertx;
    private final Builder settings;
    private final Map<String, String> visibleHosts = new TreeMap<>();
    private final Outage outage = new Outage();
    private HttpServer server;

    private HostListStandin(Builder settings) {
        this.vertx = settings.vertx;
        this.settings = settings;
        this.visibleHosts.putAll(settings.hosts);
    }

    /** Returns a builder with an empty list, no lag and an ephemeral port. */
    public static Builder builder(Vertx vertx) {
        return new Builder(vertx);
    }

    /** Starts the server and returns its port. */
    public Future<Integer> start() {
        Router router = Router.router(vertx);
        router.post("/faults").handler(BodyHandler.create(false)).handler(this::setFaults);
        router.route().handler(outage::filter);
        router.get("/hosts").handler(this::listHosts);
        router.post("/hosts").handler(BodyHandler.create(false)).handler(this::putHost);
        router.delete("/hosts").handler(this::removeHost);
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

    private void listHosts(RoutingContext context) {
        JsonArray hosts = new JsonArray();
        visibleHosts.forEach((address, state) ->
                hosts.add(new JsonObject().put("address", address).put("state", state)));
        context.json(new JsonObject().put("hosts", hosts));
    }

    private void putHost(RoutingContext context) {
        JsonObject host = context.body().asJsonObject();
        String address = host == null ? null : host.getString("address");
        String state = host == null ? null : host.getString("state");
        if (address == null || state == null || !STATES.contains(state)) {
            context.response().setStatusCode(400).end("address and a state of live or leaving are needed");
            return;
        }
        applyAfterLag(() -> visibleHosts.put(address, state));
        context.response().setStatusCode(202).end();
    }

    private void removeHost(RoutingContext context) {
        String address = context.request().getParam("address");
        if (address == null) {
            context.response().setStatusCode(400).end("address is needed");
            return;
        }
        applyAfterLag(() -> visibleHosts.remove(address));
        context.response().setStatusCode(202).end();
    }

    private void applyAfterLag(Runnable change) {
        if (settings.lag.isZero()) {
            change.run();
            return;
        }
        vertx.setTimer(settings.lag.toMillis(), timer -> change.run());
    }

    /** Settings of a host list stand-in. */
    public static final class Builder {
        private final Vertx vertx;
        private final Map<String, String> hosts = new TreeMap<>();
        private String bind = "127.0.0.1";
        private int port;
        private Duration lag = Duration.ZERO;

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

        /** Time until a change becomes visible; 0 by default. */
        public Builder lag(Duration lag) {
            this.lag = lag;
            return this;
        }

        /** Adds a host that is visible from the start. */
        public Builder host(String address, String state) {
            if (!STATES.contains(state)) {
                throw new IllegalArgumentException("state must be live or leaving, not " + state);
            }
            hosts.put(address, state);
            return this;
        }

        /** Returns the stand-in; {@link HostListStandin#start} starts it. */
        public HostListStandin build() {
            return new HostListStandin(this);
        }
    }
}
