package dev.lavenderline.serving.store;

import dev.lavenderline.serving.workspaces.ClockReading;
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
     * Called after {@link #caughtUp} if a response of the store reached the end of the partition.
     *
     * @param asked when the read was sent; no record is missing that was written before
     */
    default void endReached(ClockReading asked) {}
}
