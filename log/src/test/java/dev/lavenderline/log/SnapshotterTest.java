package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against state that expires because no snapshot was written, and against needless snapshots. */
class SnapshotterTest extends LogFixture {
    private static final Duration RETENTION = Duration.ofHours(1);

    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower follower = followerBuilder(ledger).start();
    private final LogWriter writer = writerBuilder("n1").build();
    private boolean isWriter = true;
    private final Snapshotter snapshotter = new Snapshotter(follower, writer, clock, clock, RETENTION, () -> isWriter);
    private long sequence;

    private void storeValue() {
        sequence++;
        log.store(RecordingLedger.batch("other", sequence, "v" + sequence));
    }

    private long appends() {
        return writer.appends();
    }

    @Test
    void aSnapshotIsWrittenAfterAQuarterOfTheRetentionTime() {
        snapshotter.start();
        storeValue();
        clock.advance(RETENTION.dividedBy(4).minusSeconds(5));
        assertEquals(0, appends());

        clock.advance(Duration.ofSeconds(10));
        assertEquals(1, appends());
        assertEquals(1, follower.newestSnapshot().orElseThrow().asOf());
    }

    @Test
    void aSnapshotIsWrittenAfterManyRecords() {
        snapshotter.start();
        for (int i = 0; i < 20_001; i++) {
            storeValue();
        }
        clock.advance(Duration.ofSeconds(60));

        assertTrue(appends() >= 1, "a snapshot was written");
        assertEquals(20_001, follower.newestSnapshot().orElseThrow().asOf());
    }

    @Test
    void anIdleStreamGetsANewSnapshotOnlyBeforeTheLastOneExpires() {
        snapshotter.start();
        storeValue();
        for (int hour = 0; hour < 24; hour++) {
            clock.advance(RETENTION);
            // Expires the records that are older than the retention time.
            for (long offset = log.firstOffset(); offset < log.nextOffset(); offset++) {
                if (log.time(offset).isBefore(clock.now().minus(RETENTION))) {
                    log.expireBefore(offset + 1);
                }
            }
        }
        assertTrue(appends() <= 24 * 2 + 1, appends() + " snapshots in 24 retention times");

        RecordingLedger starting = caughtUpLedger();
        assertEquals(List.of("v1"), starting.values());
    }

    @Test
    void anEmptyStreamGetsNoSnapshot() {
        snapshotter.start();
        clock.advance(RETENTION.multipliedBy(3));

        assertEquals(0, appends());
    }

    @Test
    void onlyTheDesignatedNodeWritesSnapshots() {
        isWriter = false;
        snapshotter.start();
        storeValue();
        clock.advance(RETENTION);
        assertEquals(0, appends());

        isWriter = true;
        clock.advance(Duration.ofSeconds(2));
        assertEquals(1, appends());
    }

    @Test
    void aLargeStateIsWrittenInPartsAndRestored() {
        String large = "x".repeat(100_000);
        for (int i = 0; i < 10; i++) {
            sequence++;
            log.store(RecordingLedger.batch("other", sequence, i + large));
        }
        snapshotter.start();
        clock.advance(RETENTION.dividedBy(3));
        assertEquals(4, appends());
        for (long offset = 11; offset < log.nextOffset(); offset++) {
            assertTrue(log.size(offset) <= (256 << 10) + 1024, "part of " + log.size(offset) + " bytes");
        }

        log.expireBefore(11);
        RecordingLedger starting = caughtUpLedger();
        assertEquals(ledger.values(), starting.values());
    }

    @Test
    void recordsAppliedDuringTheSerializationAreNotInTheSnapshot() {
        Promise<byte[]> serialized = Promise.promise();
        List<byte[]> states = new ArrayList<>();
        new Snapshotter(follower, writer, clock, clock, RETENTION, () -> true, task -> {
                    states.add(task.get());
                    return Futures.toUni(serialized.future());
                })
                .start();
        storeValue();
        clock.advance(RETENTION.dividedBy(3));
        storeValue();
        clock.advance(RETENTION);
        assertEquals(0, appends());
        assertEquals(1, states.size(), "one snapshot is serialized at a time");

        serialized.complete(states.get(0));
        clock.advance(Duration.ofSeconds(1));
        assertEquals(1, follower.newestSnapshot().orElseThrow().asOf());
        log.expireBefore(2);
        assertEquals(List.of("v1", "v2"), caughtUpLedger().values());
    }

    @Test
    void aFailedSerializationIsRetried() {
        List<byte[]> failures = new ArrayList<>();
        new Snapshotter(follower, writer, clock, clock, RETENTION, () -> true, task -> {
                    if (failures.size() < 2) {
                        failures.add(task.get());
                        return Uni.createFrom().failure(new IllegalStateException("no memory"));
                    }
                    return Uni.createFrom().item(task);
                })
                .start();
        storeValue();
        clock.advance(RETENTION.dividedBy(3));

        assertEquals(2, failures.size());
        assertEquals(1, appends());
    }
}
