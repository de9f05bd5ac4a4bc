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
 * Writes entries to one stream of the log with group commit. Entries that arrive while an append is in flight or within
 * the linger time share the next batch.
 *
 * <p>Invariants: at most one append is in flight; sequences increase by one for each batch; a batch whose append failed
 * is sent again unchanged, with the same sequence and before any later batch, until it succeeds or the log rejects it.
 * Readers drop the copies that arise when an answer was lost.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * LogWriter writer = LogWriter.builder(log, timers, ticker)
 *         .stream("work")
 *         .writer(incarnation)
 *         .linger(Duration.ofMillis(50))
 *         .budget(budget)
 *         .build();
 * writer.write(entry).subscribe().with(outcome -> ...);
 * }</pre>
 */
public final class LogWriter {
    /** Version of the batches that this release writes and reads. */
    public static final int BATCH_VERSION = 1;

    /** Largest entry in bytes; the log takes records of 1 MiB, of which the batch's head needs some bytes. */
    public static final int MAX_ENTRY_BYTES = (1 << 20) - 1024;

    /** Upper bound of the tag and length of an entry in its batch. */
    private static final int ENTRY_OVERHEAD = 6;

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

    private final ArrayDeque<Group> queue = new ArrayDeque<>();
    private long queuedBytes;
    private Batch inFlight;
    private long sequence;
    private long appends;
    /** Set while the linger time or the wait for the budget runs. */
    private Timers.Timer sendTimer;

    private boolean budgetReserved;
    private boolean settling;
    private long flushes;
    private boolean closed;
    private boolean full;

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

    /** Entries that are kept in one batch, and the promise of its offset. */
    private record Group(List<Entry> entries, int bytes, long sinceNanos, Promise<Either<LogError, Long>> promise) {}

    /** A batch that is being appended. */
    private static final class Batch {
        private final long sequence;
        private final byte[] data;
        private final List<Group> groups;
        private final long bytes;
        private int attempts;
        private boolean mayHaveTakenEffect;

        private Batch(long sequence, byte[] data, List<Group> groups, long bytes) {
            this.sequence = sequence;
            this.data = data;
            this.groups = groups;
            this.bytes = bytes;
        }
    }

    /**
     * Queues an entry at once; subscriptions to the returned Uni only observe the outcome.
     *
     * <p>The Uni emits the offset at which the entry's batch was acknowledged. If an earlier answer was lost, this can
     * be the offset of a copy that readers drop, and the copy that counts has a lower offset. A caller that needs to
     * know what the entry changed therefore waits until a reader has passed the emitted offset and asks the ledger.
     *
     * <p>The writer tries until it succeeds, for as long as the process lives. A caller sets its own timeout; after that
     * timeout the entry may still be appended at any later time.
     *
     * @return the offset; {@code Overloaded} if the buffer is full; {@code Rejected} if the entry is larger than
     *     {@link #MAX_ENTRY_BYTES} or the log refused the batch; {@code Unavailable} if the writer was closed before the
     *     entry was sent, {@code TimedOut} if it was closed later
     */
    public Uni<Either<LogError, Long>> write(Entry entry) {
        return write(List.of(entry));
    }

    /**
     * Queues entries at once, in one batch if they fit into it, otherwise in as few consecutive batches as possible.
     *
     * @return as {@link #write(Entry)}; the offset is the one of the last entry's batch. An error says nothing of the
     *     batches before the failed one
     */
    public Uni<Either<LogError, Long>> write(List<Entry> entries) {
        return Futures.toUni(enqueue(List.copyOf(entries)));
    }

