package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.slots.SlotFrame;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Connects this node to the scheduler that it uses and moves to another one when that does not answer. The first frame
 * of each connection tells the scheduler what the node holds. While there is no scheduler, online requests are placed
 * by this node's own counts and no items start.
 *
 * <p>A better scheduler is used only after it has answered a ping, so that a node that is gone for good but still
 * registered interrupts nothing.
 *
 * <p>Invariant: each request gets one decision, also if the scheduler changes in between. Not thread-safe; confined to
 * the event loop.
 */
public final class SchedulerLink implements SlotClient, SlotOutput {
    /** Time between two checks of the connection, plus two milliseconds for each node. */
    private static final Duration CHECK = Duration.ofMillis(100);

    /** Time between two pings, plus two milliseconds for each node, to bound what the scheduler has to answer. */
    private static final Duration PING = Duration.ofMillis(200);

    /** A scheduler that has been silent for this long after a ping is passed over. */
    private static final Duration SILENCE = Duration.ofMillis(450);

    private static final Duration CONNECT_LIMIT = Duration.ofMillis(500);

    private final NodeEntry self;
    private final SchedulerChoice choice;
    private final SlotScheduler scheduler;
    private final LocalPlacement placement;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final Supplier<Duration> storeAge;
    private final Context context;
    private final NetClient client;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, Holding> held = new HashMap<>();
    private final Map<Long, String> placedLocally = new HashMap<>();

    private ItemExecutor executor;
    private Connection current;
    private Connection candidate;
    private boolean leaving;
    private List<NodeEntry> known = List.of();
    private int nodeCount = 1;
    private long nextLease;

    private record Pending(SlotRequest request, Listener listener, long sinceNanos) {}

    private final class Connection {
        final NodeEntry target;
        NetSocket socket;
        boolean joined;
        boolean closed;
        long heardNanos;
        long pingedNanos;

        Connection(NodeEntry target) {
            this.target = target;
        }

        boolean local() {
            return target.name().equals(self.name());
        }

        void open() {
            if (local()) {
                pong(storeAge.get());
                return;
            }
            client.connect(target.port(), target.host())
                    .onSuccess(this::connected)
                    .onFailure(failure -> lost(this, failure.getMessage()));
        }

        void connected(NetSocket opened) {
            if (closed) {
                opened.close();
                return;
            }
            socket = opened;
            socket.handler(new SlotFrames.Reader(this::frame, problem -> {
                log.event(ServingEvent.FRAME_MALFORMED, "peer", target.name(), "message", problem);
                lost(this, problem);
            }));
            socket.closeHandler(end -> lost(this, "connection closed"));
            socket.exceptionHandler(failure -> lost(this, failure.getMessage()));
            ping();
        }

        void ping() {
            pingedNanos = ticker.nanos();
            socket.write(SlotFrames.ping(pingedNanos));
        }

        void ready() {
            if (joined || closed) {
                return;
            }
            joined = true;
            Connection before = current;
            current = this;
            candidate = null;
            if (before != null) {
                before.close();
            }
            if (local()) {
                scheduler.joined(self.name(), self.failureDomain(), self.capacity(), List.copyOf(held.values()));
            } else {
                socket.write(SlotFrames.hello(self, held.values()));
            }
            log.event(ServingEvent.SCHEDULER_CHANGED, "scheduler", target.name(), "holdings", held.size());
            List.copyOf(pending.values()).forEach(some -> send(some.request()));
        }

        void send(SlotRequest request) {
            if (local()) {
                scheduler.acquire(request);
            } else {
                socket.write(SlotFrames.acquire(request));
            }
        }

