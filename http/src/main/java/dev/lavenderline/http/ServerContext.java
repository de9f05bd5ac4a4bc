package dev.lavenderline.http;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.routing.Dispatcher;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/** What the handlers of one server share. */
record ServerContext(
        Vertx vertx,
        Supplier<FleetConfig> config,
        Dispatcher dispatcher,
        UpstreamClient client,
        HttpLimits limits,
        Ticker ticker,
        HttpMetrics metrics) {}
