package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.store.StoreStandin;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine of the platform's protocol that may answer twice, break off and fail as its plan says. It registers itself
 * in the store and sends heartbeats there.
 *
 * <p>Thread-safe. Each connection has a thread of its own.
 */
public final class EngineStandin implements AutoCloseable {
    private static final String TOPIC = "keyed.servers";
    private static final long HEARTBEAT_MS = 1200;
    private static final int BACKLOG = 256;

    /** Lifecycle of an engine. */
    private enum State {
        READY,
        DRAINING,
        GONE
    }

    private final EngineSpec spec;
    private final FaultPlan faults;
    private final StoreStandin store;
    private final History history;
    private final ServerSocket server;
    private final long born;
    private final ExecutorService threads = Executors.newCachedThreadPool(EngineStandin::daemon);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, EngineStandin::daemon);
    private final Set<EngineConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final AtomicInteger runCount = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Semaphore slots;
    private volatile State state = State.READY;
    private volatile boolean faulty;
    private volatile boolean refusing;
    private int sequence;

    private EngineStandin(EngineSpec spec, FaultPlan faults, StoreStandin store, History history, int port) {
        this.spec = spec;
        this.faults = faults;
        this.store = store;
        this.history = history;
        this.slots = new Semaphore(spec.slots(), true);
        this.born = System.currentTimeMillis();
        try {
            this.server = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException("engine " + spec.id() + " cannot listen", e);
        }
    }

    /** Starts an engine on a port, 0 for one that the operating system chooses. */
    public static EngineStandin start(
            EngineSpec spec, FaultPlan faults, StoreStandin store, History history, int port) {
        EngineStandin engine = new EngineStandin(spec, faults, store, history, port);
        engine.threads.execute(engine::accept);
        engine.timers.scheduleAtFixedRate(engine::register, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        return engine;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        while (state != State.GONE) {
            try {
                Socket socket = server.accept();
                if (connections.size() >= spec.connections()) {
                    EngineConnection.reset(socket);
                    continue;
                }
                EngineConnection connection = new EngineConnection(
                        this, socket, spec.id() + "/" + born + "#" + connectionCount.incrementAndGet());
                connections.add(connection);
                threads.execute(() -> {
                    connection.serve();
                    connections.remove(connection);
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private synchronized void register() {
        if (state == State.GONE) {
            return;
        }
        JsonObject entry = new JsonObject()
                .put("Service", spec.service())
                .put("Address", "127.0.0.1:" + server.getLocalPort())
                .put("Zone", "zone-a")
                .put("Version", spec.version())
                .put("Slots", spec.announcedSlots())
                .put("State", state == State.DRAINING ? "draining" : "ready")
                .put("ColdRemainingMs", 0)
                .put("born", born)
                .put("Sequence", sequence++);
        store.put(TOPIC, spec.id(), entry.toBuffer());
    }

    /** Begins or ends the faults of the plan. */
    public void faulty(boolean active) {
        faulty = active;
    }

    /** Begins or ends to refuse all requests with 503, as a full engine does. */
    public void refusing(boolean active) {
        refusing = active;
    }

    /** Reports that the engine drains, serves for a while, removes its entry and ends. */
    public void drain(Duration time) {
        synchronized (this) {
            state = State.DRAINING;
            register();
        }
        timers.schedule(this::leave, time.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void leave() {
        synchronized (this) {
            state = State.GONE;
            store.put(TOPIC, spec.id(), Buffer.buffer());
        }
        end();
    }

    /** Resets all connections without ending the engine. */
    public void resetConnections() {
        connections.forEach(EngineConnection::reset);
    }

    /** Ends at once, with all connections, and says nothing to the store. */
    public void crash() {
        synchronized (this) {
            state = State.GONE;
        }
        end();
    }

    /** Removes the entry of an engine that has crashed, as the store does after some silence. */
    public void expire() {
        store.put(TOPIC, spec.id(), Buffer.buffer());
    }

    private void end() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        resetConnections();
        timers.shutdownNow();
    }

    @Override
    public void close() {
        crash();
        threads.shutdownNow();
    }

    public EngineSpec spec() {
        return spec;
    }

    public int port() {
        return server.getLocalPort();
    }

    boolean refusing() {
        return refusing;
    }

    /** Returns whether the engine has crashed or left. */
    public boolean gone() {
        return state == State.GONE;
    }

    boolean draining() {
        return state != State.READY;
    }

    Semaphore slots() {
        return slots;
    }

    AtomicInteger waiting() {
        return waiting;
    }

    ScheduledExecutorService timers() {
        return timers;
    }

    History history() {
        return history;
    }

    /** Returns the plan of an answer; without faults, it is complete and sent once. */
    AnswerPlan plan(String requestId, int exchange) {
        AnswerPlan plan = faults.answerTo(requestId, spec.id(), exchange);
        int lastingFailure = FaultPlan.lastingFailure(requestId);
        return faulty || lastingFailure > 0
                ? plan
                : new AnswerPlan(
                        AnswerPlan.Framing.CHUNKS,
                        AnswerPlan.Ending.COMPLETE,
                        1,
                        0,
                        SecondAnswer.NONE,
                        true,
                        Duration.ZERO,
                        HeadCut.EMPTY_LINE,
                        0);
    }

    /** Returns a stamp for the next run. */
    String nextStamp() {
        return spec.id() + "." + born + "." + runCount.incrementAndGet();
    }
}
