package dev.lavenderline.log;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Folds one stream of the log into a ledger, in order, and follows its tail until it is stopped.
 *
 * <p>If the next record has expired, also at the start, the follower scans the records that are kept for complete
 * snapshots, restores the newest one whose next record is still kept and folds on from there. While there is none, it
 * waits for one. Records that are not a batch are counted and skipped. A batch of an unknown version, or an
 * exception of the ledger, stops the follower, because the contents must not be guessed. Any other failure is retried.
 *
 * <p>Invariant: the ledger has folded every record up to {@link #position()} that is a batch. Not thread-safe; confined
 * to the node's event loop.
 *
 * <pre>{@code
 * LogFollower follower = LogFollower.builder(log, timers, ticker)
 *         .stream("work")
 *         .ledger(ledger)
 *         .start();
 * follower.caughtUp().subscribe().with(ready -> ...);
 * }</pre>
 */
public final class LogFollower {
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(25);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(500);

    /** Snapshots kept while scanning, so that one that cannot be restored does not force another scan. */
    private static final int MAX_CANDIDATES = 3;

    /** Approximate bytes of a kept record besides its data. */
    private static final int RECORD_OVERHEAD = 64;

    private final LogService log;
    private final Timers timers;
    private final Ticker ticker;
    private final String stream;
    private final Ledger ledger;
    private final Duration pollWait;
    private final int maxBytes;
    private final Runnable listener;
    private final long recentBytes;

    private final Promise<Void> caughtUp = Promise.promise();
    private final Promise<PlatformError> failed = Promise.promise();
    private final SnapshotAssembler seenSnapshots;

    private long position;
    /** Set while the reader looks for a snapshot. */
    private Scan scan;

    private boolean moreExpected = true;
    private boolean polling;
    private boolean pollAgain;
    private int failures;
    private OptionalLong lastTailRead = OptionalLong.empty();
    private SnapshotInfo newestSnapshot;
    private long lastDataOffset;
    private Instant firstDataTime;
    /** Records up to the position without a gap. */
    private final ArrayDeque<LogRecord> recent = new ArrayDeque<>();

    private long recentSize;
    private long malformed;
    private boolean stopped;
    private PlatformError failure;

    /** State of a search for a snapshot. */
    private final class Scan {
        private final SnapshotAssembler assembler = new SnapshotAssembler(stream, true);
        private final List<SnapshotAssembler.Complete> candidates = new ArrayList<>();
        private long first;
        private long next;
        private long unknownVersionOffset;
        private int unknownVersion;
        private boolean missingReported;

        private Scan(long first) {
            this.first = first;
            this.next = first;
        }

        private void add(LogRecord record) {
            next = record.offset() + 1;
            Either<String, RecordBatch> batch = decode(record.data());
            if (batch.isLeft()) {
                return;
            }
            if (batch.get().getVersion() != LogWriter.BATCH_VERSION) {
                unknownVersionOffset = record.offset();
                unknownVersion = batch.get().getVersion();
                return;
            }
            for (Entry entry : batch.get().getEntriesList()) {
                if (entry.hasSnapshotPart()) {
                    assembler
                            .add(record.offset(), record.time(), entry.getSnapshotPart())
                            .ifPresent(this::addCandidate);
                }
            }
        }

        private void addCandidate(SnapshotAssembler.Complete snapshot) {
            candidates.add(snapshot);
            candidates.sort(
                    Comparator.comparingLong(SnapshotAssembler.Complete::asOf).reversed());
            if (candidates.size() > MAX_CANDIDATES) {
                candidates.remove(MAX_CANDIDATES);
            }
        }

        /** Restores the newest usable snapshot; returns whether there was one. */
        private boolean restore() {
            while (!candidates.isEmpty()) {
                SnapshotAssembler.Complete snapshot = candidates.remove(0);
                if (snapshot.asOf() <= ledger.position() || snapshot.asOf() + 1 < first) {
                    continue;
                }
                try {
                    ledger.restore(snapshot.asOf(), snapshot.data().toByteArray());
                } catch (IllegalArgumentException e) {
                    if (ledger.position() >= snapshot.asOf()) {
                        throw e;
                    }
                    PlatformEvent.SNAPSHOT_MALFORMED.error(stream, snapshot.id(), snapshot.asOf(), e.toString());
                    continue;
                }
                position = snapshot.asOf();
                recent.clear();
                recentSize = 0;
                newestSnapshot = new SnapshotInfo(snapshot.id(), snapshot.asOf(), snapshot.time());
                PlatformEvent.SNAPSHOT_RESTORED.info(
                        stream, snapshot.asOf(), snapshot.data().size());
                return true;
            }
            return false;
        }
    }

    private LogFollower(Builder builder) {
        this.log = builder.log;
        this.timers = builder.timers;
        this.ticker = builder.ticker;
        this.stream = Objects.requireNonNull(builder.stream, "stream");
        this.ledger = Objects.requireNonNull(builder.ledger, "ledger");
        this.pollWait = builder.pollWait;
        this.maxBytes = builder.maxBytes;
        this.listener = builder.listener;
        this.recentBytes = builder.recentBytes;
        this.position = ledger.position();
        this.seenSnapshots = new SnapshotAssembler(stream, false);
    }

    /** Returns a builder; stream and ledger must be set. */
    public static Builder builder(LogService log, Timers timers, Ticker ticker) {
        return new Builder(log, timers, ticker);
    }

    /** Emits when the tail was reached for the first time; never emits if the follower stops before. */
    public Uni<Void> caughtUp() {
        return Futures.toUni(caughtUp.future());
    }

    /** Returns whether the tail was ever reached. */
    public boolean isCaughtUp() {
        return caughtUp.future().isComplete();
    }

    /** Emits the reason when the follower stops by itself; never emits after {@link #stop}. */
    public Uni<PlatformError> failed() {
        return Futures.toUni(failed.future());
    }

    /** Returns why the follower stopped by itself; empty while it works. */
    public Optional<PlatformError> failure() {
        return Optional.ofNullable(failure);
    }

    /** Returns the offset of the last record that was folded or skipped. */
    public long position() {
        return position;
    }

    /**
     * Returns a time on {@link Ticker#nanos()} at which the ledger contained every record of the stream; empty before the
     * tail was first reached. It is the time at which the read was sent, or later by the time that the log waited for
     * a record in vain. An answer that is processed late, such as after a pause of the process, counts from that time.
     */
    public OptionalLong lastTailRead() {
        return lastTailRead;
    }

    /** Returns the newest complete snapshot on the log, by its offset. */
    public Optional<SnapshotInfo> newestSnapshot() {
        return Optional.ofNullable(newestSnapshot);
    }

    /** Returns the number of records that were skipped because they are not a batch. */
    public long malformedRecords() {
        return malformed;
    }

    /** Returns the name of the stream. */
    public String stream() {
        return stream;
    }

    /**
     * Folds records that came from another reader of the same stream, for use while the log does not answer. Records
     * are taken in order as long as each one follows {@link #position()} without a gap.
     *
     * @return the number of records that were folded or skipped
     */
    public int fold(List<LogRecord> records) {
        int folded = 0;
        for (LogRecord record : records) {
            if (!stopped && record.offset() == position + 1 && fold(record)) {
                folded++;
            }
        }
        if (scan != null && position + 1 >= scan.first) {
            scan = null;
        }
        if (folded > 0) {
            notifyListener();
        }
        return folded;
    }

    /**
     * Returns the kept records from an offset up to {@link #position()} for another reader; empty if the first of them
     * is no longer kept. How many are kept is a setting of the builder.
     */
    public List<LogRecord> recent(long from) {
        if (recent.isEmpty() || recent.peekFirst().offset() > from) {
            return List.of();
        }
        return recent.stream().filter(record -> record.offset() >= from).toList();
    }

    /** Stops reading; an answer that is on its way is ignored. Idempotent. */
    public void stop() {
        stopped = true;
    }

    Ledger ledger() {
        return ledger;
    }

    /** Returns the offset of the last folded record with an entry other than a snapshot part; 0 if there was none. */
    long lastDataOffset() {
        return lastDataOffset;
    }

    /** Returns the time of the first record with an entry other than a snapshot part; null if there was none. */
    Instant firstDataTime() {
        return firstDataTime;
    }

    /** Polls without recursion, also if the log answers at once. */
    private void poll() {
        if (polling) {
            pollAgain = true;
            return;
        }
        polling = true;
        do {
            pollAgain = false;
            read();
        } while (pollAgain);
        polling = false;
    }

    private void read() {
        if (stopped) {
            return;
        }
        long from = scan == null ? position + 1 : scan.next;
        // Without waiting, the answer tells the tail at once; that matters after records that arrived during a long
        // poll.
        Duration wait = moreExpected ? Duration.ZERO : pollWait;
        long sent = ticker.nanos();
        log.read(stream, from, maxBytes, wait)
                .onFailure()
                .recoverWithItem(error -> Either.left(new LogError.Unavailable(String.valueOf(error))))
                .subscribe()
                .with(outcome -> {
                    try {
                        received(from, sent, wait, outcome);
                    } catch (RuntimeException e) {
                        fail(from, e.toString());
                    }
                });
    }

    private void received(long from, long sent, Duration wait, Either<LogError, LogSlice> outcome) {
        if (stopped) {
            return;
        }
        if (outcome.isLeft()) {
            if (outcome.getLeft() instanceof LogError.Expired expired && expired.firstOffset() > from) {
                succeeded(from);
                expired(from, expired.firstOffset());
                return;
            }
            retry(from, outcome.getLeft().toString());
            return;
        }
        LogSlice slice = outcome.get();
        if (slice.firstOffset() > from) {
            succeeded(from);
            expired(from, slice.firstOffset());
            return;
        }
        if (slice.nextOffset() < from) {
            retry(from, "the stream ends before it, at " + slice.nextOffset());
            return;
        }
        succeeded(from);
        if (scan == null && from > position + 1) {
            // The read belongs to a scan that ended meanwhile.
            moreExpected = true;
            poll();
            return;
        }
        moreExpected = !slice.records().isEmpty();
        if (scan != null) {
            scanned(slice);
        } else {
            folded(slice, sent, wait);
        }
        poll();
    }

    private void retry(long from, String reason) {
        long nanos = Math.min(FIRST_BACKOFF.toNanos() << Math.min(failures, 10), MAX_BACKOFF.toNanos());
        failures++;
        Duration wait = Duration.ofNanos(nanos);
        if (Integer.bitCount(failures) == 1) {
            PlatformEvent.READ_FAILED.warn(stream, from, reason, failures, wait.toMillis());
        }
        moreExpected = true;
        timers.after(wait, this::poll);
    }

    private void succeeded(long from) {
        if (failures > 0) {
            PlatformEvent.READ_RECOVERED.info(stream, from, failures);
            failures = 0;
        }
    }

    private void expired(long from, long first) {
        PlatformEvent.RETENTION_PASSED.warn(stream, from, first);
        if (scan == null) {
            scan = new Scan(first);
        } else {
            scan.first = first;
            scan.next = first;
        }
        moreExpected = true;
        poll();
    }

    private void scanned(LogSlice slice) {
        scan.first = slice.firstOffset();
        for (LogRecord record : slice.records()) {
            if (record.offset() >= scan.next) {
                scan.add(record);
            }
        }
        if (scan.next < slice.nextOffset()) {
            return;
        }
        if (scan.restore()) {
            scan = null;
            moreExpected = true;
            notifyListener();
            return;
        }
        if (scan.unknownVersion != 0) {
            fail(scan.unknownVersionOffset, unknownVersion(scan.unknownVersion));
            return;
        }
        if (!scan.missingReported) {
            PlatformEvent.SNAPSHOT_MISSING.error(stream, scan.first, scan.next - 1);
            scan.missingReported = true;
        }
    }

    private void folded(LogSlice slice, long sent, Duration wait) {
        for (LogRecord record : slice.records()) {
            if (record.offset() > position && !fold(record)) {
                return;
            }
        }
        if (position + 1 >= slice.nextOffset()) {
            long end = slice.records().isEmpty() ? sent + wait.toNanos() : sent;
            lastTailRead = OptionalLong.of(end - ticker.nanos() > 0 ? ticker.nanos() : end);
        }
        if (!slice.records().isEmpty()) {
            notifyListener();
        }
        if (lastTailRead.isPresent() && caughtUp.tryComplete()) {
            PlatformEvent.CAUGHT_UP.info(stream, position);
        }
    }

    private void notifyListener() {
        try {
            listener.run();
        } catch (RuntimeException e) {
            PlatformEvent.LISTENER_FAILED.error(stream, e.toString());
        }
    }

    /** Folds one record; returns false if the follower had to stop. */
    private boolean fold(LogRecord record) {
        Either<String, RecordBatch> decoded = decode(record.data());
        if (decoded.isLeft()) {
            malformed++;
            PlatformEvent.RECORD_MALFORMED.warn(stream, record.offset(), decoded.getLeft());
            advance(record);
            return true;
        }
        RecordBatch batch = decoded.get();
        if (batch.getVersion() != LogWriter.BATCH_VERSION) {
            fail(record.offset(), unknownVersion(batch.getVersion()));
            return false;
        }
        try {
            ledger.apply(record.offset(), record.time(), batch);
        } catch (RuntimeException e) {
            fail(record.offset(), "the ledger failed: " + e);
            return false;
        }
        advance(record);
        for (Entry entry : batch.getEntriesList()) {
            if (!entry.hasSnapshotPart()) {
                lastDataOffset = record.offset();
                firstDataTime = firstDataTime == null ? record.time() : firstDataTime;
                continue;
            }
            seenSnapshots
                    .add(record.offset(), record.time(), entry.getSnapshotPart())
                    .filter(snapshot -> newestSnapshot == null || snapshot.asOf() >= newestSnapshot.asOf())
                    .ifPresent(snapshot ->
                            newestSnapshot = new SnapshotInfo(snapshot.id(), snapshot.asOf(), snapshot.time()));
        }
        return true;
    }

    private void advance(LogRecord record) {
        position = record.offset();
        recent.add(record);
        recentSize += cost(record);
        while (recentSize > recentBytes) {
            recentSize -= cost(recent.remove());
        }
    }

    private static long cost(LogRecord record) {
        return RECORD_OVERHEAD + record.data().length;
    }

    private void fail(long offset, String reason) {
        stopped = true;
        PlatformEvent.FOLLOWER_STOPPED.error(stream, offset, reason);
        failure = new PlatformError("stream " + stream + ", record " + offset + ": " + reason);
        failed.tryComplete(failure);
    }

    private static String unknownVersion(int version) {
        return "unknown batch version " + Integer.toUnsignedString(version) + ", this release reads version "
                + LogWriter.BATCH_VERSION;
    }

    /**
     * Decodes a record. A version of 0 means that the field is absent: such bytes were not written as a batch, even if
     * they happen to parse. Stopping every reader of the fleet is left to batches that name a later version.
     */
    private static Either<String, RecordBatch> decode(byte[] data) {
        RecordBatch batch;
        try {
            batch = RecordBatch.parseFrom(data);
        } catch (InvalidProtocolBufferException e) {
            return Either.left(e.getMessage());
        }
        if (batch.getVersion() == 0) {
            return Either.left("the version is missing");
        }
        if (batch.getVersion() == LogWriter.BATCH_VERSION
                && (batch.getWriter().isEmpty() || batch.getSequence() == 0)) {
            return Either.left("the writer or the sequence is missing");
        }
        return Either.right(batch);
    }

    /** Settings of a follower. */
    public static final class Builder {
        private final LogService log;
        private final Timers timers;
        private final Ticker ticker;
        private String stream;
        private Ledger ledger;
        private Duration pollWait = Duration.ofSeconds(1);
        private int maxBytes = 512 << 10;
        private Runnable listener = () -> {};
        private long recentBytes;

        private Builder(LogService log, Timers timers, Ticker ticker) {
            this.log = Objects.requireNonNull(log, "log");
            this.timers = Objects.requireNonNull(timers, "timers");
            this.ticker = Objects.requireNonNull(ticker, "ticker");
        }

        /** Name of the stream. */
        public Builder stream(String stream) {
            this.stream = stream;
            return this;
        }

        /** State to fold into; reading begins after its position. */
        public Builder ledger(Ledger ledger) {
            this.ledger = ledger;
            return this;
        }

        /** Time for which the log may wait for a record; 1 s by default. The tail's age reaches it plus a round trip. */
        public Builder pollWait(Duration wait) {
            if (wait.toMillis() < 1) {
                throw new IllegalArgumentException("poll wait must be at least 1 ms, not " + wait);
            }
            this.pollWait = wait;
            return this;
        }

        /** Soft limit of the size of one read in bytes; 512 KiB by default. */
        public Builder maxBytes(int bytes) {
            if (bytes < 1) {
                throw new IllegalArgumentException("bytes must be positive, not " + bytes);
            }
            this.maxBytes = bytes;
            return this;
        }

        /** Bytes of folded records that are kept for {@link LogFollower#recent}; none by default. */
        public Builder recentBytes(long bytes) {
            if (bytes < 0) {
                throw new IllegalArgumentException("recent bytes must not be negative, but are " + bytes);
            }
            this.recentBytes = bytes;
            return this;
        }

        /** Called after each read whose records were folded, and after a snapshot was restored. */
        public Builder listener(Runnable listener) {
            this.listener = Objects.requireNonNull(listener, "listener");
            return this;
        }

        /** Starts reading and returns the follower. */
        public LogFollower start() {
            LogFollower follower = new LogFollower(this);
            follower.poll();
            return follower;
        }
    }
}
