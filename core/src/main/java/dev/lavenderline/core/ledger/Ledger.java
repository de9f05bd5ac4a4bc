package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.RecordBatch;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * State folded from one stream of the log. Every reader that folds the same records has the same state.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public interface Ledger {
    /**
     * Folds one record. Offsets must increase; a record at or below {@link #position()} is ignored, and so is a batch
     * whose sequence is not greater than the last one of its writer. Snapshot parts are ignored.
     */
    void apply(long offset, Instant time, RecordBatch batch);

    /** Returns the offset of the last folded record, 0 at the start. */
    long position();

    /** Serializes the state as of {@link #position()}. */
    byte[] snapshot();

    /**
     * Captures the state as of {@link #position()}. The supplier serializes it and may be called once on any thread, so
     * that a large state does not hold up the event loop.
     */
    default Supplier<byte[]> prepareSnapshot() {
        byte[] snapshot = snapshot();
        return () -> snapshot;
    }

    /**
     * Replaces the state by a snapshot.
     *
     * @param asOf offset of the last record that the snapshot contains; must be greater than {@link #position()}
     * @throws IllegalArgumentException if the bytes cannot be parsed
     */
    void restore(long asOf, byte[] state);
}
