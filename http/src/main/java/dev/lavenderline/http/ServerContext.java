package dev.lavenderline.http;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.routing.Dispatcher;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/** Dependencies and settings shared by the handlers of a server. */
record ServerContext(
        Vertx vertx,
        Supplier<FleetConfig> config,
        Dispatcher dispatcher,
        UpstreamClient client,
        HttpLimits limits,
        Ticker ticker,
        HttpMetrics metrics) {}
