package dev.lavenderline.serving.store;

import java.util.List;

/** Receives the records of a partition. Called on the event loop. */
public interface KeyedListener {
    /** Handles the newest record of each key; keys that are missing do not exist any more. */
    void reset(List<KeyedRecord> current);

    /** Handles a record that is newer than all before. */
    void record(KeyedRecord newer);

    /** Called after each answer of the store, when all its records have been handled. */
    default void caughtUp() {}
}
