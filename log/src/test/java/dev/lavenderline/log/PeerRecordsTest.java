package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against gaps and duplicates when a follower takes records from a peer while the log is unavailable. */
class PeerRecordsTest extends LogFixture {
    private final RecordingLedger peerLedger = new RecordingLedger();
    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower peer =
            followerBuilder(peerLedger).maxRecentBytes(400).start();
    private final LogFollower follower = followerBuilder(ledger).start();

    @Test
    void aFollowerWithoutTheLogAppliesThePeersRecordsAndContinuesFromThere() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        until(() -> follower.position() == 1 && peer.position() == 1);
        follower.stop();
        RecordingLedger offlineLedger = caughtUpLedger();
        LogFollower offline = followerBuilder(offlineLedger).start();
        log.store(RecordingLedger.batch("n1", 2, "b"));
        log.store(new byte[] {(byte) 0xff});
        log.store(RecordingLedger.batch("n1", 3, "c"));
        until(() -> peer.position() == 4);
        log.setOutage(true);

        LogFollower late = followerBuilder(new RecordingLedger()).start();
        assertEquals(0, late.apply(peer.recentRecords(3)), "a gap is not accepted");
        offline.apply(peer.recentRecords(2));
        assertEquals(0, offline.apply(peer.recentRecords(1)), "records are applied once");
        assertEquals(List.of("a", "b", "c"), offlineLedger.values());

        log.setOutage(false);
        log.store(RecordingLedger.batch("n1", 4, "d"));
        until(() -> offline.position() == 5);
        assertEquals(List.of("a", "b", "c", "d"), offlineLedger.values());
    }

    @Test
    void aPeersRecordsEndTheScanForASnapshot() {
        RecordingLedger laggingLedger = new RecordingLedger();
        LogFollower stopped = followerBuilder(laggingLedger).start();
        log.store(RecordingLedger.batch("n1", 1, "a"));
        until(() -> stopped.position() == 1);
        stopped.stop();
        log.store(RecordingLedger.batch("n1", 2, "b"));
        log.store(RecordingLedger.batch("n1", 3, "c"));
        until(() -> peer.position() == 3);
        log.expireBefore(3);
        LogFollower scanning = followerBuilder(laggingLedger).start();
        clock.advance(Duration.ofSeconds(3));
        assertEquals(1, scanning.position());

        // The read of the scan that is in flight starts at 4; record 3 must not be skipped.
        assertEquals(1, scanning.apply(peer.recentRecords(2).subList(0, 1)));
        log.store(RecordingLedger.batch("n1", 4, "d"));
        until(() -> scanning.position() == 4);
        assertEquals(List.of("a", "b", "c", "d"), laggingLedger.values());
    }

    @Test
    void onlyRecordsWithinTheLimitAreBuffered() {
        for (int i = 1; i <= 50; i++) {
            log.store(RecordingLedger.batch("n1", i, "v" + i));
        }
        until(() -> peer.position() == 50);

        assertEquals(List.of(), peer.recentRecords(1));
        assertEquals(
                List.of(48L, 49L, 50L),
                peer.recentRecords(48).stream().map(LogRecord::offset).toList());
    }
}
