package dev.lavenderline.serving.store;

import java.util.List;

/**
 * Consecutive records of a partition. Immutable.
 *
 * @param firstOffset offset of the first record
 * @param records records without gaps in their offsets, may be empty
 * @param endOffset offset after the last record of the partition
 */
public record LogSlice(long firstOffset, List<KeyedRecord> records, long endOffset) {
    public LogSlice {
        records = List.copyOf(records);
    }

    /** Returns the offset after the last record of the slice. */
    public long nextOffset() {
        return firstOffset + records.size();
    }
}
