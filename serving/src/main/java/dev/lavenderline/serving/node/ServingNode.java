package dev.lavenderline.serving.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.jobs.ItemRunner;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.online.CallContext;
import dev.lavenderline.serving.online.CallerServer;
import dev.lavenderline.serving.online.ServingMetrics;
import dev.lavenderline.serving.online.UpstreamConnections;
import dev.lavenderline.serving.online.WireFormat;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.LocalPlacement;
import dev.lavenderline.serving.slots.NodeRegistry;
import dev.lavenderline.serving.slots.SchedulerLink;
import dev.lavenderline.serving.slots.SlotScheduler;
import dev.lavenderline.serving.slots.SlotService;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A serving process: wires its parts, starts them and drains them.
 *
 * <p>Not thread-safe; confined to the event loop on which it is created, but for {@link #metrics}.
 */
public final class ServingNode {
    private static final Partition CONFIG = new Partition("config", 0);
    private static final Partition UPSTREAMS = new Partition("upstreams", 0);

    /** Long polls; a silent connection is noticed within this time and the store's call limit. */
    private static final Duration POLL = Duration.ofSeconds(1);

    /** Pause between polls of the configuration; most of its bound, 2.5 s, is left for silent connections. */
    private static final Duration CONFIG_PAUSE = Duration.ofMillis(20);

    /** Pause between polls of the upstreams, whose entries change with each heartbeat. */
    private static final Duration UPSTREAMS_PAUSE = Duration.ofMillis(400);

    /** Pause between polls of the jobs for each ten nodes, so that all nodes together stay within the store's rate. */
    private static final Duration JOBS_PAUSE = Duration.ofMillis(100);

    private static final Duration LONGEST_JOBS_PAUSE = Duration.ofMillis(600);

    private static final Duration SCHEDULE = Duration.ofMillis(50);
    private static final Duration IDLE_SCHEDULE = Duration.ofMillis(250);
    private static final Duration HOUSEKEEPING = Duration.ofSeconds(1);

    /** Shortest drain: the platform sends new callers until it has missed two answers, one a second. */
    static final Duration SHORTEST_DRAIN = Duration.ofMillis(2600);

    /** Part of the grace period that is kept for closing. */
    private static final Duration DRAIN_MARGIN = Duration.ofMillis(600);

    private static final Duration DRAIN_CHECK = Duration.ofMillis(50);

    private final ServingSettings settings;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final ServingMetrics metrics = new ServingMetrics();
    private final ConfigFollower config;
    private final UpstreamDirectory directory;
    private final PartitionFollower configReader;
    private final PartitionFollower upstreamReader;
    private final JobStore jobs;
    private final ItemRunner runner;
    private final SlotService slots;
    private final SchedulerLink link;
    private final NodeRegistry registry;
    private final CallerServer callers;
    private final UpstreamConnections connections;
    private final JobCleaner cleaner;
    private final StatusServer status;
    private boolean draining;
    private boolean wasReady;

    public ServingNode(
            Vertx vertx,
            ServingSettings settings,
            MetadataStore store,
            ControlRecords records,
            WireFormat wire,
            Ticker ticker,
            Timers timers,
            EventLog log,
            UniformRandomProvider random) {
        this.settings = settings;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.config = new ConfigFollower(records, log);
        this.directory = new UpstreamDirectory(ticker);
        this.configReader = new PartitionFollower(store, CONFIG, config, ticker, timers, log, POLL, () -> CONFIG_PAUSE);
        this.upstreamReader = new PartitionFollower(
                store,
                UPSTREAMS,
                new UpstreamFollower(records, directory, log),
                ticker,
                timers,
                log,
                POLL,
                () -> UPSTREAMS_PAUSE);
        JobLedger ledger = new JobLedger(ticker, log);
        this.jobs = new JobStore(
                store, ledger, ticker, timers, log, settings.jobPartitions(), settings.recordBytes(), this::jobsPause);
        UpstreamHealth plainHealth = new UpstreamHealth(ticker);
        LocalPlacement placement =
                new LocalPlacement(directory, plainHealth, settings.self().failureDomain(), random::nextDouble);
        this.slots = new SlotService(
                vertx,
                settings.self(),
                directory,
                new JobBacklog(ledger, config::current),
                placement,
                ticker,
                timers,
                log,
                random::nextDouble,
                () -> jobs.age(),
                SlotScheduler.Options.defaults());
        this.link = slots.link();
        this.connections = new UpstreamConnections(vertx, ticker);
        CallContext context = new CallContext(
                settings.self().name(),
                wire,
                connections,
                directory,
                link,
                placement,
                ticker,
                timers,
                log,
                metrics,
                random::nextInt);
        this.runner = new ItemRunner(context, ledger, jobs);
        this.callers = new CallerServer(vertx, context, config::current, ledger, jobs, timers);
        this.registry = new NodeRegistry(store, settings.self(), ticker, timers, log, link::nodes);
        this.cleaner = new JobCleaner(ledger, jobs, ticker, settings.resultsReadable());
        this.status = new StatusServer(vertx, this::ready, metrics::text);
        ledger.onResult(result -> slots.scheduler().settled(new ItemRef(result.getJob(), result.getItem())));
        ledger.onEnded(job -> slots.scheduler().jobEnded(job.id()));
    }

    private Duration jobsPause() {
        Duration pause = JOBS_PAUSE.multipliedBy(Math.max(1, link.nodeCount() / 10));
        return pause.compareTo(LONGEST_JOBS_PAUSE) < 0 ? pause : LONGEST_JOBS_PAUSE;
    }

    /** Starts all parts and returns when the process listens; it is ready once it knows its configuration. */
    public Future<Void> start() {
        configReader.start();
        upstreamReader.start();
        jobs.start();
        link.start(runner);
        schedule();
        timers.every(HOUSEKEEPING, this::housekeeping);
        return Future.all(List.of(
                        slots.listen(settings.self().host(), settings.self().port()),
                        callers.listen(
                                settings.callers().host(), settings.callers().port()),
                        status.listenReadiness(
                                settings.readiness().host(),
                                settings.readiness().port()),
                        status.listenMetrics(
                                settings.metrics().host(), settings.metrics().port())))
                .map(listening -> {
                    registry.start();
                    return null;
                });
    }

    private void schedule() {
        boolean active = slots.scheduler().nodeCount() > 0;
        // Nodes whose scheduler is not in use wake up less often.
        timers.after(active ? SCHEDULE : IDLE_SCHEDULE, this::schedule);
        directory.expire();
        if (active) {
            slots.scheduler().schedule();
        }
        if (!wasReady && ready()) {
            wasReady = true;
            log.event(
                    ServingEvent.READY, "config", config.current().orElseThrow().version());
        }
    }

    private void housekeeping() {
        connections.closeExpired();
        if (slots.scheduler().nodeCount() > 0) {
            cleaner.run();
        }
    }

    /** Returns whether the node takes callers. */
    public boolean ready() {
        return !draining && config.current().isPresent() && directory.loaded();
    }

    /** Returns the metrics as text; thread-safe. */
    public String metrics() {
        return metrics.text();
    }

    /**
     * Finishes what is in progress and then runs a task; idempotent.
     *
     * @param whenDone gets the number of requests that were still in progress
     */
    public void drain(Consumer<Integer> whenDone) {
        if (draining) {
            return;
        }
        draining = true;
        log.event(ServingEvent.STOPPING, "requests", callers.active(), "items", runner.running());
        callers.drain();
        link.leave();
        registry.leave();
        long started = ticker.nanos();
        timers.after(SHORTEST_DRAIN, () -> {
            callers.refuse();
            runner.stopAll();
        });
        timers.every(DRAIN_CHECK, () -> {
            long drained = ticker.nanos() - started;
            boolean quiet = callers.active() == 0 && jobs.unwritten() == 0;
            boolean last = drained > settings.grace().minus(DRAIN_MARGIN).toNanos();
            if (last || (quiet && drained > SHORTEST_DRAIN.toNanos())) {
                whenDone.accept(callers.active());
            }
        });
    }
}
