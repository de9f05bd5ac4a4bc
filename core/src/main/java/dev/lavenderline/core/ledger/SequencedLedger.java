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
 * Common part of the ledgers: position, log time and the detection of batches that were appended twice.
 *
 * <p>All decisions depend only on the records and their order, never on the reader's clock. The log time of a record is
 * the largest time of all records up to it, so a step back of the log's clock has no effect.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public abstract class SequencedLedger implements Ledger {
    private final WriterSequences writers = new WriterSequences();
    private long position;

    /** Folds the entries in order. Listeners are called after the last entry, when the state is consistent. */
    @Override
    public final void apply(long offset, Instant time, RecordBatch batch) {
        if (offset <= position) {
            return;
        }
        boolean isNew = writers.accept(batch.getWriter(), batch.getSequence(), time.toEpochMilli());
        position = offset;
        forget(writers.nowMs());
        if (isNew) {
            for (int i = 0; i < batch.getEntriesCount(); i++) {
                fold(offset, i, writers.nowMs(), batch.getEntries(i));
            }
        }
        folded();
    }

    @Override
    public final long position() {
        return position;
    }

    /** Returns the log time: the largest time of the folded records. */
    public final Instant logTime() {
        return Instant.ofEpochMilli(writers.nowMs());
    }

    /** Removes what has passed its retention at the log time {@code nowMs}. */
    protected abstract void forget(long nowMs);

    /** Folds one entry of the batch at {@code offset}; a void entry must leave the state unchanged. */
    protected abstract void fold(long offset, int index, long nowMs, Entry entry);

    /** Called after each record. */
    protected abstract void folded();

    /** Returns the writers for a snapshot. */
    protected final List<WriterState> writerStates() {
        return writers.states();
    }

    /** Refuses a snapshot that is not newer than the state; call before any change. */
    protected final void requireNewer(long asOf) {
        if (asOf <= position) {
            throw new IllegalArgumentException("snapshot as of " + asOf + " is not newer than position " + position);
        }
    }

    /** Takes over the position and the writers of a snapshot. */
    protected final void moveTo(long asOf, List<WriterState> states) {
        writers.restore(states);
        position = asOf;
    }

    /** Serializes with a stable order of map fields, so that equal states have equal bytes. */
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

    /** Returns a duration in milliseconds; refuses negative and zero durations. */
    protected static long positiveMillis(Duration duration, String name) {
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(name + " must be positive: " + duration);
        }
        return duration.toMillis();
    }
}
