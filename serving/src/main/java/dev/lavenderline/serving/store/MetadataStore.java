package dev.lavenderline.serving.store;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;

/**
 * The platform's store: a log of keyed topics. Calls fail with a {@link StoreException}.
 *
 * <p>Implementations are confined to the event loop and limit the time of every call.
 */
public interface MetadataStore {
    /**
     * Reads records in offset order.
     *
     * @param from offset of the first record
     * @param wait longest time to wait for a record, zero to return at once
     */
    Future<LogSlice> read(Partition partition, long from, Duration wait);

    /**
     * Reads the record at an offset, and possibly records after it.
     *
     * @param bytes size of the record's value
     */
    Future<LogSlice> readAt(Partition partition, long offset, int bytes);

    /**
     * Reads a page of the newest records of the keys, in key order. Successive pages are not a snapshot.
     *
     * @param after key after which the page starts, empty for the first page
     */
    Future<KeyedPage> newest(Partition partition, String after);

    /**
     * Appends records atomically.
     *
     * @param expectedEnd required end offset of the partition, or {@link #ANY_END}
     * @return the offset of the first record
     */
    Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records);

    /**
     * Makes later calls use new connections, because open ones may have been lost without notice. Calls in progress go
     * on.
     */
    void renewConnections();

    /** Appends without a condition on the end offset of the partition. */
    long ANY_END = -1;
}
