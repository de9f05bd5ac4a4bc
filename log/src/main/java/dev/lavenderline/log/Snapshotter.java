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
 * Writes snapshots of a follower's ledger to its stream while this node is the one to do it.
 *
 * <p>A snapshot is due when the newest one is older than a quarter of the retention time or 20,000 records, unless
 * nothing was folded since. In that case it is due when the newest one is older than half the retention time, because
 * the state of an idle stream must not expire with its last snapshot.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class Snapshotter {
    private static final int PART_BYTES = 256 << 10;
    private static final long MAX_RECORDS = 20_000;
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);
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
    private long count;
    /** The snapshot written last; the follower sees it a little later. */
    private SnapshotInfo written;

    private long notBeforeNanos;

    /**
     * Creates a snapshotter; {@link #start} starts it.
     *
     * @param follower reader whose ledger is saved
     * @param writer writer of the follower's stream
     * @param retention age at which the log drops records
     * @param isWriter whether this node is the one to write snapshots now
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
     * Creates a snapshotter that serializes large states outside the event loop; {@link #start} starts it.
     *
     * @param serializer runs what {@link dev.lavenderline.core.ledger.Ledger#prepareSnapshot} returned, on any thread,
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
        this.notBeforeNanos = ticker.nanos();
    }

    /** Starts to check each second, or more often if the retention time is short, whether a snapshot is due. */
    public void start() {
        if (timer != null) {
            throw new IllegalStateException("started already");
        }
        Duration sixteenth = retention.dividedBy(16);
        timer = timers.every(sixteenth.compareTo(CHECK_PERIOD) < 0 ? sixteenth : CHECK_PERIOD, this::check);
    }

    /** Stops; a snapshot that is being written stays incomplete and is ignored by readers. Idempotent. */
    public void stop() {
        if (timer != null) {
            timer.cancel();
        }
        stopped = true;
    }

    private void check() {
        boolean able = !writing
                && follower.isCaughtUp()
                && follower.failure().isEmpty()
                && ticker.nanos() - notBeforeNanos >= 0
                && isWriter.getAsBoolean();
        if (able && due()) {
            writeSnapshot();
        }
    }

    private boolean due() {
        Optional<SnapshotInfo> newest = newest();
        if (newest.isEmpty()) {
            Instant first = follower.firstDataTime();
            return first != null && isDue(first, 0, retention.dividedBy(4));
        }
        SnapshotInfo snapshot = newest.get();
        boolean unchanged = follower.lastDataOffset() <= snapshot.asOf();
        if (unchanged) {
            return older(snapshot.time(), retention.dividedBy(2));
        }
        return isDue(snapshot.time(), snapshot.asOf(), retention.dividedBy(4));
    }

    private boolean isDue(Instant time, long asOf, Duration age) {
        return follower.position() - asOf > MAX_RECORDS || older(time, age);
    }

    private boolean older(Instant time, Duration age) {
        return Duration.between(time, ticker.now()).compareTo(age) > 0;
    }

    private Optional<SnapshotInfo> newest() {
        Optional<SnapshotInfo> seen = follower.newestSnapshot();
        if (written == null
                || seen.filter(info -> info.asOf() >= written.asOf()).isPresent()) {
            return seen;
        }
        return Optional.of(written);
    }

    private void writeSnapshot() {
        long asOf = follower.ledger().position();
        writing = true;
        Uni.createFrom()
                .deferred(() -> serializer.apply(follower.ledger().prepareSnapshot()))
                .subscribe()
                .with(state -> writeState(asOf, state), error -> failed(asOf, error.toString()));
    }

    private void writeState(long asOf, byte[] state) {
        String id = writer.writer() + "/" + asOf + "/" + ++count;
        int parts = Math.max(1, (state.length + PART_BYTES - 1) / PART_BYTES);
        List<SnapshotPart> list = new ArrayList<>(parts);
        for (int part = 0; part < parts; part++) {
            int from = part * PART_BYTES;
            list.add(SnapshotPart.newBuilder()
                    .setStream(follower.stream())
                    .setAsOf(asOf)
                    .setPart(part)
                    .setParts(parts)
                    .setId(id)
                    .setData(ByteString.copyFrom(state, from, Math.min(PART_BYTES, state.length - from)))
                    .build());
        }
        writePart(list, 0, state.length);
    }

    /** Writes one part after the other, so that other entries of the stream are not held up for long. */
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
            failed(part.getAsOf(), outcome.getLeft().toString());
            return;
        }
        if (index + 1 < parts.size()) {
            writePart(parts, index + 1, bytes);
            return;
        }
        written = new SnapshotInfo(part.getId(), part.getAsOf(), ticker.now());
        PlatformEvent.SNAPSHOT_WRITTEN.info(follower.stream(), part.getAsOf(), bytes, parts.size());
        writing = false;
    }

    private void failed(long asOf, String reason) {
        PlatformEvent.SNAPSHOT_FAILED.warn(follower.stream(), asOf, reason);
        notBeforeNanos = ticker.nanos() + RETRY_DELAY.toNanos();
        writing = false;
    }
}
