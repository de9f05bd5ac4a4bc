package dev.lavenderline.serving.store;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.workspaces.ClockReading;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Follows a partition of a keyed topic: loads the newest record of each key, then reads new records by long polls, with
 * a pause after each response. A poll without a response in time is repeated on a new connection.
 *
 * <p>Invariants: after the load, each record is delivered at most once and in offset order; the next offset never
 * decreases unless the partition's end does; nothing that the listener throws ends the reading. Not thread-safe;
 * confined to the event loop.
 */
public final class PartitionFollower {
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

    /**
     * Time after the longest wait of a poll at which another poll is sent on a new connection. Leaves time for that
     * poll within the 2.5 s in which changes have to apply, and is longer than a slow store takes to respond. Doubles
     * until the next response, so that polls do not pile up at a store that is overloaded.
     */
    static final Duration MIN_OVERDUE_DELAY = Duration.ofMillis(400);

    private final MetadataStore store;
    private final Partition partition;
    private final KeyedListener listener;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final Duration pollWait;
    private final Supplier<Duration> pollPause;
    private final Promise<Void> loaded = Promise.promise();

    private long nextOffset = -1;
    private long lastResponseNanos;
    private Optional<ClockReading> asked = Optional.empty();
    private Duration retryDelay = MIN_RETRY_DELAY;
    private Duration overdueDelay = MIN_OVERDUE_DELAY;
    private boolean storeLost;
    private boolean stopped;
    private long latestPoll;

    /** Number of loads so far; polls from before a load are ignored, as the next offset may have changed. */
    private long loads;

    /** Records of the pages read so far, until the last page has been read. */
    private final List<KeyedRecord> pageRecords = new ArrayList<>();

    /** End offset of the partition at the first page, -1 before that page. */
    private long endOffsetAtFirstPage = -1;

    /** When the first page of the load in progress was requested. */
    private Optional<ClockReading> firstPageAsked = Optional.empty();

    /**
     * Creates a follower.
     *
     * @param pollWait longest time for which the store holds a poll; bounds the time until an unresponsive connection
     *     is detected
     * @param pollPause time between a response and the next poll; bounds the rate of calls
     */
    public PartitionFollower(
            MetadataStore store,
            Partition partition,
            KeyedListener listener,
            Ticker ticker,
            Timers timers,
            EventLog log,
            Duration pollWait,
            Supplier<Duration> pollPause) {
        this.store = store;
        this.partition = partition;
        this.listener = listener;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.pollWait = pollWait;
        this.pollPause = pollPause;
    }

    /** Starts reading. The result completes once the newest records have been handled. */
    public Future<Void> start() {
        load();
        return loaded.future();
    }

    /** Stops reading; pending responses are ignored. */
    public void stop() {
        stopped = true;
    }

    /** Returns the offset of the next record to read, -1 if the newest records have not been loaded. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the time since the store's last response, one day if the newest records have not been loaded. */
    public Duration age() {
        return nextOffset < 0 ? Duration.ofDays(1) : Duration.ofNanos(ticker.nanos() - lastResponseNanos);
    }

    /**
     * Returns the latest time as of which all records of the partition are known to have been handled: when the last
     * poll, load or refresh that read up to the partition's end was sent; empty before the first.
     */
    public Optional<ClockReading> asked() {
        return asked;
    }

    private void recordAsked(ClockReading sent) {
        asked = Optional.of(asked.map(known -> sent.younger(known, ticker)).orElse(sent));
    }

    private void load() {
        if (stopped) {
            return;
        }
        // Earlier pages are kept after a failure: over a slow link, a load of many pages might never complete
        // otherwise.
        String after = pageRecords.isEmpty()
                ? ""
                : pageRecords.get(pageRecords.size() - 1).key();
        ClockReading sent = ClockReading.now(ticker);
        store.newest(partition, after)
                .onSuccess(page -> {
                    if (!FailureGuard.run(log, () -> handlePage(page, sent), "partition", partition)) {
                        timers.after(MAX_RETRY_DELAY, nextOffset < 0 ? this::load : this::poll);
                    }
                })
                .onFailure(failure -> retryLater(failure, this::load));
    }

    private void handlePage(KeyedPage page, ClockReading sent) {
        if (stopped) {
            return;
        }
        firstPageAsked = firstPageAsked.or(() -> Optional.of(sent));
        // Pages are not a snapshot: later ones may miss records appended after the first, so polls start at its end.
        endOffsetAtFirstPage = endOffsetAtFirstPage < 0 ? page.endOffset() : endOffsetAtFirstPage;
        pageRecords.addAll(page.records());
        recordResponse();
        if (page.hasMore() && !page.records().isEmpty()) {
            // Pauses as long as the page took, so that requests are served; decoding is slow in a new process.
            timers.after(Duration.ofNanos(ticker.nanos() - sent.nanos()), this::load);
            return;
        }
        List<KeyedRecord> records = List.copyOf(pageRecords);
        runListener(() -> listener.reset(records), null);
        nextOffset = endOffsetAtFirstPage;
        firstPageAsked.ifPresent(this::recordAsked);
        firstPageAsked = Optional.empty();
        loads++;
        pageRecords.clear();
        endOffsetAtFirstPage = -1;
        loaded.tryComplete();
        log.event(ServingEvent.PARTITION_READ, "partition", partition, "offset", nextOffset, "records", records.size());
        runListener(listener::caughtUp, null);
        poll();
    }

