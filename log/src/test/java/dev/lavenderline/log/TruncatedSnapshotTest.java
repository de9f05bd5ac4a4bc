package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against restoring a snapshot that is incomplete or corrupt. */
class TruncatedSnapshotTest extends LogFixture {
    private byte[] stateAtTwo;
    private byte[] stateAtThree;

    @BeforeEach
    void storeValuesAndAnIntactSnapshot() {
        RecordingLedger ledger = new RecordingLedger();
        LogFollower follower = followerBuilder(ledger).start();
        log.store(RecordingLedger.batch("n1", 1, "a"));
        log.store(RecordingLedger.batch("n1", 2, "b"));
        until(() -> ledger.position() == 2);
        stateAtTwo = ledger.snapshot();
        log.store(RecordingLedger.batch("n1", 3, "c"));
        until(() -> ledger.position() == 3);
        stateAtThree = ledger.snapshot();
        follower.stop();
        log.store(RecordingLedger.snapshotPart("n2", 1, "good", 2, 0, 1, stateAtTwo));
    }

    private RecordingLedger ledgerAfterExpiry() {
        log.expireBefore(2);
        return caughtUpLedger();
    }

    private void assertRestoredFromTheIntactSnapshot(RecordingLedger ledger) {
        assertEquals(List.of(2L), ledger.restored());
        assertEquals(List.of("a", "b", "c"), ledger.values());
    }

    @Test
    void aSnapshotWithoutItsLastPartIsIgnored() {
        byte[] half = Arrays.copyOf(stateAtThree, stateAtThree.length / 2);
        log.store(RecordingLedger.snapshotPart("n3", 1, "part", 3, 0, 2, half));

        assertRestoredFromTheIntactSnapshot(ledgerAfterExpiry());
    }

    @Test
    void aSnapshotThatCannotBeParsedIsSkippedForAnOlderOne() {
        byte[] truncated = Arrays.copyOf(stateAtThree, stateAtThree.length - 1);
        log.store(RecordingLedger.snapshotPart("n3", 1, "truncated", 3, 0, 1, truncated));

        assertRestoredFromTheIntactSnapshot(ledgerAfterExpiry());
    }

    @Test
    void partsOfDifferentSnapshotsAreNotMixed() {
        byte[] half = Arrays.copyOf(stateAtThree, stateAtThree.length / 2);
        byte[] rest = Arrays.copyOfRange(stateAtThree, half.length, stateAtThree.length);
        log.store(RecordingLedger.snapshotPart("n3", 1, "x", 3, 0, 2, half));
        log.store(RecordingLedger.snapshotPart("n4", 1, "y", 3, 1, 2, rest));
        log.store(RecordingLedger.snapshotPart("n3", 2, "x", 3, 1, 3, rest));

        assertRestoredFromTheIntactSnapshot(ledgerAfterExpiry());
    }

    @Test
    void aSnapshotOfAnotherStreamOrOfTheFutureIsIgnored() {
        log.store(RecordingLedger.snapshotPart("n3", 1, "future", 900, 0, 1, stateAtThree));

        assertRestoredFromTheIntactSnapshot(ledgerAfterExpiry());
    }

    @Test
    void partsThatAreRepeatedOrInterleavedCompleteTheirSnapshots() {
        byte[] half = Arrays.copyOf(stateAtThree, stateAtThree.length / 2);
        byte[] rest = Arrays.copyOfRange(stateAtThree, half.length, stateAtThree.length);
        log.store(RecordingLedger.snapshotPart("n3", 1, "x", 3, 0, 2, half));
        log.store(RecordingLedger.snapshotPart("n4", 1, "y", 2, 0, 2, new byte[0]));
        log.store(RecordingLedger.snapshotPart("n3", 1, "x", 3, 0, 2, half));
        log.store(RecordingLedger.snapshotPart("n3", 2, "x", 3, 1, 2, rest));

        RecordingLedger ledger = ledgerAfterExpiry();
        assertEquals(List.of(3L), ledger.restored());
        assertEquals(List.of("a", "b", "c"), ledger.values());
    }
}
