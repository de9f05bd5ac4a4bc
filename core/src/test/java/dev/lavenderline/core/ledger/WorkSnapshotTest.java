package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.chunk;
import static dev.lavenderline.core.ledger.WorkEntries.claim;
import static dev.lavenderline.core.ledger.WorkEntries.complete;
import static dev.lavenderline.core.ledger.WorkEntries.failure;
import static dev.lavenderline.core.ledger.WorkEntries.republish;
import static dev.lavenderline.core.ledger.WorkEntries.result;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkSnapshotTest {
    private final WorkLedger ledger = WorkEntries.ledger();
    private final LogFixture log = new LogFixture().addReaders(ledger);

    @BeforeEach
    void fill() {
        WorkEntries.openJob(log, "j", 3);
        long claim = log.append("a", claim("j", "a", 0));
        log.append("a", complete("j", claim, result(2, "x"), failure(0, "invalid_request")));
    }

    /** Guards against a snapshot that loses results, the claim, the failure count or the writers' sequence numbers. */
    @Test
    void restoredLedgerBehavesLikeTheOriginal() {
        List<WorkEvent> events = new ArrayList<>();
        WorkLedger restored = new WorkLedger(WorkEntries.RETENTION, events::add);
        restored.restore(ledger.position(), ledger.snapshot());
        log.addReaders(restored);
        log.append(log.records().get(1).batch());
        log.append("a", complete("j", ledger.job("j").orElseThrow().claim(), result(1, ""), result(2, "")));
        assertArrayEquals(ledger.snapshot(), restored.snapshot());
        assertEquals(Job.State.COMPLETED, restored.job("j").orElseThrow().state());
        assertEquals(1, restored.job("j").orElseThrow().failed());
        assertEquals(new WorkEvent.Restored(3), events.get(0));
    }

    /** Guards against a snapshot that mixes two states because records are applied while it is serialized. */
    @Test
    void preparedSnapshotIgnoresLaterRecords() {
        byte[] expected = ledger.snapshot();
        Supplier<byte[]> prepared = ledger.prepareSnapshot();
        log.append("b", republish("j", result(2, "x")), chunk("f-j", 0, 0, 3), claim("j", "b", 2));
        log.append("b", complete("j", 4, result(1, "")));
        assertArrayEquals(expected, prepared.get());
    }

    /** Guards against an old snapshot, written by a node after a pause, that reverts the state of a reader. */
    @Test
    void snapshotThatIsNotNewerIsRejected() {
        byte[] old = ledger.snapshot();
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(ledger.position(), old));
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(ledger.position() - 1, old));
    }

    /** Guards against a corrupt snapshot that leaves a reader with a partly replaced state. */
    @Test
    void corruptSnapshotChangesNothing() {
        byte[] before = ledger.snapshot();
        for (int length = 1; length < before.length; length++) {
            byte[] truncated = Arrays.copyOf(before, length);
            try {
                new WorkLedger(WorkEntries.RETENTION, event -> {}).restore(99, truncated);
            } catch (IllegalArgumentException e) {
                assertThrows(IllegalArgumentException.class, () -> ledger.restore(99, truncated));
                assertArrayEquals(before, ledger.snapshot());
            }
        }
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(99, new byte[] {1, 2, 3}));
        assertEquals(3, ledger.position());
    }
}
