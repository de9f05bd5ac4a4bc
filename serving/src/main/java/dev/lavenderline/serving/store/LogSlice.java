package dev.lavenderline.serving.store;

import java.util.List;

/**
 * Consecutive records of a partition. Immutable.
 *
 * @param first offset of the first record
 * @param records records without gaps in their offsets, may be empty
 * @param end offset after the last record of the partition
 */
public record LogSlice(long first, List<KeyedRecord> records, long end) {
    public LogSlice {
        records = List.copyOf(records);
    }

    /** Returns the offset after the last record of the slice. */
    public long next() {
        return first + records.size();
    }
}