    private void poll() {
        if (stopped) {
            return;
        }
        long number = ++latestPoll;
        long loadsBefore = loads;
        ClockReading sent = ClockReading.now(ticker);
        Timers.Timer overdue = timers.after(pollWait.plus(overdueDelay), () -> pollOverdue(number));
        store.read(partition, nextOffset, pollWait).onComplete(response -> {
            overdue.cancel();
            if (stopped || loads != loadsBefore) {
                return;
            }
            if (response.succeeded()) {
                FailureGuard.run(log, () -> handleSlice(response.result(), Optional.of(sent)), "partition", partition);
            }
            if (number == latestPoll) {
                pollEnded(response);
            }
        });
    }

    /** Continues after the latest poll; earlier ones that were overdue are not followed by another poll. */
    private void pollEnded(AsyncResult<LogSlice> response) {
        if (response.succeeded()) {
            timers.after(pollPause.get(), this::poll);
        } else if (StoreException.reasonOf(response.cause()) == StoreException.Reason.EXPIRED) {
            log.event(ServingEvent.HISTORY_EXPIRED, "partition", partition, "offset", nextOffset);
            load();
        } else {
            retryLater(response.cause(), this::poll);
        }
    }

    /**
     * Polls on a new connection, since a connection may fall silent without being closed. The overdue poll goes on: its
     * response still counts if it is only slow.
     */
    private void pollOverdue(long number) {
        if (stopped || number != latestPoll) {
            return;
        }
        log.event(ServingEvent.POLL_OVERDUE, "partition", partition, "offset", nextOffset);
        overdueDelay = overdueDelay.multipliedBy(2);
        store.renewConnections();
        poll();
    }

    /**
     * Reads up to the current end of the partition, which may take several reads.
     *
     * @return a future that fails if the partition has not been loaded or a read fails
     */
    public Future<Void> refresh() {
        if (nextOffset < 0) {
            return Future.failedFuture(
                    new StoreException(StoreException.Reason.REJECTED, partition + " has not been loaded yet"));
        }
        ClockReading sent = ClockReading.now(ticker);
        Promise<Void> read = Promise.promise();
        readNext().onSuccess(slice -> readUpTo(slice.endOffset(), read)).onFailure(read::fail);
        return read.future().onSuccess(done -> recordAsked(sent));
    }

    /**
     * Reads up to an offset that the store has stated as the partition's end. All reads complete one promise: futures
     * that complete one inside the other would need a stack as deep as the number of reads, which the store decides.
     */
    private void readUpTo(long endOffset, Promise<Void> read) {
        if (nextOffset >= endOffset) {
            read.complete();
            return;
        }
        long offset = nextOffset;
        readNext()
                .onSuccess(slice -> {
                    if (nextOffset > offset) {
                        readUpTo(endOffset, read);
                    } else {
                        read.fail(new StoreException(
                                StoreException.Reason.MALFORMED,
                                partition + " ends at " + endOffset + ", but has no record at " + offset));
                    }
                })
                .onFailure(read::fail);
    }

    private Future<LogSlice> readNext() {
        ClockReading sent = ClockReading.now(ticker);
        return store.read(partition, nextOffset, Duration.ZERO)
                .onSuccess(slice -> handleSlice(slice, Optional.of(sent)));
    }

    /**
     * Handles records.
     *
     * @param sent when the request for them was sent, empty if they were not read from the store
     */
    private void handleSlice(LogSlice slice, Optional<ClockReading> sent) {
        int handled = (int) Math.max(0, Math.min(slice.records().size(), nextOffset - slice.firstOffset()));
        for (KeyedRecord record :
                slice.records().subList(handled, slice.records().size())) {
            runListener(() -> listener.record(record), record.key());
        }
        nextOffset = Math.max(nextOffset, slice.nextOffset());
        Optional<ClockReading> endAsked = sent.filter(asked -> nextOffset >= slice.endOffset());
        endAsked.ifPresent(this::recordAsked);
        recordResponse();
        runListener(listener::caughtUp, null);
        endAsked.ifPresent(reading -> runListener(() -> listener.endReached(reading), null));
    }

    /** Calls the listener; a failure costs one record, not the records and polls after it. */
    private void runListener(Runnable call, String key) {
        FailureGuard.run(log, call, "partition", partition, "key", key);
    }

    /** Handles records that this process has appended at the given offset, without reading them back. */
    public void handleAppended(long offset, List<KeyedRecord> records) {
        handleSlice(new LogSlice(offset, records, offset + records.size()), Optional.empty());
    }

    private void recordResponse() {
        lastResponseNanos = ticker.nanos();
        retryDelay = MIN_RETRY_DELAY;
        overdueDelay = MIN_OVERDUE_DELAY;
        if (storeLost) {
            storeLost = false;
            log.event(ServingEvent.STORE_REGAINED, "partition", partition, "offset", nextOffset);
        }
    }

    private void retryLater(Throwable failure, Runnable task) {
        if (stopped) {
            return;
        }
        if (!storeLost) {
            storeLost = true;
            log.event(
                    ServingEvent.STORE_LOST,
                    "partition",
                    partition,
                    "offset",
                    nextOffset,
                    "reason",
                    StoreException.reasonOf(failure),
                    "message",
                    failure.getMessage());
        }
        timers.after(retryDelay, task);
        retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
                ? MAX_RETRY_DELAY
                : retryDelay.multipliedBy(2);
    }
}
