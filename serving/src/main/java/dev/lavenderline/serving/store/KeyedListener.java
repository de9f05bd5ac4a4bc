package dev.lavenderline.serving.store;

import java.util.List;

/** Receives the records of a partition. Called on the event loop. */
public interface KeyedListener {
    /** Handles the newest record of each key; keys that are not in the list no longer exist. */
    void reset(List<KeyedRecord> current);

    /** Handles a record that is newer than all previous ones. */
    void record(KeyedRecord newer);

    /** Called after each response of the store, once all its records have been handled. */
    default void caughtUp() {}

    /**
     * Called after {@link #caughtUp} if the response reached the end of the partition, so that no record is missing.
     */
    default void endReached() {}
}
