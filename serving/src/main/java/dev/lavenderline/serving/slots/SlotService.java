package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * The slot scheduler of a node with its server, and the node's link to the scheduler that it uses.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class SlotService {
    /** Time in which the nodes that are up join a new scheduler; until then it does not know what they hold. */
    private static final Duration GATHER = Duration.ofSeconds(2);

    /** Age of the jobs above which a scheduler without most of the nodes may be cut off. */
    private static final Duration FRESH = Duration.ofMillis(2600);

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
            Supplier<Duration> storeAge,
            SlotScheduler.Options options) {
        this.timers = timers;
        this.server = new SlotServer(vertx, ticker, log, storeAge);
        UpstreamHealth health = new UpstreamHealth(ticker);
        this.scheduler = new SlotScheduler(ticker, directory, health, backlog, server, log, random, options);
        this.link = new SchedulerLink(vertx, self, scheduler, placement, ticker, timers, log, storeAge);
        // Alone and without the store, a node would run the same items as the others.
        scheduler.startItemsWhile(
                () -> majority() || (fresh(storeAge) && scheduler.activeFor().compareTo(GATHER) > 0));
        scheduler.stopItemsWhile(() -> !majority() && !fresh(storeAge));
        server.attach(scheduler, self.name(), link);
        directory.onChange(() -> {
            health.retain(directory.all().stream().map(Upstream::id).toList());
            scheduler.schedule();
        });
    }

    private boolean majority() {
        return 2 * scheduler.nodeCount() > link.nodeCount();
    }

    private static boolean fresh(Supplier<Duration> storeAge) {
        return storeAge.get().compareTo(FRESH) < 0;
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
