package dev.lavenderline.core.ledger;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.proto.log.WriterState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Base class of the ledgers: tracks the position and the log time, and skips batches that were appended twice.
 *
 * <p>The state depends only on the records and their order, never on the reader's clock. The log time of a record is
 * the largest time of all records up to it, so it does not decrease when the log's clock steps back.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public abstract class SequencedLedger implements Ledger {
    private final WriterSequences writers = new WriterSequences();
    private long position;

    /** Applies the entries in order. Listeners are called after the last entry, when the state is consistent. */
    @Override
    public final void apply(long offset, Instant time, RecordBatch batch) {
        if (offset <= position) {
            return;
        }
        boolean isNew = writers.accept(batch.getWriter(), batch.getSequence(), time.toEpochMilli());
        position = offset;
        removeExpired(writers.logTimeMs());
        if (isNew) {
            for (int i = 0; i < batch.getEntriesCount(); i++) {
                applyEntry(offset, i, writers.logTimeMs(), batch.getEntries(i));
            }
        }
        recordApplied();
    }

    @Override
    public final long position() {
        return position;
    }

    /** Returns the log time: the largest time of the applied records. */
    public final Instant logTime() {
        return Instant.ofEpochMilli(writers.logTimeMs());
    }

    /** Removes state whose retention has passed at the log time {@code logTimeMs}. */
    protected abstract void removeExpired(long logTimeMs);

    /** Applies one entry of the batch at {@code offset}; an invalid entry must leave the state unchanged. */
    protected abstract void applyEntry(long offset, int index, long logTimeMs, Entry entry);

    /** Called after each record, also if its batch was a duplicate. Delivers the events to the listener. */
    protected abstract void recordApplied();

    /** Returns the last sequence of each writer, for a snapshot. */
    protected final List<WriterState> writerStates() {
        return writers.states();
    }

    /**
     * Checks that a snapshot is newer than the state; call before any change.
     *
     * @throws IllegalArgumentException if it is not
     */
    protected final void requireNewer(long asOf) {
        if (asOf <= position) {
            throw new IllegalArgumentException("snapshot as of " + asOf + " is not newer than position " + position);
        }
    }

    /** Replaces the position and the writers with those of a snapshot. */
    protected final void restorePosition(long asOf, List<WriterState> states) {
        writers.restore(states);
        position = asOf;
    }

    /** Serializes with map entries in a fixed order, so that equal states have equal bytes. */
    protected static byte[] serialize(MessageLite message) {
        byte[] bytes = new byte[message.getSerializedSize()];
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.useDeterministicSerialization();
        try {
            message.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes;
    }

    /**
     * Converts a duration to milliseconds.
     *
     * @throws IllegalArgumentException if it is zero or negative
     */
    protected static long positiveMillis(Duration duration, String name) {
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(name + " must be positive: " + duration);
        }
        return duration.toMillis();
    }
}
