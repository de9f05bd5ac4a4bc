package dev.lavenderline.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.admission.BatchScheduler;
import dev.lavenderline.core.admission.SlotController;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.routing.DispatcherOptions;
import dev.lavenderline.core.routing.Dispatchers;
import dev.lavenderline.core.routing.LoadAwareDispatcher;
import dev.lavenderline.core.routing.Locality;
import dev.lavenderline.http.UpstreamClient;
import dev.lavenderline.log.Futures;
import dev.lavenderline.node.cluster.SlotExchange;
import dev.lavenderline.node.jobs.Jobs;
import dev.lavenderline.node.supervisor.Component;
import dev.lavenderline.node.supervisor.GuardedTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Upstream connections, the dispatcher for online requests and the slots for batch items.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class UpstreamsComponent implements Component {
    private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(5);
    /** Number of periods between exchanges while the node holds no jobs; reduces the CPU use of an idle node. */
    private static final int IDLE_EXCHANGE_PERIODS = 4;

    private static final Duration DISPATCH_PERIOD = Duration.ofMillis(20);
    private static final Duration CONTROL_UPDATE_PERIOD = Duration.ofMillis(500);

    private final UpstreamClient client;
    private final LoadAwareDispatcher dispatcher;
    private final SlotController controller;
    private final BatchScheduler scheduler;
    private final SlotExchange exchange;
    private final Node.Components components;
    private final GuardedTimers timers;
    private long elapsedPeriods;

    UpstreamsComponent(
            Vertx vertx,
            Settings settings,
            Identity identity,
            Node.Components components,
            GuardedTimers timers,
            Ticker ticker) {
        this.components = components;
        this.timers = timers;
        UpstreamClient.Options clientDefaults = UpstreamClient.Options.defaults();
        this.client = new UpstreamClient(
                vertx,
                new UpstreamClient.Options(
                        clientDefaults.connectTimeout(),
                        settings.traffic().upstreamIdle(),
                        clientDefaults.maxConnections()));
        Settings.Identity nodeIdentity = settings.identity();
        DispatcherOptions defaultOptions = DispatcherOptions.defaults();
        DispatcherOptions options = new DispatcherOptions(
                settings.traffic().retryRatio(),
                defaultOptions.minRetriesPerSecond(),
                defaultOptions.retryBurst(),
                settings.traffic().priceThreshold(),
                defaultOptions.queueBound(),
                defaultOptions.hedging(),
                defaultOptions.candidates());
        String policy =
                settings.traffic().policy().name().toLowerCase(Locale.ROOT).replace('_', '-');
        this.dispatcher = Dispatchers.create(
                policy,
                options,
                ticker,
                identity.random(),
                new Locality(nodeIdentity.region(), nodeIdentity.failureDomain()));
        this.controller = new SlotController(identity.node(), ticker);
        this.scheduler = new BatchScheduler(nodeIdentity.region(), ticker, identity.random());
        this.exchange = new SlotExchange(
                components.cluster,
                dispatcher,
                controller,
                scheduler,
                () -> components.streams.config().ledger().config(),
                settings.traffic().policy() == Settings.Policy.LATENCY_AWARE
                        ? engine -> Optional.empty()
                        : SlotExchange::unlimitedGrant,
                ticker);
    }

    /** Creates the batch component, which uses the given components. */
    static Jobs createJobs(
            Vertx vertx,
            Settings settings,
            Identity identity,
            Node.Components components,
            GuardedTimers timers,
            Ticker ticker) {
        Jobs jobs = new Jobs(
                vertx,
                components.streams.work(),
                components.streams.log(),
                components.streams.reader(),
                components.upstreams.scheduler,
                components.upstreams.client,
                components.cluster,
                () -> components.streams.config().ledger().config(),
                components.upstreams.dispatcher::batchInFlight,
                new Jobs.Options(
                        identity.incarnation(),
                        settings.identity().region(),
                        settings.platform().logTimeout(),
                        settings.platform().logRetention(),
                        settings.traffic().firstTokenLimit(),
                        settings.traffic().stallLimit()),
                timers,
                ticker);
        components.streams.onWork(event -> jobs.onEvent(event));
        return jobs;
    }

    UpstreamClient client() {
        return client;
    }

    LoadAwareDispatcher dispatcher() {
        return dispatcher;
    }

    private void configure(FleetConfig config) {
        dispatcher.configure(config);
        controller.configure(config);
        scheduler.configure(config);
        exchange.updateControlledEngines();
        NodeEvent.CONFIG_IN_EFFECT.log(
                config.revision(),
                config.deployments().size(),
                config.upstreams().size(),
                config.workspaces().size(),
                config.routes().size());
    }

    /** Sets the addresses of the hosts that are leaving; their upstreams get no new work. */
    void setLeavingHosts(Set<String> addresses) {
        dispatcher.setLeavingAddresses(addresses);
        scheduler.setExcludedAddresses(addresses);
    }

    @Override
    public Uni<Void> start() {
        configure(components.streams.config().ledger().config());
        components.streams.onConfig(this::configure);
        components.cluster.attach(exchange, this::setLeavingHosts);
        timers.every(EXCHANGE_PERIOD, this::exchangeAndSchedule);
        timers.every(DISPATCH_PERIOD, dispatcher::tick);
        timers.every(CONTROL_UPDATE_PERIOD, exchange::updateControlledEngines);
        return Uni.createFrom().voidItem();
    }

    private void exchangeAndSchedule() {
        elapsedPeriods++;
        boolean isActive = components.jobs != null && components.jobs.isActive();
        if (!isActive && elapsedPeriods % IDLE_EXCHANGE_PERIODS != 0) {
            return;
        }
        exchange.tick();
        if (isActive) {
            components.jobs.schedule();
        }
    }

    @Override
    public Uni<Void> stop() {
        timers.cancelAll();
        return Futures.toUni(client.close());
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("views", StateValues.of(dispatcher.views()));
        state.put("controlled", StateValues.of(controller.views()));
        state.put("batch", StateValues.of(scheduler.view()));
        return state;
    }
}
