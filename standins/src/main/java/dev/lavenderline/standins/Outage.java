package dev.lavenderline.standins;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * Simulated outage of a stand-in, set by {@code {"outage_ms":N,"silent":B}}: requests get status 503, or no response
 * at all if {@code silent} is true.
 *
 * <p>Not thread-safe; confined to the stand-in's event loop.
 */
public final class Outage {
    private long endNanos = System.nanoTime();
    private boolean silent;

    /** Starts or ends the outage according to a fault request; a request without {@code outage_ms} has no effect. */
    public void configure(JsonObject faults) {
        if (!faults.containsKey("outage_ms")) {
            return;
        }
        endNanos = System.nanoTime() + faults.getLong("outage_ms") * 1_000_000;
        silent = faults.getBoolean("silent", false);
    }

    /** Returns whether the outage is in progress. */
    public boolean active() {
        return endNanos - System.nanoTime() > 0;
    }

    /** Responds with status 503, or leaves the request without a response if the outage is silent. */
    public void reject(RoutingContext context) {
        if (!silent) {
            context.response().setStatusCode(503).end();
        }
    }

    /** Rejects a request during the outage, and passes it to the next handler otherwise. */
    public void filter(RoutingContext context) {
        if (active()) {
            reject(context);
            return;
        }
        context.next();
    }
}
