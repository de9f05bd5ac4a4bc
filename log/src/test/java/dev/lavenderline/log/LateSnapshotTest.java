package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against state that is reverted by an outdated snapshot, which a node writes late after a pause. */
class LateSnapshotTest extends LogFixture {
    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower follower = followerBuilder(ledger).start();

    private byte[] storeTwoValuesAndCaptureTheStateBetweenThem() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        until(() -> ledger.position() == 1);
        byte[] old = ledger.snapshot();
        log.store(RecordingLedger.batch("n1", 2, "b"));
        return old;
    }

    @Test
    void aFollowerAtTheTailIgnoresIt() {
        byte[] old = storeTwoValuesAndCaptureTheStateBetweenThem();
        log.store(RecordingLedger.snapshotPart("paused", 1, "old", 1, 0, 1, old));
        until(() -> follower.position() == 3);

        assertEquals(List.of("a", "b"), ledger.values());
        assertEquals(List.of(), ledger.restored());
    }

    @Test
    void aStartingFollowerPrefersTheNewerSnapshotAlthoughItPrecedesTheOlderOne() {
        byte[] old = storeTwoValuesAndCaptureTheStateBetweenThem();
        until(() -> ledger.position() == 2);
        log.store(RecordingLedger.snapshotPart("n2", 1, "new", 2, 0, 1, ledger.snapshot()));
        log.store(RecordingLedger.snapshotPart("paused", 1, "old", 1, 0, 1, old));
        log.expireBefore(2);

        RecordingLedger starting = new RecordingLedger();
        LogFollower startingFollower = followerBuilder(starting).start();
        until(startingFollower::isCaughtUp);

        assertEquals(List.of("a", "b"), starting.values());
        assertEquals(List.of(2L), starting.restored());
        assertEquals(2, startingFollower.newestSnapshot().orElseThrow().asOf());
    }

    @Test
    void aFollowerPastTheSnapshotDoesNotRestoreItAfterAnExpiry() {
        storeTwoValuesAndCaptureTheStateBetweenThem();
        until(() -> ledger.position() == 2);
        byte[] atTwo = ledger.snapshot();
        follower.stop();
        log.store(RecordingLedger.batch("n1", 3, "c"));
        log.store(RecordingLedger.snapshotPart("paused", 1, "old", 2, 0, 1, atTwo));
        log.expireBefore(4);

        LogFollower restarted = followerBuilder(ledger).start();
        clock.advance(Duration.ofSeconds(30));

        assertEquals(List.of(), ledger.restored());
        assertEquals(2, restarted.position());
    }
}
