package dev.lavenderline.log;

import java.util.List;

/**
 * Result of a read.
 *
 * @param firstOffset first offset that the stream still retains
 * @param nextOffset offset of the stream's next record
 * @param records consecutive records, possibly none
 */
public record LogSlice(long firstOffset, long nextOffset, List<LogRecord> records) {
    public LogSlice {
        records = List.copyOf(records);
    }
}