        void frame(SlotFrame frame) {
            heardNanos = ticker.nanos();
            switch (frame.getBodyCase()) {
                case PONG -> pong(Duration.ofMillis(frame.getPong().getStoreAgeMs()));
                case GRANTED ->
                    granted(
                            self.name(),
                            frame.getGranted().getLease(),
                            frame.getGranted().getUpstream());
                case REJECTED ->
                    rejected(
                            self.name(),
                            frame.getRejected().getLease(),
                            Duration.ofMillis(frame.getRejected().getRetryAfterMs()));
                case RUN_ITEM ->
                    run(
                            self.name(),
                            frame.getRunItem().getLease(),
                            frame.getRunItem().getUpstream(),
                            new ItemRef(
                                    frame.getRunItem().getJob(),
                                    frame.getRunItem().getItem()));
                case PREEMPT -> preempt(self.name(), frame.getPreempt().getLease());
                default ->
                    log.event(ServingEvent.FRAME_MALFORMED, "peer", target.name(), "message", frame.getBodyCase());
            }
        }

        /** Handles an answer: the first one makes the node the scheduler, unless its state is too old for that. */
        void pong(Duration age) {
            if (joined) {
                choice.heard(target.name(), age);
            } else if (choice.mayTakeOver(target.name(), age) || current == null) {
                ready();
            } else {
                close();
                candidate = null;
            }
        }

        void check() {
            if (local() && joined) {
                choice.heard(target.name(), storeAge.get());
            }
            if (local() || socket == null) {
                return;
            }
            long now = ticker.nanos();
            if (heardNanos < pingedNanos) {
                if (now - pingedNanos > SILENCE.toNanos()) {
                    lost(this, "silent");
                }
            } else if (now - pingedNanos > pingPeriod().toNanos()) {
                ping();
            }
        }

        void close() {
            closed = true;
            if (local() && joined) {
                scheduler.left(self.name());
            } else if (socket != null) {
                socket.close();
            }
        }
    }

    public SchedulerLink(
            Vertx vertx,
            NodeEntry self,
            SlotScheduler scheduler,
            LocalPlacement placement,
            Ticker ticker,
            Timers timers,
            EventLog log,
            Supplier<Duration> storeAge) {
        this.storeAge = storeAge;
        this.self = self;
        this.choice = new SchedulerChoice(ticker);
        this.scheduler = scheduler;
        this.placement = placement;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.context = vertx.getOrCreateContext();
        this.client = vertx.createNetClient(
                new NetClientOptions().setTcpNoDelay(true).setConnectTimeout((int) CONNECT_LIMIT.toMillis()));
        // Numbers of an earlier process of this node must not be taken for new ones.
        this.nextLease = ticker.now().toEpochMilli() << 20 & 0x3fff_ffff_ffff_ffffL;
    }

    /** Starts choosing and checking the scheduler. */
    public void start(ItemExecutor itemExecutor) {
        executor = itemExecutor;
        checkRegularly();
    }

    private void checkRegularly() {
        timers.after(CHECK.plusMillis(2L * nodeCount), this::checkRegularly);
        check();
    }

    private Duration pingPeriod() {
        return PING.plusMillis(2L * nodeCount);
    }

    /** Replaces the registered nodes. */
    public void nodes(Collection<NodeEntry> registered) {
        known = List.copyOf(registered);
        nodeCount = Math.max(1, registered.size());
        choice.nodes(leaving ? others() : known);
        check();
    }

    private List<NodeEntry> others() {
        return known.stream().filter(node -> !node.name().equals(self.name())).toList();
    }

    /** Returns the number of registered nodes, at least one. */
    public int nodeCount() {
        return nodeCount;
    }

    /** Returns the name of the scheduler in use, none while there is none. */
    public Optional<String> schedulerName() {
        return Optional.ofNullable(current).map(connection -> connection.target.name());
    }

    private void check() {
        if (current != null) {
            current.check();
        }
        if (candidate != null) {
            candidate.check();
        }
        Optional<NodeEntry> best = choice.fresh();
        if (best.isEmpty() && current == null) {
            best = choice.any();
        }
        if (best.isEmpty() || uses(current, best.get()) || uses(candidate, best.get())) {
            return;
        }
        if (candidate != null) {
            candidate.close();
        }
        candidate = new Connection(best.get());
        candidate.open();
    }

