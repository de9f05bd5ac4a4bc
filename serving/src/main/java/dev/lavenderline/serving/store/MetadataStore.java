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

    /** Reads the newest record of each key. The pages that it consists of are not a snapshot. */
    Future<KeyedState> newest(Partition partition);

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
