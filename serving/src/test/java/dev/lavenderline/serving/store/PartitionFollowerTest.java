package dev.lavenderline.serving.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards the start of a process that reads many pages over a link on which some calls fail, as after a loss of power at
 * all hosts of gatewright-line-grown.
 */
class PartitionFollowerTest {
    private static final Partition PARTITION = new Partition("jobs", 0);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final List<String> read = new ArrayList<>();
    private int resets;
    private int caughtUp;
    private final PartitionFollower follower = new PartitionFollower(
            store,
            PARTITION,
            new KeyedListener() {
                @Override
                public void reset(List<KeyedRecord> current) {
                    resets++;
                    current.forEach(record -> read.add(record.key()));
                }

                @Override
                public void record(KeyedRecord newer) {
                    read.add(newer.key());
                }

                @Override
                public void caughtUp() {
                    caughtUp++;
                }
            },
            time,
            time,
            EventLog.NONE,
            Duration.ofSeconds(1),
            () -> Duration.ofMillis(10));

    private void records(String... keys) {
        for (String key : keys) {
            store.log(PARTITION).add(new KeyedRecord(key, new byte[] {1}));
        }
    }

    @Test
    void failedPageIsReadAgainWithoutThePagesBefore() {
        records("a", "b", "c", "d", "e");
        store.pageSize(2);
        store.failPages(2, 3, 5);
        Future<Void> loaded = follower.start();
        time.advance(Duration.ofSeconds(2));
        assertTrue(loaded.isComplete());
        assertEquals(List.of("a", "b", "c", "d", "e"), read);
        assertEquals(6, store.pages(), "three pages and three failures");
        assertEquals(1, resets);
    }

    @Test
    void nothingCountsAsReadBeforeTheLastPage() {
        records("a", "b", "c");
        store.pageSize(2);
        store.failPages(2);
        follower.start();
        assertEquals(0, caughtUp);
        assertEquals(-1, follower.next());
        time.advance(Duration.ofSeconds(1));
        assertEquals(3, follower.next());
        assertTrue(caughtUp > 0);
    }

    @Test
    void recordsThatCameWhileThePagesWereReadAreNotMissed() {
        records("a", "b", "c");
        store.pageSize(2);
        store.failPages(2);
        follower.start();
        records("a2");
        assertFalse(read.contains("a2"));
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("a", "b", "c", "a2"), read);
    }
}