    private Future<Either<LogError, Long>> enqueue(List<Entry> entries) {
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("entries must not be empty");
        }
        if (closed) {
            return refused(new LogError.Unavailable("the writer of stream " + stream + " is closed"));
        }
        List<List<Entry>> parts = new ArrayList<>();
        List<Integer> sizes = new ArrayList<>();
        Optional<LogError> error = split(entries, parts, sizes);
        if (error.isPresent()) {
            return refused(error.get());
        }
        long total = sizes.stream().mapToLong(Integer::longValue).sum();
        if (pendingBytes() + total > maxBufferedBytes) {
            if (!full) {
                PlatformEvent.WRITE_BUFFER_FULL.warn(stream, pendingBytes(), maxBufferedBytes);
            }
            full = true;
            return refused(new LogError.Overloaded());
        }
        full = false;
        long now = ticker.nanos();
        List<Future<Either<LogError, Long>>> outcomes = new ArrayList<>();
        for (int part = 0; part < parts.size(); part++) {
            Promise<Either<LogError, Long>> promise = Promise.promise();
            queue.add(new Group(parts.get(part), sizes.get(part), now, promise));
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

    /** Divides entries into parts of at most a batch; a single larger entry makes a part of its own. */
    private Optional<LogError> split(List<Entry> entries, List<List<Entry>> parts, List<Integer> sizes) {
        List<Entry> part = new ArrayList<>();
        int size = 0;
        for (Entry entry : entries) {
            int bytes = entry.getSerializedSize() + ENTRY_OVERHEAD;
            if (bytes > MAX_ENTRY_BYTES) {
                return Optional.of(new LogError.Rejected(
                        "an entry of " + bytes + " bytes is larger than the limit of " + MAX_ENTRY_BYTES));
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

    private static Future<Either<LogError, Long>> refused(LogError error) {
        return Future.succeededFuture(Either.left(error));
    }

    /** Returns the name of the stream. */
    public String stream() {
        return stream;
    }

    /** Returns the id of this run of the process. */
    public String writer() {
        return writer;
    }

    /** Returns the bytes of entries that are not yet acknowledged. */
    public long pendingBytes() {
        return queuedBytes + (inFlight == null ? 0 : inFlight.bytes);
    }

    /** Returns the number of append attempts so far. */
    public long appends() {
        return appends;
    }

    /** Sends what is queued without waiting for the linger time; emits once all of it is acknowledged or refused. */
    public Uni<Void> flush() {
        List<Future<Either<LogError, Long>>> open = new ArrayList<>();
        if (inFlight != null) {
            inFlight.groups.forEach(group -> open.add(group.promise().future()));
        }
        queue.forEach(group -> open.add(group.promise().future()));
        if (open.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        flushes++;
        sendWhenDue();
        return Futures.toUni(Future.all(open).onSuccess(done -> flushes--).mapEmpty());
    }

    /** Stops writing. Entries that are not yet acknowledged get an error; call {@link #flush} before. Idempotent. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (sendTimer != null) {
            sendTimer.cancel();
        }
        List<Group> unsent = new ArrayList<>(queue);
        queue.clear();
        queuedBytes = 0;
        Batch sent = inFlight;
        inFlight = null;
        if (sent != null) {
            settle(sent, Either.left(new LogError.TimedOut("the writer of stream " + stream + " was closed")));
        }
        LogError error = new LogError.Unavailable("the writer of stream " + stream + " was closed");
        unsent.forEach(group -> group.promise().tryComplete(Either.left(error)));
    }

    private void sendWhenDue() {
        if (closed || inFlight != null || settling || queue.isEmpty() || budgetReserved) {
            return;
        }
        if (sendTimer != null) {
            sendTimer.cancel();
            sendTimer = null;
        }
        long waited = ticker.nanos() - queue.peek().sinceNanos();
        boolean due = flushes > 0 || queuedBytes >= maxBatchBytes || waited >= linger.toNanos();
        if (!due) {
            sendTimer = timers.after(linger.minusNanos(waited), this::sendWhenDue);
            return;
        }
        withBudget(this::sendNext);
    }

    /** Runs a task when the budget allows an append; entries that arrive until then join the batch. */
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
                .setSequence(++sequence);
        List<Group> groups = new ArrayList<>();
        long bytes = 0;
        while (!queue.isEmpty() && (groups.isEmpty() || bytes + queue.peek().bytes() <= maxBatchBytes)) {
            Group group = queue.remove();
            batch.addAllEntries(group.entries());
            groups.add(group);
            bytes += group.bytes();
        }
        queuedBytes -= bytes;
        inFlight = new Batch(sequence, batch.build().toByteArray(), groups, bytes);
        attempt(inFlight);
    }

    private void attempt(Batch batch) {
        batch.attempts++;
        appends++;
        log.append(stream, batch.data)
                .onFailure()
                .recoverWithItem(error -> Either.left(new LogError.TimedOut(String.valueOf(error))))
                .subscribe()
                .with(outcome -> attempted(batch, outcome));
    }

    private void attempted(Batch batch, Either<LogError, Long> outcome) {
        if (closed || batch != inFlight) {
            return;
        }
        if (outcome.isRight()) {
            if (batch.attempts > 1) {
                PlatformEvent.APPEND_RECOVERED.info(stream, batch.sequence, batch.attempts);
            }
            finish(batch, outcome);
            return;
        }
        LogError error = outcome.getLeft();
        if (error instanceof LogError.Rejected || error instanceof LogError.Expired) {
            PlatformEvent.APPEND_REJECTED.error(stream, batch.sequence, error);
            // A copy whose answer was lost may stand in the log although a later copy was rejected.
            LogError reported = batch.mayHaveTakenEffect ? new LogError.TimedOut(error.toString()) : error;
            finish(batch, Either.left(reported));
            return;
        }
        batch.mayHaveTakenEffect |= error instanceof LogError.TimedOut;
        Duration wait = backoff(batch.attempts);
        if (Integer.bitCount(batch.attempts) == 1) {
            PlatformEvent.APPEND_RETRIED.warn(stream, batch.sequence, error, batch.attempts, wait.toMillis());
        }
        sendTimer = timers.after(wait, () -> withBudget(() -> attempt(batch)));
    }

    private void finish(Batch batch, Either<LogError, Long> outcome) {
        inFlight = null;
        // Entries that are written in reaction to the outcome share the next batch.
        settling = true;
        try {
            settle(batch, outcome);
        } finally {
            settling = false;
            sendWhenDue();
        }
    }

    private static void settle(Batch batch, Either<LogError, Long> outcome) {
        batch.groups.forEach(group -> group.promise().tryComplete(outcome));
    }

    /** Returns an exponential backoff with up to a quarter of it taken off, so that writers spread out. */
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

        /** Id of this run of the process; no two writers of a stream may ever have the same. */
        public Builder writer(String incarnation) {
            this.writer = incarnation;
            return this;
        }

        /** Time for which an entry waits for others to share its batch; 50 ms by default. */
        public Builder linger(Duration linger) {
            if (linger.isNegative()) {
                throw new IllegalArgumentException("linger must not be negative, but is " + linger);
            }
            this.linger = linger;
            return this;
        }

        /** Limit of the node's appends; none by default. */
        public Builder budget(AppendBudget budget) {
            this.budget = budget;
            return this;
        }

        /** Size of a batch in bytes; 512 KiB by default. Only a single larger entry exceeds it. */
        public Builder maxBatchBytes(int bytes) {
            if (bytes < 1 || bytes > MAX_ENTRY_BYTES) {
                throw new IllegalArgumentException(
                        "batch bytes must be from 1 to " + MAX_ENTRY_BYTES + ", not " + bytes);
            }
            this.maxBatchBytes = bytes;
            return this;
        }

        /** Limit of unacknowledged bytes, beyond which writes are refused; 64 MiB by default. */
        public Builder maxBufferedBytes(long bytes) {
            if (bytes < 1) {
                throw new IllegalArgumentException("buffered bytes must be positive, not " + bytes);
            }
            this.maxBufferedBytes = bytes;
            return this;
        }

        /** Source of the jitter of the backoff; by default seeded from the writer's id. */
        public Builder random(UniformRandomProvider random) {
            this.random = random;
            return this;
        }

        /** Returns the writer. */
        public LogWriter build() {
            return new LogWriter(this);
        }
    }
}
