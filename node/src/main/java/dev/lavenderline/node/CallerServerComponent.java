package dev.lavenderline.node;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.http.CallerServer;
import dev.lavenderline.http.HttpLimits;
import dev.lavenderline.log.Futures;
import dev.lavenderline.node.calls.KeyedCallService;
import dev.lavenderline.node.supervisor.Component;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Map;

/**
 * The HTTP server for callers, with its service for keyed calls.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class CallerServerComponent implements Component {
    private final CallerServer server;

    CallerServerComponent(
            Vertx vertx,
            Settings settings,
            Identity identity,
            Node.Components components,
            MetricRegistry metrics,
            Timers timers,
            Ticker ticker,
            HoldingAccount account) {
        KeyedCallService keyedCalls = new KeyedCallService(
                components.streams.calls(),
                identity.incarnation(),
                settings.platform().logTimeout(),
                timers,
                ticker);
        components.streams.onCall(keyedCalls::onEvent);
        SocketAddress address = SocketAddress.parse(settings.addresses().callers());
        Settings.Traffic traffic = settings.traffic();
        this.server = CallerServer.builder(vertx)
                .address(address.host(), address.port())
                .config(() -> components.streams.config().ledger().config())
                .dispatcher(components.upstreams.dispatcher())
                .upstreams(components.upstreams.client())
                .batch(components.jobs.api())
                .keyedCalls(keyedCalls)
                .limits(HttpLimits.defaults()
                        .withEngineTimeouts(traffic.firstTokenLimit(), traffic.stallLimit())
                        .withBodies((int) traffic.maxRequestBytes(), (int) traffic.maxFileBytes()))
                .ticker(ticker)
                .account(account)
                .metrics(metrics)
                .build();
    }

    CallerServer server() {
        return server;
    }

    @Override
    public Uni<Void> start() {
        return Futures.toUni(server.start());
    }

    @Override
    public Uni<Void> stop() {
        return Futures.toUni(server.drain(Duration.ofMillis(1)));
    }

    @Override
    public Map<String, Object> state() {
        return Map.of("open_requests", server.openRequests());
    }
}
