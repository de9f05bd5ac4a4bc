package dev.lavenderline.serving.store;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;

/**
 * The platform's store: a log of keyed topics. Failures are {@link StoreException}.
 *
 * <p>Implementations are confined to the event loop, and every call ends within a time limit of their own.
 */
public interface MetadataStore {
    /**
     * Reads records in the order of their offsets.
     *
     * @param from first offset
     * @param wait longest time to wait for a record, zero to answer at once
     */
    Future<LogSlice> read(Partition partition, long from, Duration wait);

    /**
     * Reads newest records of keys in the order of the keys. Pages are read one after the other and are not a snapshot.
     *
     * @param after key after which the page begins, empty for the first page
     */
    Future<KeyedPage> newest(Partition partition, String after);

    /**
     * Appends records, all or none.
     *
     * @param expectedEnd offset at which the partition has to end, or {@link #ANY_END}
     * @return the end of the partition after the append
     */
    Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records);

    /** No condition on the end of the partition. */
    long ANY_END = -1;
}
