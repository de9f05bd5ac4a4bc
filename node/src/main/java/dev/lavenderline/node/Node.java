package dev.lavenderline.node;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.core.config.FleetConfig;
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
 * One node: everything between the callers and the upstreams in one process.
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
    /** Exit code after a failure that the supervisor tree could not repair. */
    static final int EXIT_INTERNAL = 70;

    private static final Duration STALE_CONFIG = Duration.ofSeconds(17);
    private static final Duration READINESS_PERIOD = Duration.ofSeconds(1);

    private final Settings settings;
    private final Ticker ticker;
    private final IntConsumer onExit;
    private final Vertx vertx;
    private final Context context;
    private final Timers timers;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Identity identity;
    private final Supervisor root;
    private final OperatorsServer operators;
    private final long createdNanos;
    private Parts parts;
    private boolean started;
    private boolean draining;
    private boolean reportedReady;

    private Node(Settings settings, Ticker ticker, IntConsumer onExit) {
        this.settings = settings;
        this.ticker = ticker;
        this.onExit = onExit;
        this.createdNanos = ticker.nanos();
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
        this.context = vertx.getOrCreateContext();
        this.timers = new VertxTimers(vertx);
        this.identity = Identity.create(settings);
        this.operators = new OperatorsServer(vertx, metrics, this::state, this::isReady, () -> drain("operator"));
        this.root = new Supervisor("node", timers, ticker, this::childFailed, this::rootFailed);
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

    /** Starts the node; completes with the ports when it serves. */
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
     * Begins a graceful shutdown: unready at once, still serving for the notice, then finishing what is in flight.
     * Idempotent.
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
                    reason, settings.drain().notice(), parts.callers.server().openRequests());
            parts.cluster.announceLeaving();
            parts.callers.server().announceDrain();
            timers.after(settings.drain().notice(), this::finishRequests);
        });
    }

    private void finishRequests() {
        long begin = ticker.nanos();
        Uni<Void> callers =
                Futures.toUni(parts.callers.server().drain(settings.drain().timeout()));
        Uni<Void> batch = parts.jobs.drain(settings.drain().timeout());
        Uni.combine()
                .all()
                .unis(callers, batch)
                .discardItems()
                .chain(drained -> parts.streams.flush())
                .chain(flushed -> root.stop())
                .subscribe()
                .with(
                        stopped -> {
                            NodeEvent.DRAIN_FINISHED.log(Duration.ofNanos(ticker.nanos() - begin));
                            exit(0);
                        },
                        cause -> rootFailed(cause));
    }

    private void addChildren() {
        parts = new Parts();
        root.child("platform", onFailure -> {
            parts.streams = new Streams(
                    vertx,
                    settings,
                    identity.incarnation(),
                    stream -> parts.cluster != null && parts.cluster.rank("snapshot/" + stream) == 0,
                    guarded(onFailure),
                    ticker,
                    onFailure);
            return parts.streams;
        });
        root.child("membership", onFailure -> {
            parts.cluster = new ClusterComponent(
                    vertx,
                    settings,
                    identity,
                    () -> parts.streams.config().ledger().config(),
                    () -> parts.streams.work().ledger().position(),
                    metrics,
                    guarded(onFailure),
                    ticker);
            parts.relay = new ConfigRelay(parts.cluster, parts.streams.config(), ticker);
            parts.cluster.attach(parts.relay);
            return parts.cluster;
        });
        root.child("upstreams", onFailure -> {
            parts.upstreams = new Upstreams(vertx, settings, identity, parts, guarded(onFailure), ticker);
            return parts.upstreams;
        });
        root.child("jobs", onFailure -> {
            parts.jobs = Upstreams.jobs(vertx, settings, identity, parts, guarded(onFailure), ticker);
            return parts.jobs;
        });
        root.child("callers", onFailure -> {
            parts.callers = new Callers(vertx, settings, identity, parts, metrics, timers, ticker);
            return parts.callers;
        });
    }

    private GuardedTimers guarded(Consumer<Throwable> onFailure) {
        return new GuardedTimers(timers, onFailure);
    }

    private Listening listening() {
        started = true;
        Listening listening = new Listening(parts.callers.server().port(), operators.port(), parts.cluster.port());
        NodeEvent.STARTED.log(
                settings.identity().node(),
                identity.incarnation(),
                SettingsParser.version(),
                listening.callers(),
                listening.operators(),
                listening.peers());
        NodeEvent.READY.log(parts.streams.config().ledger().revision(), runningMillis());
        reportedReady = true;
        timers.every(READINESS_PERIOD, this::reportReadiness);
        return listening;
    }

    private void reportReadiness() {
        boolean isReady = isReady();
        if (isReady == reportedReady || draining) {
            return;
        }
        reportedReady = isReady;
        if (isReady) {
            NodeEvent.READY.log(parts.streams.config().ledger().revision(), runningMillis());
        } else {
            NodeEvent.UNREADY.log("the configuration was not read from the log or a peer for "
                    + parts.streams.config().age());
        }
    }

    private long runningMillis() {
        return Duration.ofNanos(ticker.nanos() - createdNanos).toMillis();
    }

    private boolean isReady() {
        return started && !draining && parts.relay.isInForce(STALE_CONFIG);
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
            FleetConfig config = parts.streams.config().ledger().config();
            state.put(
                    "config",
                    Map.of(
                            "revision", config.revision(),
                            "deployments", config.deployments().size(),
                            "upstreams", config.upstreams().size(),
                            "workspaces", config.workspaces().size(),
                            "routes", config.routes().size()));
            state.put("callers", Map.of("open_requests", parts.callers.server().openRequests()));
        }
        state.put("supervisor", root.state());
        state.put("metrics", MetricValues.of(metrics));
        return state;
    }

    private void childFailed(String child, Throwable cause) {
        NodeEvent.CHILD_FAILED.log(cause, child, String.valueOf(cause.getMessage()));
    }

    private void rootFailed(Throwable cause) {
        NodeEvent.ROOT_FAILED.log(cause, EXIT_INTERNAL);
        exit(EXIT_INTERNAL);
    }

    private void exit(int code) {
        NodeEvent.STOPPED.log(settings.identity().node(), code);
        vertx.close().onComplete(closed -> onExit.accept(code));
    }

    /** Ports on which a node listens. */
    public record Listening(int callers, int operators, int peers) {}

    /** The running components; replaced one by one when the supervisor restarts them. */
    static final class Parts {
        Streams streams;
        ClusterComponent cluster;
        ConfigRelay relay;
        Upstreams upstreams;
        Jobs jobs;
        Callers callers;
    }
}
