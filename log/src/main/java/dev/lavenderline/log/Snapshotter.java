package dev.lavenderline.log;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.SnapshotPart;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Writes snapshots of a follower's ledger to its stream while this node is the designated snapshot writer.
 *
 * <p>A snapshot is due when the newest one is older than a quarter of the retention time or more than 20,000 records
 * behind. If no data was applied since the newest one, the next is due at half the retention time, because the state of
 * an idle stream must not expire with its last snapshot.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class Snapshotter {
    private static final int PART_BYTES = 256 << 10;
    private static final long MAX_RECORDS_BEHIND = 20_000;
    private static final Duration MAX_CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(10);

    private final LogFollower follower;
    private final LogWriter writer;
    private final Timers timers;
    private final Ticker ticker;
    private final Duration retention;
    private final BooleanSupplier isWriter;
    private final Function<Supplier<byte[]>, Uni<byte[]>> serializer;

    private Timers.Timer timer;
    private boolean writing;
    private boolean stopped;
    private long snapshotCount;
    /** Last snapshot that was written; the follower reads it from the log only later. */
    private SnapshotInfo lastWritten;

    private long earliestWriteNanos;

    /**
     * Creates a snapshotter; {@link #start} starts it.
     *
     * @param follower follower whose ledger is saved
     * @param writer writer of the follower's stream
     * @param retention age at which the log drops records
     * @param isWriter whether this node is the designated snapshot writer now
     */
    public Snapshotter(
            LogFollower follower,
            LogWriter writer,
            Timers timers,
            Ticker ticker,
            Duration retention,
            BooleanSupplier isWriter) {
        this(follower, writer, timers, ticker, retention, isWriter, Uni.createFrom()::item);
    }

    /**
     * Creates a snapshotter that can serialize large states off the event loop; {@link #start} starts it.
     *
     * @param serializer runs the supplier of {@link dev.lavenderline.core.ledger.Ledger#prepareSnapshot} on any thread
     *     and emits the result on the event loop, such as {@code task -> Futures.callBlocking(vertx, task)}
     */
    public Snapshotter(
            LogFollower follower,
            LogWriter writer,
            Timers timers,
            Ticker ticker,
            Duration retention,
            BooleanSupplier isWriter,
            Function<Supplier<byte[]>, Uni<byte[]>> serializer) {
        this.follower = Objects.requireNonNull(follower, "follower");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.ticker = Objects.requireNonNull(ticker, "ticker");
        this.isWriter = Objects.requireNonNull(isWriter, "isWriter");
        this.serializer = Objects.requireNonNull(serializer, "serializer");
        if (!writer.stream().equals(follower.stream())) {
            throw new IllegalArgumentException(
                    "the writer's stream is " + writer.stream() + ", the follower's is " + follower.stream());
        }
        if (retention.isNegative() || retention.isZero()) {
            throw new IllegalArgumentException("retention must be positive, not " + retention);
        }
        this.retention = retention;
        this.earliestWriteNanos = ticker.nanos();
    }

    /** Starts checking whether a snapshot is due, every second or every 1/16 of a retention time below 16 s. */
    public void start() {
        if (timer != null) {
            throw new IllegalStateException("snapshotter of stream " + follower.stream() + " is already started");
        }
        Duration period = retention.dividedBy(16);
        timer = timers.every(period.compareTo(MAX_CHECK_PERIOD) < 0 ? period : MAX_CHECK_PERIOD, this::check);
    }

    /** Stops; a snapshot that is being written stays incomplete, and readers ignore it. Idempotent. */
    public void stop() {
        if (timer != null) {
            timer.cancel();
        }
        stopped = true;
    }

    private void check() {
        boolean ready = !writing
                && follower.isCaughtUp()
                && follower.failure().isEmpty()
                && ticker.nanos() - earliestWriteNanos >= 0
                && isWriter.getAsBoolean();
        if (ready && isSnapshotDue()) {
            writeSnapshot();
        }
    }

    private boolean isSnapshotDue() {
        Optional<SnapshotInfo> newest = newestSnapshot();
        if (newest.isEmpty()) {
            Instant first = follower.firstDataTime();
            return first != null && exceedsLimits(first, 0, retention.dividedBy(4));
        }
        SnapshotInfo snapshot = newest.get();
        boolean unchanged = follower.lastDataOffset() <= snapshot.asOf();
        if (unchanged) {
            return isOlderThan(snapshot.time(), retention.dividedBy(2));
        }
        return exceedsLimits(snapshot.time(), snapshot.asOf(), retention.dividedBy(4));
    }

    private boolean exceedsLimits(Instant time, long asOf, Duration age) {
        return follower.position() - asOf > MAX_RECORDS_BEHIND || isOlderThan(time, age);
    }

    private boolean isOlderThan(Instant time, Duration age) {
        return Duration.between(time, ticker.now()).compareTo(age) > 0;
    }

    private Optional<SnapshotInfo> newestSnapshot() {
        Optional<SnapshotInfo> seen = follower.newestSnapshot();
        if (lastWritten == null
                || seen.filter(info -> info.asOf() >= lastWritten.asOf()).isPresent()) {
            return seen;
        }
        return Optional.of(lastWritten);
    }

    private void writeSnapshot() {
        long asOf = follower.ledger().position();
        writing = true;
        Uni.createFrom()
                .deferred(() -> serializer.apply(follower.ledger().prepareSnapshot()))
                .subscribe()
                .with(state -> writeState(asOf, state), error -> handleFailure(asOf, error.toString()));
    }

    private void writeState(long asOf, byte[] state) {
        String id = writer.writer() + "/" + asOf + "/" + ++snapshotCount;
        int partCount = Math.max(1, (state.length + PART_BYTES - 1) / PART_BYTES);
        List<SnapshotPart> parts = new ArrayList<>(partCount);
        for (int part = 0; part < partCount; part++) {
            int from = part * PART_BYTES;
            parts.add(SnapshotPart.newBuilder()
                    .setStream(follower.stream())
                    .setAsOf(asOf)
                    .setPart(part)
                    .setParts(partCount)
                    .setId(id)
                    .setData(ByteString.copyFrom(state, from, Math.min(PART_BYTES, state.length - from)))
                    .build());
        }
        writePart(parts, 0, state.length);
    }

    /** Writes one part at a time, so that other entries of the stream are not delayed for long. */
    private void writePart(List<SnapshotPart> parts, int index, int bytes) {
        if (stopped || !isWriter.getAsBoolean()) {
            writing = false;
            return;
        }
        Entry entry = Entry.newBuilder().setSnapshotPart(parts.get(index)).build();
        writer.write(entry).subscribe().with(outcome -> partWritten(parts, index, bytes, outcome));
    }

    private void partWritten(List<SnapshotPart> parts, int index, int bytes, Either<LogError, Long> outcome) {
        SnapshotPart part = parts.get(index);
        if (outcome.isLeft()) {
            handleFailure(part.getAsOf(), outcome.getLeft().toString());
            return;
        }
        if (index + 1 < parts.size()) {
            writePart(parts, index + 1, bytes);
            return;
        }
        lastWritten = new SnapshotInfo(part.getId(), part.getAsOf(), ticker.now());
        PlatformEvent.SNAPSHOT_WRITTEN.info(follower.stream(), part.getAsOf(), bytes, parts.size());
        writing = false;
    }

    private void handleFailure(long asOf, String reason) {
        PlatformEvent.SNAPSHOT_FAILED.warn(follower.stream(), asOf, reason);
        earliestWriteNanos = ticker.nanos() + RETRY_DELAY.toNanos();
        writing = false;
    }
}
