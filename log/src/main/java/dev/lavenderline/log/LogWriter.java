package dev.lavenderline.log;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Writes entries to one stream of the log with group commit: entries that arrive while an append is in flight or within
 * the linger time share the next batch.
 *
 * <p>Invariants: at most one append is in flight; sequences increase by one for each batch; a batch whose append failed
 * is retried unchanged, with the same sequence and before any later batch, until it succeeds or the log rejects it.
 * A retry after a lost response can store a duplicate; readers drop it by its sequence.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * LogWriter writer = LogWriter.builder(log, timers, ticker)
 *         .stream("work")
 *         .writer(runId)
 *         .linger(Duration.ofMillis(50))
 *         .budget(budget)
 *         .build();
 * writer.write(entry).subscribe().with(outcome -> ...);
 * }</pre>
 */
public final class LogWriter {
    /** Format version of the batches that this release writes and reads. */
    public static final int BATCH_VERSION = 1;

    /** Largest entry; the log accepts records of 1 MiB, and the header of the batch takes some of these bytes. */
    public static final int MAX_ENTRY_BYTES = (1 << 20) - 1024;

    /** Upper bound of the encoded tag and length of an entry in its batch. */
    private static final int ENTRY_OVERHEAD_BYTES = 6;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final LogService log;
    private final Timers timers;
    private final Ticker ticker;
    private final String stream;
    private final String writer;
    private final Duration linger;
    private final AppendBudget budget;
    private final int maxBatchBytes;
    private final long maxBufferedBytes;
    private final UniformRandomProvider random;

    private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();
    private long queuedBytes;
    private Batch inFlight;
    private long lastSequence;
    private long appends;
    /** Last timer that was started for the linger time, the append budget or a retry; may be null. */
    private Timers.Timer sendTimer;

    private boolean budgetReserved;
    private boolean completing;
    private long activeFlushes;
    private boolean closed;
    private boolean bufferFull;

    private LogWriter(Builder builder) {
        this.log = builder.log;
        this.timers = builder.timers;
        this.ticker = builder.ticker;
        this.stream = Objects.requireNonNull(builder.stream, "stream");
        this.writer = Objects.requireNonNull(builder.writer, "writer");
        this.linger = builder.linger;
        this.budget = builder.budget;
        this.maxBatchBytes = builder.maxBatchBytes;
        this.maxBufferedBytes = builder.maxBufferedBytes;
        this.random = builder.random == null
                ? RandomSource.XO_RO_SHI_RO_128_PP.create((long) writer.hashCode())
                : builder.random;
    }

    /** Returns a builder; stream and writer must be set. */
    public static Builder builder(LogService log, Timers timers, Ticker ticker) {
        return new Builder(log, timers, ticker);
    }

    /** Entries that must share a batch, and the promise of the offset of this batch. */
    private record PendingWrite(
            List<Entry> entries, int bytes, long enqueuedNanos, Promise<Either<LogError, Long>> promise) {}

    /** A batch whose append is in flight or being retried. */
    private static final class Batch {
        private final long sequence;
        private final byte[] data;
        private final List<PendingWrite> writes;
        private final long bytes;
        private int attempts;
        private boolean mayHaveTakenEffect;

        private Batch(long sequence, byte[] data, List<PendingWrite> writes, long bytes) {
            this.sequence = sequence;
            this.data = data;
            this.writes = writes;
            this.bytes = bytes;
        }
    }

