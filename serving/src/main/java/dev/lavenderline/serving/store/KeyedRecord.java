package dev.lavenderline.serving.store;

import java.util.Objects;

/**
 * A record of a keyed topic. The value is not copied and must not be modified.
 *
 * @param key key, at most {@value #MAX_KEY_BYTES} bytes in UTF-8
 * @param value value; empty if the record deletes the key
 */
public record KeyedRecord(String key, byte[] value) {
    /** Limit of the store on the size of a key. */
    public static final int MAX_KEY_BYTES = 255;

    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns whether the record deletes its key. */
    public boolean deletion() {
        return value.length == 0;
    }
}
