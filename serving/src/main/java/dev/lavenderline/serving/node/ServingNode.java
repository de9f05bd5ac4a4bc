package dev.lavenderline.serving.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.RefusalLog;
import dev.lavenderline.serving.jobs.ItemRunner;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.online.CallContext;
import dev.lavenderline.serving.online.CallerServer;
import dev.lavenderline.serving.online.ResponseInfo;
import dev.lavenderline.serving.online.ServingMetrics;
import dev.lavenderline.serving.online.UpstreamConnections;
import dev.lavenderline.serving.online.WireFormat;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.slots.ConfigExchange;
import dev.lavenderline.serving.slots.CrashingPrompts;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.LocalPlacement;
import dev.lavenderline.serving.slots.NodeRegistry;
import dev.lavenderline.serving.slots.SchedulerClient;
import dev.lavenderline.serving.slots.SlotScheduler;
import dev.lavenderline.serving.slots.SlotService;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import dev.lavenderline.serving.upstreams.ListReads;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import dev.lavenderline.serving.workspaces.ConfigAge;
import dev.lavenderline.serving.workspaces.KeyFreshness;
import dev.lavenderline.serving.workspaces.Workspaces;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A serving process: creates, starts and drains its components.
 *
 * <p>Not thread-safe; confined to the event loop on which it is created, except for {@link #metrics}.
 */
public final class ServingNode {
    private static final Partition CONFIG_PARTITION = new Partition("config", 0);
    private static final Partition UPSTREAMS_PARTITION = new Partition("upstreams", 0);

    /** Maximum wait of a long poll; a dead connection is detected within this time plus the store's call timeout. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(1);

    /** Short, since changes have to apply within 2.5 s and detecting a dead connection may take most of that. */
    private static final Duration CONFIG_POLL_PAUSE = Duration.ofMillis(20);

    /** Pause between polls of the upstreams, whose entries change with each heartbeat. */
    private static final Duration UPSTREAMS_POLL_PAUSE = Duration.ofMillis(400);

    /** Pause between polls of the jobs for each ten nodes; keeps all nodes together within the store's rate limit. */
    private static final Duration JOBS_POLL_PAUSE = Duration.ofMillis(100);

    /** Bounds the time until callers of a node read a result that another node has recorded. */
    private static final Duration MAX_JOBS_POLL_PAUSE = Duration.ofMillis(1000);

    /** Wait of a poll of the rejected prompts; long, as records are rare and schedulers tell their nodes at once. */
    private static final Duration PROMPTS_POLL_WAIT = Duration.ofSeconds(2);

    private static final Duration PROMPTS_POLL_PAUSE = Duration.ofMillis(500);

    private static final Duration VERSIONS_POLL_WAIT = Duration.ofSeconds(1);

    /** Pause between polls of the software versions; short until they can prove what was in service before a start. */
    private static final Duration VERSIONS_POLL_PAUSE = Duration.ofMillis(1500);

    private static final Duration FIRST_VERSIONS_POLL_PAUSE = Duration.ofMillis(100);

    private static final Duration SCHEDULING_PERIOD = Duration.ofMillis(50);
    private static final Duration IDLE_SCHEDULING_PERIOD = Duration.ofMillis(250);
    private static final Duration HOUSEKEEPING_PERIOD = Duration.ofSeconds(1);

    /** The platform routes new callers here until two readiness probes, one per second, have failed. */
    static final Duration MIN_DRAIN_TIME = Duration.ofMillis(2600);

    /** Part of the grace period reserved for the exit after the drain; less if the period is short. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(600);

    /** Share of a short grace period that is reserved for the exit. */
    private static final int EXIT_MARGIN_DIVISOR = 12;

    /**
     * Time before the end of the drain from which requests that wait for a slot are rejected. Their responses take a
     * few milliseconds; a request sent to an upstream later than this would mostly be cut by the exit.
     */
    private static final Duration WAITING_MARGIN = Duration.ofMillis(400);

    /**
     * Time before the end of the drain at which the items still in progress are stopped. Leaves time to record the
     * results of those that have just completed.
     */
    private static final Duration ITEM_MARGIN = Duration.ofMillis(800);

    private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

    private final ServingSettings settings;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final ServingMetrics metrics = new ServingMetrics();
    private final ConfigAge configAge;
    private final KeyFreshnessEvents keyEvents;
    private final ConfigFollower config;
    private final UpstreamDirectory directory;
    private final PartitionFollower configReader;
    private final PartitionFollower upstreamReader;
    private final PartitionFollower promptReader;
    private final PromptRejections promptRejections;
    private final PartitionFollower versionReader;
    private final VersionRecords versionRecords;
    private final JobStore jobs;
    private final ItemRunner runner;
    private final SlotService slots;
    private final SchedulerClient schedulerClient;
    private final NodeRegistry registry;
    private final HoldingAccount account;
    private final CallerServer callers;
    private final UpstreamConnections connections;
    private final JobCleaner cleaner;
    private final StatusServer status;
    private boolean draining;
    private boolean readyLogged;

    public ServingNode(
            Vertx vertx,
            ServingSettings settings,
            MetadataStore store,
            ControlRecordDecoder decoder,
            WireFormat wire,
            Ticker ticker,
            Timers timers,
            EventLog log,
            UniformRandomProvider random) {
        this.settings = settings;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.configAge = new ConfigAge(ticker);
        this.config = new ConfigFollower(decoder, configAge, log);
        this.directory = new UpstreamDirectory(ticker);
        this.configReader = new PartitionFollower(
                store, CONFIG_PARTITION, config, ticker, timers, log, POLL_WAIT, () -> CONFIG_POLL_PAUSE);
        config.storeAsked(configReader::asked);
        this.upstreamReader = new PartitionFollower(
                store,
                UPSTREAMS_PARTITION,
                new UpstreamFollower(decoder, directory, log),
                ticker,
                timers,
                log,
                POLL_WAIT,
                () -> UPSTREAMS_POLL_PAUSE);
        JobLedger ledger = new JobLedger(ticker, log);
        this.jobs = new JobStore(
                settings.self().name(),
                store,
                ledger,
                ticker,
                timers,
                log,
                settings.jobPartitions(),
                settings.payloadPartitions(),
                settings.maxRecordBytes(),
                this::jobsPollPause,
                random::nextLong);
        UpstreamHealth health = new UpstreamHealth(ticker);
        LocalPlacement placement =
                new LocalPlacement(ticker, directory, health, settings.self().failureDomain(), random::nextDouble);
        CrashingPrompts prompts = new CrashingPrompts(ticker, log);
        this.promptRejections = new PromptRejections(prompts, store, timers, log);
        this.promptReader = new PartitionFollower(
                store,
                PromptRejections.PARTITION,
                promptRejections,
                ticker,
                timers,
                log,
                PROMPTS_POLL_WAIT,
                () -> PROMPTS_POLL_PAUSE);
        this.versionRecords = new VersionRecords(directory.servedVersions(), store, ticker, log);
        this.versionReader = new PartitionFollower(
                store,
                VersionRecords.PARTITION,
                versionRecords,
                ticker,
                timers,
                log,
                VERSIONS_POLL_WAIT,
                () -> directory.servedVersions().observed() ? VERSIONS_POLL_PAUSE : FIRST_VERSIONS_POLL_PAUSE);
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
                prompts,
                SlotScheduler.Options.defaults());
        ListReads listReads = new ListReads(this::readList, slots::listRead, ticker, timers);
        directory.servedVersions().requestReadsWith(listReads::request);
        directory
                .servedVersions()
                .streamsLast(() ->
                        config.current().map(FleetConfig::longestStreamTimeout).orElse(Duration.ZERO));
        slots.exchangeConfig(new ConfigExchange(configAge, config, ticker));
        slots.scheduler()
                .plainServices(service -> !config.current()
                        .map(current -> current.modelEngines(service))
                        .orElse(true));
        slots.scheduler()
                .engineMemory(service -> config.current()
                        .map(current -> current.memoryTokens(service))
                        .orElse(0L));
        slots.scheduler().topology(settings.topology());
        slots.limit(() -> config.current().map(FleetConfig::workspaces).orElse(Workspaces.none()));
        this.schedulerClient = slots.client();
        schedulerClient.countQuotas(metrics::count);
        this.connections = new UpstreamConnections(vertx, ticker, log);
        connections.onResponseInfo(this::responseReceived);
        slots.checkConnectionsWith(connections::ifAccepted);
        KeyFreshness keys = new KeyFreshness(
                settings.keyRevocation(),
                configAge,
                () -> config.current().map(FleetConfig::workspaces).orElse(Workspaces.none()));
        this.keyEvents = new KeyFreshnessEvents(keys, configAge, log);
        CallContext context = new CallContext(
                settings.self().name(),
                wire,
                connections,
                directory,
                schedulerClient,
                placement,
                ticker,
                timers,
                log,
                metrics,
                keys,
                random::nextInt);
        this.runner = new ItemRunner(
                context,
                ledger,
                jobs,
                () -> config.current()
                        .map(current -> current.workspaces().enabled())
                        .orElse(false));
        this.account = new HoldingAccount(
                settings.limits(),
                ticker,
                new RefusalLog(
                        reason -> metrics.count("lavenderline_caller_refusals_" + reason.label()),
                        timers,
                        new RefusalEvents(log)));
        slots.guard(account);
        metrics.gauge("lavenderline_held_bytes", account::heldBytes);
        metrics.gauge("lavenderline_held_connections", () -> (long) account.holders());
        this.callers =
                new CallerServer(vertx, context, config::current, this::configAge, ledger, jobs, timers, account);
        this.registry = new NodeRegistry(store, settings.self(), ticker, timers, log, schedulerClient::replaceNodes);
        this.cleaner =
                new JobCleaner(ledger, jobs, ticker, settings.resultRetention(), config::current, this::configAge);
        this.status = new StatusServer(vertx, account, this::ready, metrics::text);
        directory.onChange(() -> {
            if (slots.scheduler().nodeCount() > 0) {
                versionRecords.update();
            }
        });
        ledger.onResult(result -> slots.scheduler().resultRecorded(new ItemRef(result.getJob(), result.getItem())));
        ledger.onCancelled(job -> slots.scheduler().jobCancelled(job.id()));
    }

    /** Reads the list of upstreams, and the records of versions while these have to prove what was in service. */
    private Future<?> readList() {
        return directory.servedVersions().observed()
                ? upstreamReader.refresh()
                : Future.join(upstreamReader.refresh(), versionReader.refresh());
    }

    private void responseReceived(Upstream upstream, ResponseInfo info, long sentNanos) {
        directory
                .noteResponse(upstream, info.leaving(), info.limit(), sentNanos)
                .ifPresent(notice -> {
                    log.event(
                            ServingEvent.UPSTREAM_CHANGED,
                            "upstream",
                            upstream.id(),
                            "service",
                            upstream.service(),
                            "state",
                            notice.leaving() ? "leaving" : "open",
                            "limit",
                            notice.limit().isPresent() ? notice.limit().getAsDouble() : null,
                            "slots",
                            upstream.slots());
                    schedulerClient.upstreamNotice(notice);
                });
    }

    /**
     * Returns the time since a response of the store, or a question to another node, that confirmed the configuration;
     * a day if another node holds a newer one.
     */
    private Duration configAge() {
        if (configAge.newerVersion().isPresent()) {
            return Duration.ofDays(1);
        }
        Duration byStore = configReader.age();
        Duration byAny = configAge.age();
        return byAny.compareTo(byStore) < 0 ? byAny : byStore;
    }

    /** Returns the pause between polls of the jobs: short at the scheduler, where new items wait to be started. */
    private Duration jobsPollPause() {
        if (slots.scheduler().nodeCount() > 0) {
            return JOBS_POLL_PAUSE;
        }
        Duration pause = JOBS_POLL_PAUSE.multipliedBy(Math.max(1, schedulerClient.nodeCount() / 10));
        return pause.compareTo(MAX_JOBS_POLL_PAUSE) < 0 ? pause : MAX_JOBS_POLL_PAUSE;
    }

    /**
     * Starts all components. The result completes once the process listens; the node is ready once it has read its
     * configuration and the upstreams.
     */
    public Future<Void> start() {
        configReader.start();
        upstreamReader.start();
        promptReader.start();
        versionReader.start();
        jobs.start();
        schedulerClient.start(runner);
        schedule();
        timers.every(HOUSEKEEPING_PERIOD, this::housekeeping);
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
        // Saves wakeups on nodes whose scheduler is not in use.
        timers.after(active ? SCHEDULING_PERIOD : IDLE_SCHEDULING_PERIOD, this::schedule);
        directory.expire();
        keyEvents.check();
        if (active) {
            slots.schedule();
        }
        if (!readyLogged && ready()) {
            readyLogged = true;
            log.event(
                    ServingEvent.READY, "config", config.current().orElseThrow().version());
        }
    }

    private void housekeeping() {
        connections.closeExpired();
        callers.enforceTimes();
        status.enforceTimes();
        slots.logResumptions();
        if (slots.scheduler().nodeCount() > 0) {
            cleaner.run();
            promptRejections.deleteExpired();
            versionRecords.update();
            registry.removeAbsent(slots.scheduler().nodeNames());
        } else {
            registry.forgetAbsences();
        }
    }

    /** Returns whether the node accepts requests of callers. */
    public boolean ready() {
        return !draining && config.current().isPresent() && directory.loaded();
    }

    /** Returns the name of the node whose scheduler is in use, empty while there is none. */
    Optional<String> schedulerName() {
        return schedulerClient.schedulerName();
    }

    /** Returns the metrics in text format; thread-safe. */
    public String metrics() {
        return metrics.text();
    }

    /** Returns the time after which the process exits, whatever is in progress. */
    private static Duration drainLimit(Duration gracePeriod) {
        Duration share = gracePeriod.dividedBy(EXIT_MARGIN_DIVISOR);
        return gracePeriod.minus(share.compareTo(EXIT_MARGIN) < 0 ? share : EXIT_MARGIN);
    }

    /**
     * Finishes requests and batch items in progress and then runs a callback; later calls have no effect. Items that
     * are not complete shortly before the grace period runs out are stopped, and run again elsewhere from the start;
     * requests that still wait for a slot then are rejected.
     *
     * @param onDrained receives the number of requests still in progress, 0 unless the grace period ran out
     */
    public void drain(Consumer<Integer> onDrained) {
        if (draining) {
            return;
        }
        draining = true;
        log.event(ServingEvent.STOPPING, "requests", callers.activeRequests(), "items", runner.running());
        long started = ticker.nanos();
        Duration limit = drainLimit(settings.gracePeriod());
        callers.drain(started + limit.toNanos());
        schedulerClient.drain();
        registry.deregister();
        timers.after(MIN_DRAIN_TIME, callers::refuse);
        timers.after(limit.minus(ITEM_MARGIN), runner::stopAll);
        timers.every(DRAIN_CHECK_PERIOD, () -> {
            long elapsed = ticker.nanos() - started;
            boolean idle = callers.activeRequests() == 0 && runner.running() == 0 && jobs.pendingWrites() == 0;
            if (elapsed > limit.minus(WAITING_MARGIN).toNanos()) {
                callers.rejectWaiting();
            }
            boolean timedOut = elapsed > limit.toNanos();
            if (timedOut || (idle && elapsed > MIN_DRAIN_TIME.toNanos())) {
                onDrained.accept(callers.activeRequests());
            }
        });
    }
}
