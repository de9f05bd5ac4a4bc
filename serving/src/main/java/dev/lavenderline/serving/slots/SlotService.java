package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * The slot scheduler of a node with its server, and the node's link to the scheduler that it uses.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class SlotService {
    private final SlotServer server;
    private final SlotScheduler scheduler;
    private final SchedulerLink link;
    private final Timers timers;

    public SlotService(
            Vertx vertx,
            NodeEntry self,
            UpstreamDirectory directory,
            Backlog backlog,
            LocalPlacement placement,
            Ticker ticker,
            Timers timers,
            EventLog log,
            DoubleSupplier random,
            BooleanSupplier stale,
            SlotScheduler.Options options) {
        this.timers = timers;
        this.server = new SlotServer(vertx, ticker, log, stale);
        UpstreamHealth health = new UpstreamHealth(ticker);
        this.scheduler = new SlotScheduler(ticker, directory, health, backlog, server, log, random, options);
        this.link = new SchedulerLink(vertx, self, scheduler, placement, ticker, timers, log, stale);
        // Alone and without the store, a node would run the same items as the others.
        scheduler.runItemsWhile(() -> !stale.getAsBoolean() || 2 * scheduler.nodeCount() > link.nodeCount());
        server.attach(scheduler, self.name(), link);
        directory.onChange(() -> {
            health.retain(directory.all().stream().map(Upstream::id).toList());
            scheduler.schedule();
        });
    }

    /** Starts to serve other nodes; returns the port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(host, port, timers);
    }

    public SlotScheduler scheduler() {
        return scheduler;
    }

    public SchedulerLink link() {
        return link;
    }
}
