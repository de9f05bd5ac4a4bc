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
 * Applies one stream of the log to a ledger, in order, and follows its tail until it is stopped.
 *
 * <p>If the next record has expired, which can also happen at the start, the follower scans the retained records for
 * complete snapshots, restores the newest one whose next record is retained and continues from there. While there is
 * none, it waits for one. Records that are not a batch are counted and skipped. A batch of an unknown version, or an
 * exception of the ledger, stops the follower, because skipping the record could leave the ledger with a wrong state.
 * Any other failure is retried.
 *
 * <p>Invariant: every batch up to {@link #position()} has been applied to the ledger. Not thread-safe; confined
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

    /** Snapshots kept during a scan, so that one that cannot be restored does not require another scan. */
    private static final int MAX_CANDIDATES = 3;

    /** Approximate memory of a buffered record in addition to its data. */
    private static final int RECORD_OVERHEAD_BYTES = 64;

    private final LogService log;
    private final Timers timers;
    private final Ticker ticker;
    private final String stream;
    private final Ledger ledger;
    private final Duration pollWait;
    private final int maxBytes;
    private final Runnable listener;
    private final long maxRecentBytes;

    private final Promise<Void> caughtUp = Promise.promise();
    private final Promise<PlatformError> failed = Promise.promise();
    private final SnapshotAssembler snapshotTracker;

    private long position;
    /** Null unless the follower is searching for a snapshot. */
    private Scan scan;

    /** Whether the next read is sent without a wait. */
    private boolean skipLongPoll = true;

    private boolean polling;
    private boolean pollAgain;
    private int consecutiveFailures;
    private OptionalLong lastTailRead = OptionalLong.empty();
    private SnapshotInfo newestSnapshot;
    private long lastDataOffset;
    private Instant firstDataTime;
    /** Consecutive records that end at the position. */
    private final ArrayDeque<LogRecord> recentRecords = new ArrayDeque<>();

    private long recentRecordsSize;
    private long malformedRecords;
    private boolean stopped;
    private PlatformError failure;

    /** State of a scan for snapshots. */
    private final class Scan {
        private final SnapshotAssembler assembler = new SnapshotAssembler(stream, true);
        private final List<SnapshotAssembler.Complete> candidates = new ArrayList<>();
        private long firstRetained;
        private long nextOffset;
        private long unknownVersionOffset;
        private int unknownVersion;
        private boolean missingReported;

        private Scan(long firstRetained) {
            this.firstRetained = firstRetained;
            this.nextOffset = firstRetained;
        }

        private void add(LogRecord record) {
            nextOffset = record.offset() + 1;
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

        /** Restores the newest usable snapshot; returns false if there is none. */
        private boolean restore() {
            while (!candidates.isEmpty()) {
                SnapshotAssembler.Complete snapshot = candidates.remove(0);
                if (snapshot.asOf() <= ledger.position() || snapshot.asOf() + 1 < firstRetained) {
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
                recentRecords.clear();
                recentRecordsSize = 0;
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
        this.maxRecentBytes = builder.maxRecentBytes;
        this.position = ledger.position();
        this.snapshotTracker = new SnapshotAssembler(stream, false);
    }

    /** Returns a builder; stream and ledger must be set. */
    public static Builder builder(LogService log, Timers timers, Ticker ticker) {
        return new Builder(log, timers, ticker);
    }

    /** Emits once the tail is first reached; never emits if the follower stops before that. */
    public Uni<Void> caughtUp() {
        return Futures.toUni(caughtUp.future());
    }

    /** Returns whether the tail has been reached at least once. */
    public boolean isCaughtUp() {
        return caughtUp.future().isComplete();
    }

    /** Emits the reason when the follower stops because of a failure; never emits after {@link #stop}. */
    public Uni<PlatformError> failed() {
        return Futures.toUni(failed.future());
    }

    /** Returns the failure that stopped the follower; empty if there was none. */
    public Optional<PlatformError> failure() {
        return Optional.ofNullable(failure);
    }

    /** Returns the offset of the last record that was applied or skipped. */
    public long position() {
        return position;
    }

    /**
     * Returns the latest time, by {@link Ticker#nanos()}, at which the ledger is known to have contained every record
     * of the stream; empty before the tail was first reached. It is the time at which the read was sent, plus the full
     * wait if a long poll returned no record. A response that is processed late, for example after a pause of the
     * process, counts from the same time.
     */
    public OptionalLong lastTailRead() {
        return lastTailRead;
    }

    /** Returns the complete snapshot with the highest offset that was read from the log. */
    public Optional<SnapshotInfo> newestSnapshot() {
        return Optional.ofNullable(newestSnapshot);
    }

    /** Returns the number of records that were skipped because they are not a batch. */
    public long malformedRecords() {
        return malformedRecords;
    }

    /** Returns the name of the stream. */
    public String stream() {
        return stream;
    }

    /**
     * Applies records that another reader of the same stream supplied, for use while the log is unavailable. Records
     * that do not directly follow {@link #position()} are ignored.
     *
     * @return the number of records that were applied or skipped as malformed
     */
    public int apply(List<LogRecord> records) {
        int applied = 0;
        for (LogRecord record : records) {
            if (!stopped && record.offset() == position + 1 && apply(record)) {
                applied++;
            }
        }
        if (scan != null && position + 1 >= scan.firstRetained) {
            scan = null;
        }
        if (applied > 0) {
            notifyListener();
        }
        return applied;
    }

    /**
     * Returns the buffered records from an offset up to {@link #position()}, for another reader; empty if the first of
     * them is no longer buffered. {@link Builder#maxRecentBytes} sets the size of the buffer.
     */
    public List<LogRecord> recentRecords(long from) {
        if (recentRecords.isEmpty() || recentRecords.peekFirst().offset() > from) {
            return List.of();
        }
        return recentRecords.stream().filter(record -> record.offset() >= from).toList();
    }

    /** Stops reading; the response of a read in flight is ignored. Idempotent. */
    public void stop() {
        stopped = true;
    }

    Ledger ledger() {
        return ledger;
    }

    /** Returns the offset of the last applied record with an entry other than a snapshot part; 0 if there was none. */
    long lastDataOffset() {
        return lastDataOffset;
    }

    /** Returns the time of the first record with an entry other than a snapshot part; null if there was none. */
    Instant firstDataTime() {
        return firstDataTime;
    }

    /** Starts the next read. Reads that complete synchronously run in a loop, so that the stack does not grow. */
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
        long from = scan == null ? position + 1 : scan.nextOffset;
        // After a long poll has returned records, a read without a wait tells at once whether they reach the tail.
        Duration wait = skipLongPoll ? Duration.ZERO : pollWait;
        long sentNanos = ticker.nanos();
        log.read(stream, from, maxBytes, wait)
                .onFailure()
                .recoverWithItem(error -> Either.left(new LogError.Unavailable(String.valueOf(error))))
                .subscribe()
                .with(outcome -> {
                    try {
                        handleRead(from, sentNanos, wait, outcome);
                    } catch (RuntimeException e) {
                        fail(from, e.toString());
                    }
                });
    }

    private void handleRead(long from, long sentNanos, Duration wait, Either<LogError, LogSlice> outcome) {
        if (stopped) {
            return;
        }
        if (outcome.isLeft()) {
            if (outcome.getLeft() instanceof LogError.Expired expired && expired.firstOffset() > from) {
                resetFailures(from);
                handleExpired(from, expired.firstOffset());
                return;
            }
            scheduleRetry(from, outcome.getLeft().toString());
            return;
        }
        LogSlice slice = outcome.get();
        if (slice.firstOffset() > from) {
            resetFailures(from);
            handleExpired(from, slice.firstOffset());
            return;
        }
        if (slice.nextOffset() < from) {
            scheduleRetry(from, "the next offset of the stream is only " + slice.nextOffset());
            return;
        }
        resetFailures(from);
        if (scan == null && from > position + 1) {
            // This read belongs to a scan that has ended in the meantime.
            skipLongPoll = true;
            poll();
            return;
        }
        skipLongPoll = !slice.records().isEmpty();
        if (scan != null) {
            scanSlice(slice);
        } else {
            applySlice(slice, sentNanos, wait);
        }
        poll();
    }

    private void scheduleRetry(long from, String reason) {
        long nanos = Math.min(FIRST_BACKOFF.toNanos() << Math.min(consecutiveFailures, 10), MAX_BACKOFF.toNanos());
        consecutiveFailures++;
        Duration wait = Duration.ofNanos(nanos);
        if (Integer.bitCount(consecutiveFailures) == 1) {
            PlatformEvent.READ_FAILED.warn(stream, from, reason, consecutiveFailures, wait.toMillis());
        }
        skipLongPoll = true;
        timers.after(wait, this::poll);
    }

    private void resetFailures(long from) {
        if (consecutiveFailures > 0) {
            PlatformEvent.READ_RECOVERED.info(stream, from, consecutiveFailures);
            consecutiveFailures = 0;
        }
    }

    private void handleExpired(long from, long firstRetained) {
        PlatformEvent.RETENTION_PASSED.warn(stream, from, firstRetained);
        if (scan == null) {
            scan = new Scan(firstRetained);
        } else {
            scan.firstRetained = firstRetained;
            scan.nextOffset = firstRetained;
        }
        skipLongPoll = true;
        poll();
    }

    private void scanSlice(LogSlice slice) {
        scan.firstRetained = slice.firstOffset();
        for (LogRecord record : slice.records()) {
            if (record.offset() >= scan.nextOffset) {
                scan.add(record);
            }
        }
        if (scan.nextOffset < slice.nextOffset()) {
            return;
        }
        if (scan.restore()) {
            scan = null;
            skipLongPoll = true;
            notifyListener();
            return;
        }
        if (scan.unknownVersion != 0) {
            fail(scan.unknownVersionOffset, unknownVersion(scan.unknownVersion));
            return;
        }
        if (!scan.missingReported) {
            PlatformEvent.SNAPSHOT_MISSING.error(stream, scan.firstRetained, scan.nextOffset - 1);
            scan.missingReported = true;
        }
    }

    private void applySlice(LogSlice slice, long sentNanos, Duration wait) {
        for (LogRecord record : slice.records()) {
            if (record.offset() > position && !apply(record)) {
                return;
            }
        }
        if (position + 1 >= slice.nextOffset()) {
            long tailNanos = slice.records().isEmpty() ? sentNanos + wait.toNanos() : sentNanos;
            lastTailRead = OptionalLong.of(tailNanos - ticker.nanos() > 0 ? ticker.nanos() : tailNanos);
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

    /** Applies or skips one record; returns false if the follower had to stop. */
    private boolean apply(LogRecord record) {
        Either<String, RecordBatch> decoded = decode(record.data());
        if (decoded.isLeft()) {
            malformedRecords++;
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
            snapshotTracker
                    .add(record.offset(), record.time(), entry.getSnapshotPart())
                    .filter(snapshot -> newestSnapshot == null || snapshot.asOf() >= newestSnapshot.asOf())
                    .ifPresent(snapshot ->
                            newestSnapshot = new SnapshotInfo(snapshot.id(), snapshot.asOf(), snapshot.time()));
        }
        return true;
    }

    private void advance(LogRecord record) {
        position = record.offset();
        recentRecords.add(record);
        recentRecordsSize += bufferedSize(record);
        while (recentRecordsSize > maxRecentBytes) {
            recentRecordsSize -= bufferedSize(recentRecords.remove());
        }
    }

    private static long bufferedSize(LogRecord record) {
        return RECORD_OVERHEAD_BYTES + record.data().length;
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
     * they happen to parse, and are skipped. Only a batch with an explicit unknown version stops the followers.
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
        private long maxRecentBytes;

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

        /** Ledger that records are applied to; reading starts after its position. */
        public Builder ledger(Ledger ledger) {
            this.ledger = ledger;
            return this;
        }

        /** Wait of a long poll; 1 s by default. The age of {@link #lastTailRead} reaches it plus a round trip. */
        public Builder pollWait(Duration wait) {
            if (wait.toMillis() < 1) {
                throw new IllegalArgumentException("poll wait must be at least 1 ms, not " + wait);
            }
            this.pollWait = wait;
            return this;
        }

        /** Soft limit of the size of one read; 512 KiB by default. */
        public Builder maxBytes(int bytes) {
            if (bytes < 1) {
                throw new IllegalArgumentException("bytes must be positive, not " + bytes);
            }
            this.maxBytes = bytes;
            return this;
        }

        /** Size of the buffer of applied records for {@link LogFollower#recentRecords}; 0 by default. */
        public Builder maxRecentBytes(long bytes) {
            if (bytes < 0) {
                throw new IllegalArgumentException("recent bytes must not be negative, but are " + bytes);
            }
            this.maxRecentBytes = bytes;
            return this;
        }

        /** Called after records were applied and after a snapshot was restored. */
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
