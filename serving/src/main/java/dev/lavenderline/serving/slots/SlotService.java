package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import dev.lavenderline.serving.workspaces.QuotaLedger;
import dev.lavenderline.serving.workspaces.Workspaces;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * The slot scheduler of a node with its server, and the node's connection to the scheduler that it uses.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class SlotService {
    /** Time in which live nodes join a new scheduler; until then it does not know the slots that they hold. */
    private static final Duration JOIN_PERIOD = Duration.ofSeconds(2);

    /**
     * Time in which nodes that are draining join a new scheduler. They are not registered any more, but go on with
     * their items.
     */
    private static final Duration DRAINING_JOIN_PERIOD = Duration.ofMillis(500);

    /** Age of the job state above which a scheduler without a majority of nodes may be partitioned from the store. */
    private static final Duration MAX_FRESH_AGE = Duration.ofMillis(2600);

    private final SlotServer server;
    private final SlotScheduler scheduler;
    private final SchedulerClient client;
    private final Timers timers;
    private final QuotaServer quotas;
    private Supplier<Workspaces> workspaces = Workspaces::none;

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
            Supplier<Duration> jobStateAge,
            CrashingPrompts prompts,
            SlotScheduler.Options options) {
        this.timers = timers;
        this.server = new SlotServer(vertx, ticker, timers, log, jobStateAge, prompts, directory);
        UpstreamHealth health = new UpstreamHealth(ticker);
        QuotaLedger ledger = new QuotaLedger(ticker, () -> workspaces.get(), this::registeredCount);
        this.quotas = new QuotaServer(ledger, server, ticker, log);
        this.scheduler = new SlotScheduler(ticker, directory, health, backlog, quotas, log, random, options);
        scheduler.chargeTo(quotas);
        server.keep(quotas);
        this.client = new SchedulerClient(
                vertx,
                self,
                scheduler,
                server,
                placement,
                ticker,
                timers,
                log,
                jobStateAge,
                prompts,
                directory,
                quotas,
                () -> workspaces.get());
        // A node that is partitioned from the store and the other nodes would run the same items as they do.
        scheduler.startItemsWhile(() -> mayStartItems(
                scheduler.nodeCount(), client.registeredCount(), scheduler.activeFor(), jobStateAge.get()));
        scheduler.stopItemsWhile(() -> !hasMajority() && !fresh(jobStateAge));
        scheduler.learnOriginsWhile(() -> !allJoined() && scheduler.activeFor().compareTo(JOIN_PERIOD) < 0);
        server.attach(scheduler, self.name(), client, client::preferredNodes);
        server.exchangeSightings(client.sightings());
        directory.onChange(() -> {
            health.retain(directory.all().stream().map(Upstream::id).toList());
            scheduler.schedule();
        });
    }

    /**
     * Returns whether a scheduler may start items: not while nodes that hold slots may still join it, nor in a minority
     * that is partitioned from the store.
     *
     * @param registered number of registered nodes, empty if they have not been read
     * @param activeFor time since the first node joined
     */
    static boolean mayStartItems(int joined, OptionalInt registered, Duration activeFor, Duration jobStateAge) {
        if (registered.isEmpty() || activeFor.compareTo(DRAINING_JOIN_PERIOD) < 0) {
            return false;
        }
        if (joined >= registered.getAsInt()) {
            return true;
        }
        boolean majority = 2 * joined > registered.getAsInt();
        return activeFor.compareTo(JOIN_PERIOD) > 0 && (majority || jobStateAge.compareTo(MAX_FRESH_AGE) < 0);
    }

    private OptionalInt registeredCount() {
        return client.registeredCount();
    }

    /** Sets what returns the workspaces of the current configuration, whose quotas apply. */
    public void limit(Supplier<Workspaces> current) {
        workspaces = current;
    }

    /**
     * Sets how the node of the scheduler finds out whether an upstream accepts connections.
     *
     * @param check opens a connection and runs the action if it is accepted
     */
    public void checkConnectionsWith(BiConsumer<Upstream, Runnable> check) {
        scheduler.checkConnectionsWith(upstream -> check.accept(upstream, () -> scheduler.accepted(upstream)));
    }

    /** Places waiting requests and items and updates the quotas. Call it every few tens of milliseconds. */
    public void schedule() {
        scheduler.schedule();
        quotas.refresh();
    }

    private boolean allJoined() {
        return scheduler.nodeCount() >= client.nodeCount();
    }

    private boolean hasMajority() {
        return 2 * scheduler.nodeCount() > client.nodeCount();
    }

    private static boolean fresh(Supplier<Duration> jobStateAge) {
        return jobStateAge.get().compareTo(MAX_FRESH_AGE) < 0;
    }

    /** Sets the exchange of configurations with other nodes; call it before {@link #listen}. */
    public void exchangeConfig(ConfigExchange exchange) {
        server.exchangeConfig(exchange);
        client.exchangeConfig(exchange);
    }

    /** Sets the account that bounds what other nodes make this one hold; call it before {@link #listen}. */
    public void guard(HoldingAccount account) {
        server.guard(account);
    }

    /** Starts accepting connections of other nodes; returns the port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(host, port);
    }

    /** Resolves the origins of streams that wait for a read of the list of upstreams; call it after each such read. */
    public void listRead() {
        scheduler.schedule();
        client.resolveOrigins();
    }

    /** Logs how many resumed streams were continued and refused; call it about every second. */
    public void logResumptions() {
        scheduler.resumptions().logIfDue();
    }

    public SlotScheduler scheduler() {
        return scheduler;
    }

    public SchedulerClient client() {
        return client;
    }
}
