package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against gaps and double folding when a reader takes records from a peer while the log does not answer. */
class PeerRecordsTest extends LogFixture {
    private final RecordingLedger peerLedger = new RecordingLedger();
    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower peer = reader(peerLedger).recentBytes(400).start();
    private final LogFollower follower = reader(ledger).start();

    @Test
    void aReaderWithoutTheLogFollowsThePeerAndGoesOnFromThere() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        until(() -> follower.position() == 1 && peer.position() == 1);
        follower.stop();
        RecordingLedger cutOff = freshReader();
        LogFollower waiting = reader(cutOff).start();
        log.store(RecordingLedger.batch("n1", 2, "b"));
        log.store(new byte[] {(byte) 0xff});
        log.store(RecordingLedger.batch("n1", 3, "c"));
        until(() -> peer.position() == 4);
        log.outage(true);

        LogFollower late = reader(new RecordingLedger()).start();
        assertEquals(0, late.fold(peer.recent(3)), "a gap is not accepted");
        waiting.fold(peer.recent(2));
        assertEquals(0, waiting.fold(peer.recent(1)), "records are folded once");
        assertEquals(List.of("a", "b", "c"), cutOff.values());

        log.outage(false);
        log.store(RecordingLedger.batch("n1", 4, "d"));
        until(() -> waiting.position() == 5);
        assertEquals(List.of("a", "b", "c", "d"), cutOff.values());
    }

    @Test
    void aPeersRecordsEndTheSearchForASnapshot() {
        RecordingLedger behind = new RecordingLedger();
        LogFollower waiting = reader(behind).start();
        log.store(RecordingLedger.batch("n1", 1, "a"));
        until(() -> waiting.position() == 1);
        waiting.stop();
        log.store(RecordingLedger.batch("n1", 2, "b"));
        log.store(RecordingLedger.batch("n1", 3, "c"));
        until(() -> peer.position() == 3);
        log.expireBefore(3);
        LogFollower searching = reader(behind).start();
        clock.advance(Duration.ofSeconds(3));
        assertEquals(1, searching.position());

        // The read of the search that is under way starts at 4; record 3 must not be skipped.
        assertEquals(1, searching.fold(peer.recent(2).subList(0, 1)));
        log.store(RecordingLedger.batch("n1", 4, "d"));
        until(() -> searching.position() == 4);
        assertEquals(List.of("a", "b", "c", "d"), behind.values());
    }

    @Test
    void onlyRecordsWithinTheLimitAreKept() {
        for (int i = 1; i <= 50; i++) {
            log.store(RecordingLedger.batch("n1", i, "v" + i));
        }
        until(() -> peer.position() == 50);

        assertEquals(List.of(), peer.recent(1));
        assertEquals(
                List.of(48L, 49L, 50L),
                peer.recent(48).stream().map(LogRecord::offset).toList());
    }
}
