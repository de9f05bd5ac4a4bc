package dev.lavenderline.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.core.config.ConfigParser;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.ledger.CallEvent;
import dev.lavenderline.core.ledger.CallLedger;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.core.ledger.WorkEvent;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.log.AppendBudget;
import dev.lavenderline.log.Futures;
import dev.lavenderline.log.HttpLogService;
import dev.lavenderline.log.LogFollower;
import dev.lavenderline.log.LogService;
import dev.lavenderline.log.LogWriter;
import dev.lavenderline.log.RecordReader;
import dev.lavenderline.log.Snapshotter;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.node.supervisor.Component;
import dev.lavenderline.node.supervisor.GuardedTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The log streams that a node applies to ledgers: {@code config}, {@code work} and {@code calls}.
 *
 * <p>Invariant: {@link #start} completes only after every stream was read to its end, so that a restarted node never
 * serves state older than what it acknowledged before the restart. Not thread-safe; confined to the node's event loop.
 */
final class LogStreamsComponent implements Component {
    /** Shorter than the tail age of 1 s above which no batch items are started, so that an idle stream stays fresh. */
    private static final Duration WORK_POLL_WAIT = Duration.ofMillis(500);

    private static final Duration POLL_WAIT = Duration.ofSeconds(1);
    private static final long READER_CACHE_BYTES = 24L << 20;
    private static final int READ_AHEAD_BYTES = 2 << 20;

    private final Vertx vertx;
    private final HttpLogService log;
    private final RecordReader reader;
    private final GuardedTimers timers;
    private final Ticker ticker;
    private final Settings settings;
    private final AppendBudget budget;
    private final String incarnation;
    private final LogStream<ConfigLedger> config;
    private final LogStream<WorkLedger> work;
    private final LogStream<CallLedger> calls;
    private final List<Snapshotter> snapshotters = new ArrayList<>();
    private final List<Consumer<FleetConfig>> configListeners = new ArrayList<>();
    private final List<Consumer<WorkEvent>> workListeners = new ArrayList<>();
    private final List<Consumer<CallEvent>> callListeners = new ArrayList<>();

    /**
     * Creates the streams and starts to read them.
     *
     * @param isSnapshotWriter whether this node currently writes the snapshots of the named stream
     */
    LogStreamsComponent(
            Vertx vertx,
            Settings settings,
            String incarnation,
            Predicate<String> isSnapshotWriter,
            GuardedTimers timers,
            Ticker ticker,
            Consumer<Throwable> onFailure) {
        this.vertx = vertx;
        this.settings = settings;
        this.incarnation = incarnation;
        this.timers = timers;
        this.ticker = ticker;
        Settings.Platform platform = settings.platform();
        this.log = new HttpLogService(vertx, platform.log(), platform.logTimeout());
        this.reader = new RecordReader(log, READER_CACHE_BYTES, READ_AHEAD_BYTES);
        this.budget = AppendBudget.perSecond(ticker, platform.appendRate());
        ConfigLedger configLedger = new ConfigLedger(
                files -> ConfigParser.parse(files).mapLeft(Object::toString),
                newConfig -> configListeners.forEach(listener -> listener.accept(newConfig)));
        WorkLedger workLedger = new WorkLedger(
                platform.resultsRetention(), event -> workListeners.forEach(listener -> listener.accept(event)));
        CallLedger callLedger = new CallLedger(
                platform.resultsRetention(), event -> callListeners.forEach(listener -> listener.accept(event)));
        this.config =
                createStream("config", configLedger, platform.workLinger(), POLL_WAIT, isSnapshotWriter, onFailure);
        this.work =
                createStream("work", workLedger, platform.workLinger(), WORK_POLL_WAIT, isSnapshotWriter, onFailure);
        this.calls = createStream("calls", callLedger, platform.callsLinger(), POLL_WAIT, isSnapshotWriter, onFailure);
    }

    private <L extends Ledger> LogStream<L> createStream(
            String name,
            L ledger,
            Duration linger,
            Duration pollWait,
            Predicate<String> isSnapshotWriter,
            Consumer<Throwable> onFailure) {
        LogWriter writer = LogWriter.builder(log, timers, ticker).stream(name)
                .writer(incarnation)
                .linger(linger)
                .budget(budget)
                .build();
        List<Runnable> onApplied = new ArrayList<>();
        LogFollower follower = LogFollower.builder(log, timers, ticker).stream(name)
                .ledger(ledger)
                .pollWait(pollWait)
                .listener(() -> onApplied.forEach(Runnable::run))
                .start();
        follower.failed().subscribe().with(error -> onFailure.accept(new IllegalStateException(error.message())));
        LogStream<L> stream = new LogStream<>(ledger, writer, follower, timers, ticker);
        onApplied.add(stream::completeWaiters);
        snapshotters.add(new Snapshotter(
                follower,
                writer,
                timers,
                ticker,
                settings.platform().logRetention(),
                () -> isSnapshotWriter.test(name),
                task -> Futures.callBlocking(vertx, task)));
        return stream;
    }

    LogStream<ConfigLedger> config() {
        return config;
    }

    LogStream<WorkLedger> work() {
        return work;
    }

    LogStream<CallLedger> calls() {
        return calls;
    }

    LogService log() {
        return log;
    }

    RecordReader reader() {
        return reader;
    }

    void onConfig(Consumer<FleetConfig> listener) {
        configListeners.add(listener);
    }

    void onWork(Consumer<WorkEvent> listener) {
        workListeners.add(listener);
    }

    void onCall(Consumer<CallEvent> listener) {
        callListeners.add(listener);
    }

    private List<LogStream<?>> streams() {
        return List.of(config, work, calls);
    }

    @Override
    public Uni<Void> start() {
        Uni<Void> caughtUp = Uni.createFrom().voidItem();
        for (LogStream<?> stream : streams()) {
            caughtUp = caughtUp.chain(() -> stream.follower().caughtUp());
        }
        return caughtUp.invoke(() -> snapshotters.forEach(Snapshotter::start));
    }

    /** Sends all buffered entries; completes when the log has acknowledged them. */
    Uni<Void> flush() {
        Uni<Void> flushed = Uni.createFrom().voidItem();
        for (LogStream<?> stream : streams()) {
            flushed = flushed.chain(() -> stream.writer().flush());
        }
        return flushed;
    }

    @Override
    public Uni<Void> stop() {
        snapshotters.forEach(Snapshotter::stop);
        for (LogStream<?> stream : streams()) {
            stream.follower().stop();
            stream.writer().close();
        }
        timers.cancelAll();
        log.close();
        return Uni.createFrom().voidItem();
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        for (LogStream<?> stream : streams()) {
            Map<String, Object> streamState = new LinkedHashMap<>();
            streamState.put("offset", stream.ledger().position());
            streamState.put("tail_age_ms", stream.tailAge().toMillis());
            streamState.put("pending_bytes", stream.writer().pendingBytes());
            streamState.put("appends", stream.writer().appends());
            streamState.put("malformed_records", stream.follower().malformedRecords());
            state.put(stream.writer().stream(), streamState);
        }
        return state;
    }
}
