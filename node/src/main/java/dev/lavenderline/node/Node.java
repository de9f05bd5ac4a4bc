package dev.lavenderline.node;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ProcessLimits;
import dev.lavenderline.core.overload.RefusalLog;
import dev.lavenderline.core.overload.RefusalReason;
import dev.lavenderline.log.Futures;
import dev.lavenderline.node.cluster.ClusterComponent;
import dev.lavenderline.node.cluster.ConfigRelay;
import dev.lavenderline.node.jobs.Jobs;
import dev.lavenderline.node.operators.OperatorsServer;
import dev.lavenderline.node.supervisor.GuardedTimers;
import dev.lavenderline.node.supervisor.Supervisor;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * One Lavenderline process: accepts requests of callers and dispatches them to upstreams.
 *
 * <p>Invariant: all state is confined to one event loop. {@link #start} and {@link #drain} may be called from any
 * thread.
 *
 * <pre>{@code
 * Node node = Node.create(settings, Ticker.system(), exitCode -> System.exit(exitCode));
 * node.start().onSuccess(listening -> System.out.println(listening));
 * }</pre>
 */
public final class Node {
    /** Exit code after a failure from which the supervisor could not recover by restarts. */
    static final int EXIT_INTERNAL = 70;

    private static final Duration MAX_CONFIG_AGE = Duration.ofSeconds(17);
    private static final Duration READINESS_CHECK_PERIOD = Duration.ofSeconds(1);

    private static final RefusalLog.Writer REFUSALS = new RefusalLog.Writer() {
        @Override
        public void refused(String listener, RefusalReason reason, String peer, long heldBytes) {
            NodeEvent.CALLER_REFUSED.log(listener, reason.label(), peer, heldBytes);
        }

        @Override
        public void refusedFurther(RefusalReason reason, long count) {
            NodeEvent.CALLERS_REFUSED_FURTHER.log(reason.label(), count);
        }
    };

    private final Settings settings;
    private final Ticker ticker;
    private final IntConsumer onExit;
    private final Vertx vertx;
    private final Context context;
    private final Timers timers;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Identity identity;
    private final Supervisor root;
    private final HoldingAccount account;
    private final OperatorsServer operators;
    private final long createdNanos;
    private Components components;
    private boolean started;
    private boolean draining;
    private boolean lastReportedReady;

    private Node(Settings settings, Ticker ticker, IntConsumer onExit) {
        this.settings = settings;
        this.ticker = ticker;
        this.onExit = onExit;
        this.createdNanos = ticker.nanos();
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
        this.context = vertx.getOrCreateContext();
        this.timers = new VertxTimers(vertx);
        this.identity = Identity.create(settings);
        this.account = new HoldingAccount(
                ProcessLimits.ofThisProcess(),
                ticker,
                new RefusalLog(
                        reason -> metrics.counter("refusals." + reason.label()).inc(), timers, REFUSALS));
        this.operators =
                new OperatorsServer(vertx, account, metrics, this::state, this::isReady, () -> drain("operator"));
        this.root = new Supervisor("node", timers, ticker, this::logChildFailure, this::exitAfterFailure);
        addChildren();
    }

    /**
     * Creates a node.
     *
     * @param onExit called once with the exit code when the node has stopped
     */
    public static Node create(Settings settings, Ticker ticker, IntConsumer onExit) {
        return new Node(settings, ticker, onExit);
    }

    /** Starts the node; completes with its ports when it accepts requests. */
    public Future<Listening> start() {
        Promise<Listening> promise = Promise.promise();
        context.runOnContext(ignored -> {
            SocketAddress address = SocketAddress.parse(settings.addresses().operators());
            operators
                    .start(address.host(), address.port())
                    .compose(listening -> Futures.toFuture(root.start()))
                    .map(running -> listening())
                    .onComplete(promise);
        });
        return promise.future();
    }

    /**
     * Starts a graceful shutdown: reports the node as unready at once, accepts requests for the drain notice period,
     * then waits for those in flight. Idempotent.
     */
    public void drain(String reason) {
        context.runOnContext(ignored -> {
            if (draining) {
                return;
            }
            draining = true;
            if (!started) {
                exit(0);
                return;
            }
            NodeEvent.DRAIN_STARTED.log(
                    reason,
                    settings.drain().notice(),
                    components.callers.server().openRequests());
            components.cluster.announceLeaving();
            components.callers.server().announceDrain();
            timers.after(settings.drain().notice(), this::finishRequestsAndStop);
        });
    }

    private void finishRequestsAndStop() {
        long startNanos = ticker.nanos();
        Uni<Void> callers =
                Futures.toUni(components.callers.server().drain(settings.drain().timeout()));
        Uni<Void> batch = components.jobs.drain(settings.drain().timeout());
        Uni.combine()
                .all()
                .unis(callers, batch)
                .discardItems()
                .chain(drained -> components.streams.flush())
                .chain(flushed -> root.stop())
                .subscribe()
                .with(
                        stopped -> {
                            NodeEvent.DRAIN_FINISHED.log(Duration.ofNanos(ticker.nanos() - startNanos));
                            exit(0);
                        },
                        cause -> exitAfterFailure(cause));
    }

    private void addChildren() {
        components = new Components();
        root.child("platform", onFailure -> {
            components.streams = new LogStreamsComponent(
                    vertx,
                    settings,
                    identity.incarnation(),
                    stream -> components.cluster != null && components.cluster.rank("snapshot/" + stream) == 0,
                    guardedTimers(onFailure),
                    ticker,
                    onFailure);
            return components.streams;
        });
        root.child("membership", onFailure -> {
            components.cluster = new ClusterComponent(
                    vertx,
                    settings,
                    identity,
                    () -> components.streams.config().ledger().config(),
                    () -> components.streams.work().ledger().position(),
                    metrics,
                    guardedTimers(onFailure),
                    ticker);
            components.relay = new ConfigRelay(components.cluster, components.streams.config(), ticker);
            components.cluster.attach(components.relay);
            return components.cluster;
        });
        root.child("upstreams", onFailure -> {
            components.upstreams =
                    new UpstreamsComponent(vertx, settings, identity, components, guardedTimers(onFailure), ticker);
            return components.upstreams;
        });
        root.child("jobs", onFailure -> {
            components.jobs = UpstreamsComponent.createJobs(
                    vertx, settings, identity, components, guardedTimers(onFailure), ticker);
            return components.jobs;
        });
        root.child("callers", onFailure -> {
            components.callers =
                    new CallerServerComponent(vertx, settings, identity, components, metrics, timers, ticker, account);
            return components.callers;
        });
    }

    private GuardedTimers guardedTimers(Consumer<Throwable> onFailure) {
        return new GuardedTimers(timers, onFailure);
    }

    private Listening listening() {
        started = true;
        Listening listening =
                new Listening(components.callers.server().port(), operators.port(), components.cluster.port());
        NodeEvent.STARTED.log(
                settings.identity().node(),
                identity.incarnation(),
                SettingsParser.version(),
                listening.callers(),
                listening.operators(),
                listening.peers());
        NodeEvent.READY.log(components.streams.config().ledger().revision(), uptimeMillis());
        lastReportedReady = true;
        timers.every(READINESS_CHECK_PERIOD, this::reportReadiness);
        return listening;
    }

    private void reportReadiness() {
        boolean isReady = isReady();
        if (isReady == lastReportedReady || draining) {
            return;
        }
        lastReportedReady = isReady;
        if (isReady) {
            NodeEvent.READY.log(components.streams.config().ledger().revision(), uptimeMillis());
        } else {
            NodeEvent.UNREADY.log("no configuration read from the log or a peer for "
                    + components.streams.config().tailAge());
        }
    }

    private long uptimeMillis() {
        return Duration.ofNanos(ticker.nanos() - createdNanos).toMillis();
    }

    private boolean isReady() {
        return started && !draining && components.relay.isUsable(MAX_CONFIG_AGE);
    }

    private Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("node", settings.identity().node());
        state.put("incarnation", identity.incarnation());
        state.put("region", settings.identity().region());
        state.put("failure_domain", settings.identity().failureDomain());
        state.put("ready", isReady());
        state.put("draining", draining);
        if (started) {
            FleetConfig config = components.streams.config().ledger().config();
            state.put(
                    "config",
                    Map.of(
                            "revision", config.revision(),
                            "deployments", config.deployments().size(),
                            "upstreams", config.upstreams().size(),
                            "workspaces", config.workspaces().size(),
                            "routes", config.routes().size()));
            state.put(
                    "callers",
                    Map.of("open_requests", components.callers.server().openRequests()));
        }
        state.put("supervisor", root.state());
        state.put("metrics", MetricValues.of(metrics));
        return state;
    }

    private void logChildFailure(String child, Throwable cause) {
        NodeEvent.CHILD_FAILED.log(cause, child, String.valueOf(cause.getMessage()));
    }

    private void exitAfterFailure(Throwable cause) {
        NodeEvent.ROOT_FAILED.log(cause, EXIT_INTERNAL);
        exit(EXIT_INTERNAL);
    }

    private void exit(int code) {
        NodeEvent.STOPPED.log(settings.identity().node(), code);
        vertx.close().onComplete(closed -> onExit.accept(code));
    }

    /** The ports on which a node listens. */
    public record Listening(int callers, int operators, int peers) {}

    /** The current components; the supervisor replaces each one that it restarts. */
    static final class Components {
        LogStreamsComponent streams;
        ClusterComponent cluster;
        ConfigRelay relay;
        UpstreamsComponent upstreams;
        Jobs jobs;
        CallerServerComponent callers;
    }
}
