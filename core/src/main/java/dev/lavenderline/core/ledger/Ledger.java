package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.RecordBatch;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * State built by applying the records of one log stream in order. Readers that have applied the same records have equal
 * states.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public interface Ledger {
    /**
     * Applies one record. Offsets must increase. Ignores records at or below {@link #position()}, batches whose
     * sequence number is not greater than the last one of their writer, and snapshot parts.
     */
    void apply(long offset, Instant time, RecordBatch batch);

    /** Returns the offset of the last applied record, 0 if there is none. */
    long position();

    /** Serializes the state as of {@link #position()}. */
    byte[] snapshot();

    /**
     * Copies the state as of {@link #position()}. The supplier serializes the copy; it may be called once, on any
     * thread, so that a large state does not block the event loop.
     */
    default Supplier<byte[]> prepareSnapshot() {
        byte[] snapshot = snapshot();
        return () -> snapshot;
    }

    /**
     * Replaces the state with a snapshot.
     *
     * @param asOf offset of the last record that the snapshot contains; must be greater than {@link #position()}
     * @throws IllegalArgumentException if the bytes cannot be parsed
     */
    void restore(long asOf, byte[] state);
}
