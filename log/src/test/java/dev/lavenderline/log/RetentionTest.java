package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against followers that lose state or accept a gap when records expire before they are read. */
class RetentionTest extends LogFixture {
    private final RecordingLedger full = new RecordingLedger();
    private long sequence;

    private LogFollower startFollower(RecordingLedger ledger) {
        return followerBuilder(ledger).maxBytes(100).start();
    }

    private void storeValues(int count) {
        for (int i = 0; i < count; i++) {
            sequence++;
            log.store(RecordingLedger.batch("n1", sequence, "v" + sequence));
        }
    }

    /** Stores a snapshot of all records so far, in two parts. */
    private void storeSnapshot(String id) {
        until(() -> full.position() == log.nextOffset() - 1);
        byte[] state = full.snapshot();
        long asOf = full.position();
        int half = state.length / 2;
        byte[] head = java.util.Arrays.copyOfRange(state, 0, half);
        byte[] tail = java.util.Arrays.copyOfRange(state, half, state.length);
        log.store(RecordingLedger.snapshotPart("n2", log.nextOffset(), id, asOf, 0, 2, head));
        log.store(RecordingLedger.snapshotPart("n2", log.nextOffset(), id, asOf, 1, 2, tail));
    }

    private List<String> expected() {
        List<String> values = new ArrayList<>();
        for (long i = 1; i <= sequence; i++) {
            values.add("v" + i);
        }
        return values;
    }

    @Test
    void aStartingFollowerRestoresTheNewestUsableSnapshot() {
        startFollower(full);
        storeValues(10);
        storeSnapshot("s1");
        storeValues(10);
        storeSnapshot("s2");
        storeValues(5);
        log.expireBefore(5);

        RecordingLedger ledger = new RecordingLedger();
        List<Long> reported = new ArrayList<>();
        LogFollower follower = followerBuilder(ledger)
                .listener(() -> reported.add(ledger.position()))
                .start();
        until(follower::isCaughtUp);

        assertEquals(
                List.of(22L, 29L),
                reported,
                "the listener is called after the snapshot and after the records that follow it");
        assertEquals(expected(), ledger.values());
        assertEquals(List.of(22L), ledger.restored());
        assertEquals(22, follower.newestSnapshot().orElseThrow().asOf());
    }

    @Test
    void aFollowerWhoseNextOffsetExpiredRestartsFromASnapshot() {
        startFollower(full);
        RecordingLedger ledger = new RecordingLedger();
        LogFollower stopped = startFollower(ledger);
        storeValues(10);
        until(() -> stopped.position() == 10);
        stopped.stop();
        storeValues(20);
        storeSnapshot("s1");
        storeValues(3);
        log.expireBefore(25);

        LogFollower follower = startFollower(ledger);
        until(follower::isCaughtUp);

        assertEquals(expected(), ledger.values());
        assertEquals(List.of(30L), ledger.restored());
    }

    @Test
    void aSnapshotWhoseNextRecordExpiredIsNotUsed() {
        startFollower(full);
        storeValues(10);
        storeSnapshot("s1");
        byte[] state = full.snapshot();
        storeValues(5);
        // The snapshot as of 10 is still in the log, but record 11, which follows it, has expired.
        log.store(RecordingLedger.snapshotPart("n2", log.nextOffset(), "old", 10, 0, 1, state));
        until(() -> full.position() == log.nextOffset() - 1);
        log.expireBefore(16);

        RecordingLedger ledger = new RecordingLedger();
        LogFollower follower = startFollower(ledger);
        clock.advance(Duration.ofSeconds(30));
        assertFalse(follower.isCaughtUp(), "there is no usable snapshot yet");
        assertEquals(List.of(), ledger.values());

        storeSnapshot("s2");
        until(follower::isCaughtUp);
        assertEquals(expected(), ledger.values());
    }

    @Test
    void recordsThatExpireDuringAScanRestartTheScan() {
        startFollower(full);
        storeValues(40);
        storeSnapshot("s1");
        storeValues(40);
        storeSnapshot("s2");
        log.expireBefore(20);
        RecordingLedger ledger = new RecordingLedger();
        LogFollower follower = startFollower(ledger);
        clock.advance(Duration.ofMillis(15));
        log.expireBefore(60);

        until(follower::isCaughtUp);
        assertEquals(expected(), ledger.values());
        assertEquals(List.of(82L), ledger.restored());
    }
}
