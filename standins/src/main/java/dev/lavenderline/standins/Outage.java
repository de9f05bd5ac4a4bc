package dev.lavenderline.standins;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * Planned outage of a stand-in, set by {@code {"outage_ms":N,"silent":B}}: requests get 503, or no answer at all if
 * {@code silent} is true.
 *
 * <p>Not thread-safe; confined to the stand-in's event loop.
 */
public final class Outage {
    private long endNanos = System.nanoTime();
    private boolean silent;

    /** Reads the outage fields of a fault request; other fields are ignored. */
    public void configure(JsonObject faults) {
        if (!faults.containsKey("outage_ms")) {
            return;
        }
        endNanos = System.nanoTime() + faults.getLong("outage_ms") * 1_000_000;
        silent = faults.getBoolean("silent", false);
    }

    /** Returns whether the outage lasts. */
    public boolean active() {
        return endNanos - System.nanoTime() > 0;
    }

    /** Answers a request during the outage, or leaves it open if the outage is silent. */
    public void refuse(RoutingContext context) {
        if (!silent) {
            context.response().setStatusCode(503).end();
        }
    }

    /** Refuses a request during the outage and passes it on otherwise. */
    public void filter(RoutingContext context) {
        if (active()) {
            refuse(context);
            return;
        }
        context.next();
    }
}
