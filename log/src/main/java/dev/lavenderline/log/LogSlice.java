package dev.lavenderline.log;

import java.util.List;

/**
 * The answer to a read.
 *
 * @param firstOffset first offset that the stream still keeps
 * @param nextOffset offset that the stream's next record will get
 * @param records consecutive records, possibly none
 */
public record LogSlice(long firstOffset, long nextOffset, List<LogRecord> records) {
    public LogSlice {
        records = List.copyOf(records);
    }
}
