package dev.lavenderline.serving.store;

import java.util.List;

/**
 * The newest record of each key. Immutable.
 *
 * @param records newest records in the order of the keys
 * @param end offset from which later records can be read
 */
public record KeyedState(List<KeyedRecord> records, long end) {
    public KeyedState {
        records = List.copyOf(records);
    }
}
