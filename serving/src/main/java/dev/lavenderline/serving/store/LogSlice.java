package dev.lavenderline.serving.store;

import java.util.List;

/**
 * Records that were read. Immutable.
 *
 * @param first offset of the first record
 * @param records records without gaps, may be empty
 * @param end offset after the last record of the partition
 */
public record LogSlice(long first, List<KeyedRecord> records, long end) {
    public LogSlice {
        records = List.copyOf(records);
    }

    /** Returns the offset after the last record that was read. */
    public long next() {
        return first + records.size();
    }
}
