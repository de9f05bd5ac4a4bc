package dev.lavenderline.serving.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.workspaces.ClockReading;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards the start of a process that reads many pages over a link on which some calls fail, as after a power loss on
 * all hosts.
 */
class PartitionFollowerTest {
    private static final Partition PARTITION = new Partition("jobs", 0);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final List<String> delivered = new ArrayList<>();
    private String listenerFailsOn = "";
    private Error listenerError;
    private int failures;
    private int resets;
    private int caughtUp;
    private final List<Long> endAskedNanos = new ArrayList<>();
    private final PartitionFollower follower = new PartitionFollower(
            store,
            PARTITION,
            new KeyedListener() {
                @Override
                public void reset(List<KeyedRecord> current) {
                    resets++;
                    failOnRequest();
                    current.forEach(record -> delivered.add(record.key()));
                }

                @Override
                public void record(KeyedRecord newer) {
                    failOnRequest();
                    if (newer.key().equals(listenerFailsOn)) {
                        throw new IllegalStateException("record " + newer.key());
                    }
                    delivered.add(newer.key());
                }

                @Override
                public void caughtUp() {
                    caughtUp++;
                }

                @Override
                public void endReached(ClockReading asked) {
                    endAskedNanos.add(asked.nanos());
                }
            },
            time,
            time,
            (event, fields) -> failures += event == ServingEvent.UNEXPECTED ? 1 : 0,
            Duration.ofSeconds(1),
            () -> Duration.ofMillis(10));

    private void failOnRequest() {
        if (listenerError != null) {
            throw listenerError;
        }
    }

    private void append(String... keys) {
        for (String key : keys) {
            store.log(PARTITION).add(new KeyedRecord(key, new byte[] {1}));
        }
    }

    @Test
    void retriesFailedPageWithoutRereadingEarlierPages() {
        append("a", "b", "c", "d", "e");
        store.pageSize(2);
        store.failPageReads(2, 3, 5);
        Future<Void> loaded = follower.start();
        time.advance(Duration.ofSeconds(2));
        assertTrue(loaded.isComplete());
        assertEquals(List.of("a", "b", "c", "d", "e"), delivered);
        assertEquals(6, store.pageReads(), "three pages and three failures");
        assertEquals(1, resets);
    }

    @Test
    void nothingIsLoadedBeforeTheLastPage() {
        append("a", "b", "c");
        store.pageSize(2);
        store.failPageReads(2);
        follower.start();
        assertEquals(0, caughtUp);
        assertEquals(-1, follower.nextOffset());
        time.advance(Duration.ofSeconds(1));
        assertEquals(3, follower.nextOffset());
        assertTrue(caughtUp > 0);
    }

