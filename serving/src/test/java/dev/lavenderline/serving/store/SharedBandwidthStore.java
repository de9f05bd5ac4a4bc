package dev.lavenderline.serving.store;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One node's view of a {@link FakeStore} whose reads share a bandwidth, as on the platform. A response waits in the
 * queue of all nodes' responses, then passes the node's own link. A call whose response has not begun to arrive within
 * the client's idle timeout fails, but its bytes keep their place in the queue.
 *
 * <p>A response has the content that the store had when the response entered the queue. It begins to arrive when it
 * leaves the queue, even while the link carries other responses, since connections share a link. Not thread-safe.
 */
public final class SharedBandwidthStore implements MetadataStore {
    /** Bandwidth of all reads together. */
    public static final long READ_BYTES_PER_SECOND = 80_000_000;

    /** Time without data after which the client gives up a call, on top of the wait of a long poll. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(1200);

    private static final Duration APPEND_TIME = Duration.ofMillis(2);
    private static final int MAX_PAGE_RECORDS = 500;
    private static final long MAX_PAGE_BYTES = 1_000_000;
    private static final long MAX_SLICE_BYTES = 1024 * 1024;

    /** Field names, offset and punctuation of a record in a page. */
    private static final int PAGE_RECORD_OVERHEAD_BYTES = 60;

    /** Lengths of a record and of its key in a slice. */
    private static final int SLICE_RECORD_OVERHEAD_BYTES = 5;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Line that transmits responses in the order in which they enter it. Not thread-safe. */
    private static final class Line {
        private final long bytesPerSecond;
        private long freeAtNanos;

        Line(long bytesPerSecond) {
            this.bytesPerSecond = bytesPerSecond;
        }

        /** Returns the time at which a response that enters at the given time has been transmitted. */
        long transmit(long atNanos, long bytes) {
            freeAtNanos = Math.max(freeAtNanos, atNanos) + bytes * NANOS_PER_SECOND / bytesPerSecond;
            return freeAtNanos;
        }
    }

    /** The queue of the responses of all nodes. Not thread-safe. */
    public static final class ReadQueue {
        private final Line line = new Line(READ_BYTES_PER_SECOND);
        private long bytes;
        private long abandonedBytes;
        private int timeouts;

        /** Returns the bytes of all responses, including those that no caller awaited any more. */
        public long bytes() {
            return bytes;
        }

        /** Returns the bytes of the responses that no caller awaited any more. */
        public long abandonedBytes() {
            return abandonedBytes;
        }

        /** Returns the number of calls that failed because their response had not begun to arrive. */
        public int timeouts() {
            return timeouts;
        }
    }

    private final FakeStore store;
    private final ReadQueue queue;
    private final Line link;
    private final Ticker ticker;
    private final Timers timers;
    private long bytesRead;

    /**
     * Creates the view of one node.
     *
     * @param store store of all nodes
     * @param queue queue of all nodes
     * @param linkBytesPerSecond bandwidth of the node's link
     */
    public SharedBandwidthStore(
            FakeStore store, ReadQueue queue, long linkBytesPerSecond, Ticker ticker, Timers timers) {
        this.store = store;
        this.queue = queue;
        this.link = new Line(linkBytesPerSecond);
        this.ticker = ticker;
        this.timers = timers;
    }

    /** Returns the bytes of the responses to this node's reads, including abandoned ones. */
    public long bytesRead() {
        return bytesRead;
    }

    @Override
    public Future<LogSlice> read(Partition partition, long from, Duration wait) {
        long deadlineNanos = ticker.nanos() + wait.plus(IDLE_TIMEOUT).toNanos();
        Promise<LogSlice> available = Promise.promise();
        store.read(partition, from, wait).onSuccess(available::tryComplete).onFailure(available::tryFail);
        if (!available.future().isComplete()) {
            // The fake store never ends a long poll without records.
            timers.after(wait, () -> {
                if (!available.future().isComplete()) {
                    store.read(partition, from, Duration.ZERO)
                            .onSuccess(available::tryComplete)
                            .onFailure(available::tryFail);
                }
            });
        }
        return available.future().compose(slice -> {
            LogSlice limited = limit(slice);
            return respond(limited, sliceBytes(limited.records()), deadlineNanos);
        });
    }

    @Override
    public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
        long deadlineNanos = ticker.nanos() + IDLE_TIMEOUT.toNanos();
        return store.readAt(partition, offset, bytes)
                .compose(slice -> respond(slice, sliceBytes(slice.records()), deadlineNanos));
    }

    private static LogSlice limit(LogSlice slice) {
        int count = 0;
        long bytes = 0;
        for (KeyedRecord record : slice.records()) {
            bytes += sliceBytes(record);
            if (count > 0 && bytes > MAX_SLICE_BYTES) {
                break;
            }
            count++;
        }
        return new LogSlice(slice.firstOffset(), slice.records().subList(0, count), slice.endOffset());
    }

    @Override
    public Future<KeyedPage> newest(Partition partition, String after) {
        long deadlineNanos = ticker.nanos() + IDLE_TIMEOUT.toNanos();
        return store.newest(partition, after).compose(page -> {
            List<KeyedRecord> records = new ArrayList<>();
            long bytes = 0;
            for (KeyedRecord record : page.records()) {
                long recordBytes = pageBytes(record);
                if (records.size() == MAX_PAGE_RECORDS
                        || (!records.isEmpty() && bytes + recordBytes > MAX_PAGE_BYTES)) {
                    break;
                }
                records.add(record);
                bytes += recordBytes;
            }
            boolean hasMore = page.hasMore() || records.size() < page.records().size();
            return respond(new KeyedPage(records, page.endOffset(), hasMore), bytes, deadlineNanos);
        });
    }

    @Override
    public void renewConnections() {}

    @Override
    public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
        Promise<Long> promise = Promise.promise();
        timers.after(
                APPEND_TIME, () -> store.append(partition, expectedEnd, records).onComplete(promise));
        return promise.future();
    }

    private <T> Future<T> respond(T response, long bytes, long deadlineNanos) {
        long now = ticker.nanos();
        long arrivesNanos = queue.line.transmit(now, bytes);
        queue.bytes += bytes;
        bytesRead += bytes;
        Promise<T> promise = Promise.promise();
        if (arrivesNanos > deadlineNanos) {
            queue.abandonedBytes += bytes;
            timers.after(Duration.ofNanos(deadlineNanos - now), () -> {
                queue.timeouts++;
                promise.fail(new StoreException(StoreException.Reason.UNKNOWN, "no data for " + IDLE_TIMEOUT));
            });
            return promise.future();
        }
        long endNanos = link.transmit(arrivesNanos, bytes);
        timers.after(Duration.ofNanos(endNanos - now), () -> promise.complete(response));
        return promise.future();
    }

    /** Returns the size of a record in a page: the value in base64, the key, and the fields around them. */
    private static long pageBytes(KeyedRecord record) {
        return record.value().length * 4L / 3
                + PAGE_RECORD_OVERHEAD_BYTES
                + record.key().length();
    }

    private static long sliceBytes(List<KeyedRecord> records) {
        return records.stream().mapToLong(SharedBandwidthStore::sliceBytes).sum();
    }

    private static long sliceBytes(KeyedRecord record) {
        return record.value().length + record.key().length() + SLICE_RECORD_OVERHEAD_BYTES;
    }
}
