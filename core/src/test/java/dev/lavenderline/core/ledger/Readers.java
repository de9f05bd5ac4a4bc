package dev.lavenderline.core.ledger;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.lavenderline.proto.log.RecordBatch;
import java.util.List;
import java.util.function.Supplier;

/** Several readers of one log whose states must be equal after each record. */
public final class Readers<L extends Ledger> {
    private final Supplier<L> create;
    private final LogFixture log;
    private final L fromStart;
    private final L second;
    private final L lagging;
    private L restored;
    private long oldAsOf;
    private byte[] oldSnapshot;

    /** Creates the readers; {@code fromStart} applies every record, {@code create} creates the other ledgers. */
    public Readers(LogFixture log, L fromStart, Supplier<L> create) {
        this.log = log;
        this.create = create;
        this.fromStart = fromStart;
        this.second = create.get();
        this.lagging = create.get();
        this.restored = create.get();
    }

    /** Appends a batch, applies it to all readers but the lagging one, and compares their states. */
    public long append(RecordBatch batch) {
        long offset = log.append(batch);
        log.catchUp(fromStart);
        byte[] expected = fromStart.snapshot();
        assertArrayEquals(expected, log.catchUp(second).snapshot(), "two readers of the same records differ");
        assertArrayEquals(expected, log.catchUp(restored).snapshot(), "a restored reader differs from the first one");
        assertEquals(offset, restored.position());
        return offset;
    }

    /** Returns the reader from the start and a restored one; both must return the same results. */
    public List<L> readers() {
        return List.of(fromStart, restored);
    }

    /** Restores a new and a lagging reader from a snapshot, and checks that the lagging one rejects an older one. */
    public void restore() {
        long asOf = fromStart.position();
        byte[] snapshot = fromStart.snapshot();
        restored = create.get();
        restored.restore(asOf, snapshot);
        if (lagging.position() < asOf) {
            lagging.restore(asOf, snapshot);
        }
        assertArrayEquals(snapshot, lagging.snapshot(), "a lagging reader differs after a restore");
        if (oldSnapshot != null) {
            assertThrows(IllegalArgumentException.class, () -> lagging.restore(oldAsOf, oldSnapshot));
        }
        oldAsOf = asOf;
        oldSnapshot = snapshot;
    }
}
