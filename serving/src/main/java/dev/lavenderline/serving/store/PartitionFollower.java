package dev.lavenderline.serving.store;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Reads a partition of a keyed topic from its newest records on, with long polls and a pause after each answer.
 *
 * <p>Invariants: each record is handed over at most once and in the order of the offsets; the offset of the next record
 * never decreases while the partition's end does not. Not thread-safe; confined to the event loop.
 */
public final class PartitionFollower {
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(500);

    private final MetadataStore store;
    private final Partition partition;
    private final KeyedListener listener;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final Duration wait;
    private final Supplier<Duration> pause;
    private final Promise<Void> loaded = Promise.promise();

    private long next = -1;
    private long answeredNanos;
    private Duration retry = FIRST_RETRY;
    private boolean lost;
    private boolean stopped;

    /** What has been read of the newest records while not all pages have been read. */
    private final List<KeyedRecord> loading = new ArrayList<>();

    private long loadedFrom = -1;

    /**
     * Creates a follower.
     *
     * @param wait longest time for which the store keeps a poll waiting; bounds the time until a silent connection is
     *     noticed
     * @param pause time between an answer and the next poll; bounds the rate of calls
     */
    public PartitionFollower(
            MetadataStore store,
            Partition partition,
            KeyedListener listener,
            Ticker ticker,
            Timers timers,
            EventLog log,
            Duration wait,
            Supplier<Duration> pause) {
        this.store = store;
        this.partition = partition;
        this.listener = listener;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.wait = wait;
        this.pause = pause;
    }

    /** Starts reading and returns when the newest records have been handled. */
    public Future<Void> start() {
        load();
        return loaded.future();
    }

    /** Ends reading; answers that are under way are ignored. */
    public void stop() {
        stopped = true;
    }

    /** Returns the offset of the next record, -1 if nothing has been read. */
    public long next() {
        return next;
    }

    /** Returns the time since the store last answered. */
    public Duration age() {
        return next < 0 ? Duration.ofDays(1) : Duration.ofNanos(ticker.nanos() - answeredNanos);
    }

    private void load() {
        if (stopped) {
            return;
        }
        // A failure does not discard the pages before: over a slow link a state of many pages might never be complete.
        String after = loading.isEmpty() ? "" : loading.get(loading.size() - 1).key();
        long begun = ticker.nanos();
        store.newest(partition, after)
                .onSuccess(page -> pageRead(page, Duration.ofNanos(ticker.nanos() - begun)))
                .onFailure(failure -> later(failure, this::load));
    }

    private void pageRead(KeyedPage page, Duration took) {
        if (stopped) {
            return;
        }
        // Only what follows the end at the first page is certainly newer than all pages.
        loadedFrom = loadedFrom < 0 ? page.end() : loadedFrom;
        loading.addAll(page.records());
        answered();
        if (page.more() && !page.records().isEmpty()) {
            // Leaves as much time to requests as the page took; decoding is slow in a process that has just started.
            timers.after(took, this::load);
            return;
        }
        List<KeyedRecord> records = List.copyOf(loading);
        listener.reset(records);
        next = loadedFrom;
        loading.clear();
        loadedFrom = -1;
        loaded.tryComplete();
        log.event(ServingEvent.PARTITION_READ, "partition", partition, "offset", next, "records", records.size());
        listener.caughtUp();
        poll();
    }

    private void poll() {
        if (stopped) {
            return;
        }
        store.read(partition, next, wait)
                .onSuccess(slice -> {
                    if (stopped) {
                        return;
                    }
                    handle(slice);
                    timers.after(pause.get(), this::poll);
                })
                .onFailure(failure -> {
                    if (StoreException.reasonOf(failure) == StoreException.Reason.EXPIRED) {
                        log.event(ServingEvent.HISTORY_EXPIRED, "partition", partition, "offset", next);
                        load();
                        return;
                    }
                    later(failure, this::poll);
                });
    }

    /**
     * Reads up to the current end of the partition.
     *
     * @return fails if the store does not answer
     */
    public Future<Void> refresh() {
        if (next < 0) {
            return Future.failedFuture(
                    new StoreException(StoreException.Reason.REJECTED, partition + " has not been read yet"));
        }
        return store.read(partition, next, Duration.ZERO).map(slice -> {
            handle(slice);
            return null;
        });
    }

    private void handle(LogSlice slice) {
        int known = (int) Math.max(0, Math.min(slice.records().size(), next - slice.first()));
        for (KeyedRecord record : slice.records().subList(known, slice.records().size())) {
            listener.record(record);
        }
        next = Math.max(next, slice.next());
        answered();
        listener.caughtUp();
    }

    /** Handles records that this process has appended at the offset that it expected. */
    public void appended(long at, List<KeyedRecord> records) {
        handle(new LogSlice(at, records, at + records.size()));
    }

    private void answered() {
        answeredNanos = ticker.nanos();
        retry = FIRST_RETRY;
        if (lost) {
            lost = false;
            log.event(ServingEvent.STORE_REGAINED, "partition", partition, "offset", next);
        }
    }

    private void later(Throwable failure, Runnable task) {
        if (stopped) {
            return;
        }
        if (!lost) {
            lost = true;
            log.event(
                    ServingEvent.STORE_LOST,
                    "partition",
                    partition,
                    "offset",
                    next,
                    "reason",
                    StoreException.reasonOf(failure),
                    "message",
                    failure.getMessage());
        }
        timers.after(retry, task);
        retry = retry.multipliedBy(2).compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : retry.multipliedBy(2);
    }
}
