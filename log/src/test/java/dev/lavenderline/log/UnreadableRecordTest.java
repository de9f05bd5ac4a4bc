package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.log.RecordBatch;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against followers that reach different states when a record is not a batch of a known version: bytes that are
 * not a batch are skipped by every follower, and a later version stops the follower.
 */
class UnreadableRecordTest extends LogFixture {
    private final RecordingLedger ledger = new RecordingLedger();

    private LogFollower start() {
        return followerBuilder(ledger).start();
    }

    private static byte[] versionTwo() {
        return RecordBatch.newBuilder()
                .setVersion(2)
                .setWriter("n1")
                .setSequence(2)
                .build()
                .toByteArray();
    }

    @Test
    void bytesThatAreNotABatchAreCountedAndSkipped() {
        byte[] whole = RecordingLedger.batch("n1", 2, "lost");
        List<byte[]> unreadable = List.of(
                new byte[0],
                new byte[] {(byte) 0xff, 1, 2, 3},
                "plain text".getBytes(java.nio.charset.StandardCharsets.UTF_8),
                Arrays.copyOf(whole, whole.length - 1),
                RecordingLedger.batch("", 1, "no writer"),
                RecordingLedger.batch("n1", 0, "no sequence"));
        log.store(RecordingLedger.batch("n1", 1, "a"));
        unreadable.forEach(log::store);
        log.store(RecordingLedger.batch("n1", 3, "b"));
        unreadable.forEach(log::store);

        LogFollower follower = start();
        until(follower::isCaughtUp);

        assertEquals(List.of("a", "b"), ledger.values());
        assertEquals(2 * unreadable.size(), follower.malformedRecords());
        assertEquals(log.nextOffset() - 1, follower.position());
        assertTrue(follower.failure().isEmpty(), "the follower continues");
    }

    @Test
    void aLaterVersionStopsTheFollowerWithAReason() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        log.store(versionTwo());
        log.store(RecordingLedger.batch("n1", 3, "c"));

        LogFollower follower = start();
        Future<PlatformError> failed = Futures.toFuture(follower.failed());
        clock.advance(Duration.ofSeconds(30));

        assertEquals(List.of("a"), ledger.values());
        assertEquals(1, follower.position());
        assertFalse(follower.isCaughtUp());
        assertEquals(
                "stream work, record 2: unknown batch version 2, this release reads version 1",
                failed.result().message());
    }

    @Test
    void aLedgerThatFailsStopsTheFollower() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        RecordingLedger failing = new RecordingLedger() {
            @Override
            public void apply(long offset, java.time.Instant time, RecordBatch batch) {
                throw new IllegalStateException("apply failed");
            }
        };
        LogFollower follower = followerBuilder(failing).start();
        clock.advance(Duration.ofSeconds(5));

        assertTrue(follower.failure().orElseThrow().message().contains("apply failed"));
        assertEquals(0, follower.position());
    }

    @Test
    void aLedgerThatFailsAfterItRestoredASnapshotStopsTheFollower() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        log.store(RecordingLedger.snapshotPart(
                "n2", 1, "s", 1, 0, 1, caughtUpLedger().snapshot()));
        log.expireBefore(2);
        RecordingLedger failing = new RecordingLedger() {
            @Override
            public void restore(long asOf, byte[] state) {
                super.restore(asOf, state);
                throw new IllegalArgumentException("listener failed");
            }
        };
        LogFollower follower = followerBuilder(failing).start();
        clock.advance(Duration.ofSeconds(5));

        assertTrue(follower.failure().orElseThrow().message().contains("listener failed"));
    }

    @Test
    void aLaterVersionBeforeAUsableSnapshotIsIgnored() {
        log.store(RecordingLedger.batch("n1", 1, "a"));
        log.store(versionTwo());
        RecordingLedger newer = new RecordingLedger();
        newer.apply(2, clock.now(), RecordBatch.newBuilder().setSequence(2).build());
        log.store(RecordingLedger.snapshotPart("n2", 1, "s", 2, 0, 1, newer.snapshot()));
        log.expireBefore(2);

        LogFollower follower = start();
        until(follower::isCaughtUp);
        assertEquals(List.of(2L), ledger.restored());
    }
}
