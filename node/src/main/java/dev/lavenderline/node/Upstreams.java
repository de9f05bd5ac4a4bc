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
 * The upstream side of a node: connections, the dispatcher for online requests and the slots for batch items.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class Upstreams implements Component {
    private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(5);
    /** Periods between exchanges while the node holds no jobs; keeps an idle node's processor time low. */
    private static final int IDLE_PERIODS = 4;

    private static final Duration DISPATCH_PERIOD = Duration.ofMillis(20);
    private static final Duration REASSIGN_PERIOD = Duration.ofMillis(500);

    private final UpstreamClient client;
    private final LoadAwareDispatcher dispatcher;
    private final SlotController controller;
    private final BatchScheduler scheduler;
    private final SlotExchange exchange;
    private final Node.Parts parts;
    private final GuardedTimers timers;
    private long periods;

    Upstreams(
            Vertx vertx, Settings settings, Identity identity, Node.Parts parts, GuardedTimers timers, Ticker ticker) {
        this.parts = parts;
        this.timers = timers;
        UpstreamClient.Options defaults = UpstreamClient.Options.defaults();
        this.client = new UpstreamClient(
                vertx,
                new UpstreamClient.Options(
                        defaults.connect(), settings.traffic().upstreamIdle(), defaults.maxConnections()));
        Settings.Identity self = settings.identity();
        DispatcherOptions base = DispatcherOptions.defaults();
        DispatcherOptions options = new DispatcherOptions(
                settings.traffic().retryRatio(),
                base.minRetriesPerSecond(),
                base.retryBurst(),
                settings.traffic().priceThreshold(),
                base.queueBound(),
                base.hedging(),
                base.candidates());
        String policy =
                settings.traffic().policy().name().toLowerCase(Locale.ROOT).replace('_', '-');
        this.dispatcher = Dispatchers.create(
                policy, options, ticker, identity.random(), new Locality(self.region(), self.failureDomain()));
        this.controller = new SlotController(identity.node(), ticker);
        this.scheduler = new BatchScheduler(self.region(), ticker, identity.random());
        this.exchange = new SlotExchange(
                parts.cluster,
                dispatcher,
                controller,
                scheduler,
                () -> parts.streams.config().ledger().config(),
                settings.traffic().policy() == Settings.Policy.LATENCY_AWARE
                        ? engine -> Optional.empty()
                        : SlotExchange::unlimited,
                ticker);
    }

    /** Creates the batch side on top of the given parts. */
    static Jobs jobs(
            Vertx vertx, Settings settings, Identity identity, Node.Parts parts, GuardedTimers timers, Ticker ticker) {
        Jobs jobs = new Jobs(
                vertx,
                parts.streams.work(),
                parts.streams.log(),
                parts.streams.reader(),
                parts.upstreams.scheduler,
                parts.upstreams.client,
                parts.cluster,
                () -> parts.streams.config().ledger().config(),
                parts.upstreams.dispatcher::batchInFlight,
                new Jobs.Options(
                        identity.incarnation(),
                        settings.identity().region(),
                        settings.platform().logTimeout(),
                        settings.platform().logRetention(),
                        settings.traffic().firstTokenLimit(),
                        settings.traffic().stallLimit()),
                timers,
                ticker);
        parts.streams.onWork(event -> jobs.onEvent(event));
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
        exchange.reassign();
        NodeEvent.CONFIG_IN_EFFECT.log(
                config.revision(),
                config.deployments().size(),
                config.upstreams().size(),
                config.workspaces().size(),
                config.routes().size());
    }

    /** Names the addresses of hosts that leave; upstreams there get no new work. */
    void leaving(Set<String> addresses) {
        dispatcher.leaving(addresses);
        scheduler.leaving(addresses);
    }

    @Override
    public Uni<Void> start() {
        configure(parts.streams.config().ledger().config());
        parts.streams.onConfig(this::configure);
        parts.cluster.attach(exchange, this::leaving);
        timers.every(EXCHANGE_PERIOD, this::exchangeAndSchedule);
        timers.every(DISPATCH_PERIOD, dispatcher::tick);
        timers.every(REASSIGN_PERIOD, exchange::reassign);
        return Uni.createFrom().voidItem();
    }

    private void exchangeAndSchedule() {
        periods++;
        boolean isActive = parts.jobs != null && parts.jobs.isActive();
        if (!isActive && periods % IDLE_PERIODS != 0) {
            return;
        }
        exchange.tick();
        if (isActive) {
            parts.jobs.schedule();
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
