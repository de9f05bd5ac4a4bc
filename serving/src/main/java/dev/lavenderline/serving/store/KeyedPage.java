package dev.lavenderline.serving.store;

import java.util.List;

/**
 * A page of the newest records of a partition's keys. Immutable.
 *
 * @param records newest records in key order
 * @param endOffset offset after the last record of the partition when the page was read
 * @param hasMore whether further keys follow those of the page
 */
public record KeyedPage(List<KeyedRecord> records, long endOffset, boolean hasMore) {
    public KeyedPage {
        records = List.copyOf(records);
    }
}