    /**
     * Queues an entry immediately; subscribing to the returned Uni only observes the outcome.
     *
     * <p>The Uni emits the offset at which the entry's batch was acknowledged. If an earlier response was lost, this
     * can be the offset of a duplicate that readers drop, while the effective copy has a lower offset. A caller that
     * needs to know what the entry changed therefore waits until a follower has passed the emitted offset and asks the
     * ledger.
     *
     * <p>The writer retries until the append succeeds or is rejected, or until the writer is closed. Callers set their
     * own timeout; after it, the entry may still be appended at any later time.
     *
     * @return the offset; {@code Overloaded} if the buffer is full; {@code Rejected} if the entry is larger than
     *     {@link #MAX_ENTRY_BYTES} or the log refused the batch; {@code Unavailable} if the writer was closed before
     *     the entry was sent, {@code TimedOut} if it was closed later
     */
    public Uni<Either<LogError, Long>> write(Entry entry) {
        return write(List.of(entry));
    }

    /**
     * Queues entries immediately, in one batch if they fit, otherwise in as few consecutive batches as possible.
     *
     * @return as {@link #write(Entry)}; the offset is that of the last entry's batch. After an error, batches before
     *     the failed one may have been written
     */
    public Uni<Either<LogError, Long>> write(List<Entry> entries) {
        return Futures.toUni(enqueue(List.copyOf(entries)));
    }