    @Test
    void deliversRecordsAppendedBetweenPages() {
        append("a", "b", "c");
        store.pageSize(2);
        store.failPageReads(2);
        follower.start();
        append("a2");
        assertFalse(delivered.contains("a2"));
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("a", "b", "c", "a2"), delivered);
    }

    /** Guards against taking what a response shows for newer than the read, and own appends for a read. */
    @Test
    void endIsKnownAsOfTheTimeAtWhichTheReadWasSent() {
        follower.start();
        long sent = time.nanos();
        time.advance(Duration.ofMillis(700));
        append("a");
        store.releasePolls();
        assertEquals(List.of(sent), endAskedNanos);
        follower.handleAppended(1, List.of(new KeyedRecord("b", new byte[] {1})));
        assertEquals(List.of("a", "b"), delivered);
        assertEquals(List.of(sent), endAskedNanos);
    }

    /** Guards against a lookup that ends in a 404 response because only the first part of the new records was read. */
    @Test
    void refreshReadsUpToTheEndOfThePartition() {
        store.holdPolls(true);
        follower.start();
        append("a", "b", "c");
        store.sliceSize(2);
        assertTrue(follower.refresh().succeeded());
        assertEquals(List.of("a", "b", "c"), delivered);
    }

    /** Guards against a follower that reads nothing more after a record that its listener could not handle. */
    @Test
    void followsOnAfterListenerHasThrown() {
        follower.start();
        listenerFailsOn = "b";
        appendLive("a");
        appendLive("b");
        appendLive("c");
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("a", "c"), delivered);
        assertEquals(3, follower.nextOffset());
    }

    private void appendLive(String key) {
        store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord(key, new byte[] {1})));
        time.advance(Duration.ofMillis(100));
    }

    /** Guards against a change that is noticed only after the time limit of a poll on a connection that is lost. */
    @Test
    void pollsOnNewConnectionWhenOverdue() {
        store.holdPolls(true);
        follower.start();
        time.advance(Duration.ofMillis(1399));
        assertEquals(0, store.renewals());
        time.advance(Duration.ofMillis(1));
        assertEquals(1, store.renewals());
        assertEquals(2, store.reads());
    }

    /** Guards against a store that answers slowly and whose answers are never used. */
    @Test
    void lateResponseOfOverduePollStillCounts() {
        store.holdPolls(true);
        follower.start();
        append("a");
        time.advance(Duration.ofMillis(1500));
        store.releasePolls();
        assertEquals(List.of("a"), delivered);
        assertEquals(1, follower.nextOffset());
    }

    private void assertAsked(Duration since) {
        assertEquals(since, follower.asked().orElseThrow().age(time));
    }

    /** Guards against an old state of the partition that counts as the state at the time of the last page. */
    @Test
    void loadOfSeveralPagesIsAskedWithTheFirst() {
        append("a", "b", "c", "d");
        store.pageSize(2);
        store.failPageReads(2);
        store.holdPolls(true);
        follower.start();
        assertTrue(follower.asked().isEmpty());
        time.advance(Duration.ofSeconds(1));
        assertEquals(4, follower.nextOffset());
        assertAsked(Duration.ofSeconds(1));
    }

    /** Guards against a poll that the store held, and records of this process, that count as of their arrival. */
    @Test
    void pollIsAskedWhenItIsSent() {
        store.holdPolls(true);
        follower.start();
        time.advance(Duration.ofMillis(900));
        follower.handleAppended(0, List.of(new KeyedRecord("a", new byte[] {1})));
        assertAsked(Duration.ofMillis(900));
        store.log(PARTITION).add(new KeyedRecord("a", new byte[] {1}));
        store.releasePolls();
        time.advance(Duration.ofMillis(10));
        assertAsked(Duration.ofMillis(910));
        time.advance(Duration.ofMillis(400));
        append("b", "c");
        assertTrue(follower.refresh().succeeded());
        assertAsked(Duration.ZERO);
    }

    /** Guards against a response that leaves out the newest records and counts as the state of the partition. */
    @Test
    void responseThatEndsBeforeThePartitionIsNotCounted() {
        store.holdPolls(true);
        follower.start();
        append("a", "b");
        store.sliceSize(1);
        time.advance(Duration.ofMillis(500));
        store.releasePolls();
        assertEquals(1, follower.nextOffset());
        assertAsked(Duration.ofMillis(500));
        time.advance(Duration.ofMillis(10));
        assertAsked(Duration.ZERO);
    }

    /** Guards against polls that pile up at an overloaded store. */
    @Test
    void overduePollsBackOff() {
        store.holdPolls(true);
        follower.start();
        time.advance(Duration.ofSeconds(20));
        assertTrue(store.reads() <= 6, store.reads() + " polls in 20 s");
        store.releasePolls();
        time.advance(Duration.ofMillis(10));
        assertEquals(1, store.waitingPolls(), "one poll follows the released ones");
    }

    /** Guards against a partition that is not followed any more after an error that is no exception. */
    @Test
    void followsOnAfterErrorOfListener() {
        List<Error> errors = List.of(new StackOverflowError(), new OutOfMemoryError(), new AssertionError());
        follower.start();
        for (Error error : errors) {
            listenerError = error;
            appendLive("bad");
            listenerError = null;
            appendLive("good");
        }
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("good", "good", "good"), delivered);
        assertEquals(6, follower.nextOffset());
        assertEquals(3, failures);
    }

    /** Guards against a process that follows nothing since it started while an odd record was the newest of its key. */
    @Test
    void followsOnAfterErrorAtTheStart() {
        append("bad");
        listenerError = new StackOverflowError();
        Future<Void> loaded = follower.start();
        time.advance(Duration.ofSeconds(1));
        assertTrue(loaded.isComplete());
        listenerError = null;
        appendLive("good");
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("good"), delivered);
    }
}
