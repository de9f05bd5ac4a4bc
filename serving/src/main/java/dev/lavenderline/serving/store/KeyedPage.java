package dev.lavenderline.serving.store;

import java.util.List;

/**
 * Some of the newest records of the keys of a partition. Immutable.
 *
 * @param records newest records in the order of the keys
 * @param end end of the partition when the page was read
 * @param more whether keys after those of the page exist
 */
public record KeyedPage(List<KeyedRecord> records, long end, boolean more) {
    public KeyedPage {
        records = List.copyOf(records);
    }
}