    private static boolean uses(Connection connection, NodeEntry target) {
        return connection != null && connection.target.equals(target);
    }

    private void lost(Connection connection, String reason) {
        if (connection.closed) {
            return;
        }
        connection.close();
        choice.failed(connection.target.name());
        log.event(
                ServingEvent.SCHEDULER_LOST,
                "scheduler",
                connection.target.name(),
                "reason",
                reason,
                "waiting",
                pending.size());
        if (candidate == connection) {
            candidate = null;
        }
        if (current == connection) {
            current = null;
        }
        check();
        if (current == null && candidate == null) {
            List.copyOf(pending.values()).forEach(this::placeLocally);
        }
    }

    /**
     * Takes no further items because the process stops, and uses another node's scheduler if this node's was in use;
     * what is in progress stays as it is.
     */
    public void leave() {
        leaving = true;
        choice.nodes(others());
        check();
    }

    @Override
    public long newLease() {
        return nextLease++;
    }

    @Override
    public void acquire(SlotRequest request, Listener listener) {
        Pending some = new Pending(request, listener, ticker.nanos());
        pending.put(request.lease(), some);
        if (current != null) {
            current.send(request);
        } else if (candidate == null) {
            context.runOnContext(now -> {
                if (pending.containsKey(request.lease())) {
                    placeLocally(some);
                }
            });
        }
    }

    private void placeLocally(Pending some) {
        long lease = some.request().lease();
        pending.remove(lease);
        Optional<Upstream> upstream =
                placement.pick(some.request().service(), some.request().excluded());
        if (upstream.isEmpty()) {
            some.listener().rejected(Duration.ofSeconds(1));
            return;
        }
        placedLocally.put(lease, upstream.get().id());
        held.put(lease, new Holding(lease, upstream.get().id(), Optional.empty()));
        some.listener().granted(upstream.get().id());
    }

    @Override
    public void release(long lease, LeaseEnd end, int keptEvents) {
        pending.remove(lease);
        held.remove(lease);
        String upstream = placedLocally.remove(lease);
        if (upstream != null) {
            placement.ended(upstream, end);
        }
        if (current == null) {
            return;
        }
        if (current.local()) {
            context.runOnContext(now -> scheduler.released(self.name(), lease, end, keptEvents));
        } else {
            current.socket.write(SlotFrames.release(lease, end, keptEvents));
        }
    }

    @Override
    public void suspect(String upstream) {
        if (current == null) {
            return;
        }
        if (current.local()) {
            scheduler.suspected(upstream);
        } else {
            Buffer frame = SlotFrames.suspect(upstream);
            current.socket.write(frame);
        }
    }

    @Override
    public void granted(String node, long lease, String upstream) {
        context.runOnContext(now -> {
            Pending some = pending.remove(lease);
            if (some == null) {
                // Withdrawn, or a second grant after a change of the scheduler.
                if (!held.containsKey(lease)) {
                    release(lease, LeaseEnd.CANCELLED, 0);
                }
                return;
            }
            held.put(lease, new Holding(lease, upstream, Optional.empty()));
            some.listener().granted(upstream);
        });
    }

    @Override
    public void rejected(String node, long lease, Duration retryAfter) {
        context.runOnContext(now -> {
            Pending some = pending.remove(lease);
            if (some != null) {
                some.listener().rejected(retryAfter);
            }
        });
    }

    @Override
    public void run(String node, long lease, String upstream, ItemRef item) {
        context.runOnContext(now -> {
            if (leaving) {
                release(lease, LeaseEnd.NODE_DECLINED, 0);
                return;
            }
            held.put(lease, new Holding(lease, upstream, Optional.of(item)));
            executor.run(lease, upstream, item);
        });
    }

    @Override
    public void preempt(String node, long lease) {
        context.runOnContext(now -> executor.preempt(lease));
    }

    /** Returns what this node holds. */
    public List<Holding> holdings() {
        return new ArrayList<>(held.values());
    }
}