    private Future<Either<LogError, Long>> enqueue(List<Entry> entries) {
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("entries must not be empty");
        }
        if (closed) {
            return failedWrite(new LogError.Unavailable("the writer of stream " + stream + " is closed"));
        }
        List<List<Entry>> parts = new ArrayList<>();
        List<Integer> sizes = new ArrayList<>();
        Optional<LogError> error = split(entries, parts, sizes);
        if (error.isPresent()) {
            return failedWrite(error.get());
        }
        long total = sizes.stream().mapToLong(Integer::longValue).sum();
        if (pendingBytes() + total > maxBufferedBytes) {
            if (!bufferFull) {
                PlatformEvent.WRITE_BUFFER_FULL.warn(stream, pendingBytes(), maxBufferedBytes);
            }
            bufferFull = true;
            return failedWrite(new LogError.Overloaded());
        }
        bufferFull = false;
        long now = ticker.nanos();
        List<Future<Either<LogError, Long>>> outcomes = new ArrayList<>();
        for (int part = 0; part < parts.size(); part++) {
            Promise<Either<LogError, Long>> promise = Promise.promise();
            queue.add(new PendingWrite(parts.get(part), sizes.get(part), now, promise));
            outcomes.add(promise.future());
        }
        queuedBytes += total;
        sendWhenDue();
        if (outcomes.size() == 1) {
            return outcomes.get(0);
        }
        return Future.all(outcomes).map(all -> {
            for (Future<Either<LogError, Long>> outcome : outcomes) {
                if (outcome.result().isLeft()) {
                    return outcome.result();
                }
            }
            return outcomes.get(outcomes.size() - 1).result();
        });
    }

    /** Splits entries into parts of at most {@code maxBatchBytes}; a larger entry gets a part of its own. */
    private Optional<LogError> split(List<Entry> entries, List<List<Entry>> parts, List<Integer> sizes) {
        List<Entry> part = new ArrayList<>();
        int size = 0;
        for (Entry entry : entries) {
            int bytes = entry.getSerializedSize() + ENTRY_OVERHEAD_BYTES;
            if (bytes > MAX_ENTRY_BYTES) {
                return Optional.of(
                        new LogError.Rejected("entry of " + bytes + " bytes exceeds the limit of " + MAX_ENTRY_BYTES));
            }
            if (!part.isEmpty() && size + bytes > maxBatchBytes) {
                parts.add(part);
                sizes.add(size);
                part = new ArrayList<>();
                size = 0;
            }
            part.add(entry);
            size += bytes;
        }
        parts.add(part);
        sizes.add(size);
        return Optional.empty();
    }

    private static Future<Either<LogError, Long>> failedWrite(LogError error) {
        return Future.succeededFuture(Either.left(error));
    }

    /** Returns the name of the stream. */
    public String stream() {
        return stream;
    }

    /** Returns the id of this writer, unique to the run of the process. */
    public String writer() {
        return writer;
    }

    /** Returns the size of all entries that are not yet acknowledged. */
    public long pendingBytes() {
        return queuedBytes + (inFlight == null ? 0 : inFlight.bytes);
    }

    /** Returns the number of append attempts so far, including retries. */
    public long appends() {
        return appends;
    }

    /** Sends queued entries without lingering; emits once all pending entries are acknowledged or have failed. */
    public Uni<Void> flush() {
        List<Future<Either<LogError, Long>>> pending = new ArrayList<>();
        if (inFlight != null) {
            inFlight.writes.forEach(write -> pending.add(write.promise().future()));
        }
        queue.forEach(write -> pending.add(write.promise().future()));
        if (pending.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        activeFlushes++;
        sendWhenDue();
        return Futures.toUni(
                Future.all(pending).onSuccess(done -> activeFlushes--).mapEmpty());
    }

    /** Stops writing. Entries that are not acknowledged fail; call {@link #flush} first to write them. Idempotent. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (sendTimer != null) {
            sendTimer.cancel();
        }
        List<PendingWrite> unsent = new ArrayList<>(queue);
        queue.clear();
        queuedBytes = 0;
        Batch sent = inFlight;
        inFlight = null;
        if (sent != null) {
            complete(sent, Either.left(new LogError.TimedOut("the writer of stream " + stream + " was closed")));
        }
        LogError error = new LogError.Unavailable("the writer of stream " + stream + " was closed");
        unsent.forEach(write -> write.promise().tryComplete(Either.left(error)));
    }

    private void sendWhenDue() {
        if (closed || inFlight != null || completing || queue.isEmpty() || budgetReserved) {
            return;
        }
        if (sendTimer != null) {
            sendTimer.cancel();
            sendTimer = null;
        }
        long waitedNanos = ticker.nanos() - queue.peek().enqueuedNanos();
        boolean due = activeFlushes > 0 || queuedBytes >= maxBatchBytes || waitedNanos >= linger.toNanos();
        if (!due) {
            sendTimer = timers.after(linger.minusNanos(waitedNanos), this::sendWhenDue);
            return;
        }
        withBudget(this::sendNext);
    }

    /** Runs a task once the budget allows an append; until then, further entries can join the next batch. */
    private void withBudget(Runnable task) {
        Duration wait = budget == null ? Duration.ZERO : budget.reserve();
        if (wait.isZero()) {
            task.run();
            return;
        }
        budgetReserved = true;
        sendTimer = timers.after(wait, () -> {
            budgetReserved = false;
            sendTimer = null;
            if (!closed) {
                task.run();
            }
        });
    }

    private void sendNext() {
        RecordBatch.Builder batch = RecordBatch.newBuilder()
                .setVersion(BATCH_VERSION)
                .setWriter(writer)
                .setSequence(++lastSequence);
        List<PendingWrite> writes = new ArrayList<>();
        long bytes = 0;
        while (!queue.isEmpty() && (writes.isEmpty() || bytes + queue.peek().bytes() <= maxBatchBytes)) {
            PendingWrite write = queue.remove();
            batch.addAllEntries(write.entries());
            writes.add(write);
            bytes += write.bytes();
        }
        queuedBytes -= bytes;
        inFlight = new Batch(lastSequence, batch.build().toByteArray(), writes, bytes);
        append(inFlight);
    }

    private void append(Batch batch) {
        batch.attempts++;
        appends++;
        log.append(stream, batch.data)
                .onFailure()
                .recoverWithItem(error -> Either.left(new LogError.TimedOut(String.valueOf(error))))
                .subscribe()
                .with(outcome -> handleAppend(batch, outcome));
    }

    private void handleAppend(Batch batch, Either<LogError, Long> outcome) {
        if (closed || batch != inFlight) {
            return;
        }
        if (outcome.isRight()) {
            if (batch.attempts > 1) {
                PlatformEvent.APPEND_RECOVERED.info(stream, batch.sequence, batch.attempts);
            }
            finishBatch(batch, outcome);
            return;
        }
        LogError error = outcome.getLeft();
        if (error instanceof LogError.Rejected || error instanceof LogError.Expired) {
            PlatformEvent.APPEND_REJECTED.error(stream, batch.sequence, error);
            // An earlier attempt whose response was lost may have been stored although this one was rejected.
            LogError reported = batch.mayHaveTakenEffect ? new LogError.TimedOut(error.toString()) : error;
            finishBatch(batch, Either.left(reported));
            return;
        }
        batch.mayHaveTakenEffect |= error instanceof LogError.TimedOut;
        Duration wait = backoff(batch.attempts);
        if (Integer.bitCount(batch.attempts) == 1) {
            PlatformEvent.APPEND_RETRIED.warn(stream, batch.sequence, error, batch.attempts, wait.toMillis());
        }
        sendTimer = timers.after(wait, () -> withBudget(() -> append(batch)));
    }

    private void finishBatch(Batch batch, Either<LogError, Long> outcome) {
        inFlight = null;
        // Entries that callbacks write in response to the outcome share the next batch.
        completing = true;
        try {
            complete(batch, outcome);
        } finally {
            completing = false;
            sendWhenDue();
        }
    }

    private static void complete(Batch batch, Either<LogError, Long> outcome) {
        batch.writes.forEach(write -> write.promise().tryComplete(outcome));
    }

    /** Returns an exponential backoff minus a jitter of up to a quarter, so that writers do not retry in step. */
    private Duration backoff(int attempts) {
        long nanos = FIRST_BACKOFF.toNanos() << Math.min(attempts - 1, 10);
        long capped = Math.min(nanos, MAX_BACKOFF.toNanos());
        return Duration.ofNanos(capped - (long) (random.nextDouble() * capped / 4));
    }

    /** Settings of a writer. */
    public static final class Builder {
        private final LogService log;
        private final Timers timers;
        private final Ticker ticker;
        private String stream;
        private String writer;
        private Duration linger = Duration.ofMillis(50);
        private AppendBudget budget;
        private int maxBatchBytes = 512 << 10;
        private long maxBufferedBytes = 64L << 20;
        private UniformRandomProvider random;

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

        /** Id of this writer, unique to the run of the process; no two writers of a stream may ever share one. */
        public Builder writer(String id) {
            this.writer = id;
            return this;
        }

        /** Maximum time that an entry waits for others to share its batch; 50 ms by default. */
        public Builder linger(Duration linger) {
            if (linger.isNegative()) {
                throw new IllegalArgumentException("linger must not be negative, but is " + linger);
            }
            this.linger = linger;
            return this;
        }

        /** Limit of the node's append rate; none by default. */
        public Builder budget(AppendBudget budget) {
            this.budget = budget;
            return this;
        }

        /** Maximum size of a batch; 512 KiB by default. Only a batch with a single larger entry exceeds it. */
        public Builder maxBatchBytes(int bytes) {
            if (bytes < 1 || bytes > MAX_ENTRY_BYTES) {
                throw new IllegalArgumentException(
                        "batch bytes must be from 1 to " + MAX_ENTRY_BYTES + ", not " + bytes);
            }
            this.maxBatchBytes = bytes;
            return this;
        }

        /** Maximum size of unacknowledged entries; writes beyond it are refused; 64 MiB by default. */
        public Builder maxBufferedBytes(long bytes) {
            if (bytes < 1) {
                throw new IllegalArgumentException("buffered bytes must be positive, not " + bytes);
            }
            this.maxBufferedBytes = bytes;
            return this;
        }

        /** Random source of the backoff jitter; by default seeded from the writer's id. */
        public Builder random(UniformRandomProvider random) {
            this.random = random;
            return this;
        }

        /** Creates the writer. */
        public LogWriter build() {
            return new LogWriter(this);
        }
    }
}
