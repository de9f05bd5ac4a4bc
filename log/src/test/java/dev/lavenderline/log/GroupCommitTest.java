package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vertx.core.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a node that exceeds its share of the log's append rate or delays entries needlessly. */
class GroupCommitTest extends LogFixture {
    private static final int APPENDS_PER_SECOND = 30;
    private static final int BURST = 10;

    private final AppendBudget budget = new AppendBudget(clock, APPENDS_PER_SECOND, BURST);
    private final LogWriter work = writer("n1/work", Duration.ofMillis(50));
    private final LogWriter calls = writer("n1/calls", Duration.ofMillis(2));

    private LogWriter writer(String name, Duration linger) {
        return writerBuilder(name).linger(linger).budget(budget).build();
    }

    private List<String> appliedValues() {
        RecordingLedger ledger = new RecordingLedger();
        LogFollower follower = followerBuilder(ledger).start();
        until(follower::isCaughtUp);
        follower.stop();
        return ledger.values();
    }

    private void assertWithinBudget(int appendsPerSecond, int burst) {
        List<Instant> times = log.appendTimes();
        for (int i = 0; i < times.size(); i++) {
            Instant end = times.get(i).plusSeconds(1);
            long count = times.subList(i, times.size()).stream()
                    .filter(time -> time.isBefore(end))
                    .count();
            // Latencies of 1 to 3 ms can move one more append into the window.
            assertTrue(count <= appendsPerSecond + burst + 1, count + " appends in the second from " + times.get(i));
        }
    }

    @Test
    void twoBusyWritersShareTheBudgetAndLoseNothing() {
        List<String> written = new ArrayList<>();
        for (int step = 0; step < 5_000; step++) {
            written.add("w" + step);
            (step % 3 == 0 ? calls : work).write(RecordingLedger.entry("w" + step));
            clock.advance(Duration.ofMillis(1));
        }
        until(() -> work.pendingBytes() + calls.pendingBytes() == 0);

        assertWithinBudget(APPENDS_PER_SECOND, BURST);
        List<String> applied = new ArrayList<>(appliedValues());
        Collections.sort(applied);
        Collections.sort(written);
        assertEquals(written, applied);
    }

    @Test
    void retriesCountAgainstTheBudget() {
        LogWriter slow =
                writerBuilder("n2").budget(new AppendBudget(clock, 1, 1)).build();
        log.setOutage(true);
        write(slow, "a");
        clock.advance(Duration.ofMinutes(1));
        log.setOutage(false);
        until(() -> slow.pendingBytes() == 0);

        assertTrue(log.appendTimes().size() > 20, "attempts were retried");
        assertWithinBudget(1, 1);
    }

    @Test
    void writesInResponseToAnAcknowledgementShareABatch() {
        LogWriter eager = writerBuilder("n2").linger(Duration.ZERO).build();
        for (int i = 0; i < 20; i++) {
            eager.write(RecordingLedger.entry("a" + i)).subscribe().with(outcome -> write(eager, "b"));
        }
        clock.advance(Duration.ofSeconds(1));

        // Batches: the first entry; the 19 queued during its append with its follow-up; the follow-ups of these 19.
        assertEquals(3, log.appendTimes().size());
    }

    @Test
    void aSingleEntryWaitsOnlyForTheLingerTime() {
        clock.advance(Duration.ofSeconds(1));
        Instant start = clock.now();
        work.write(RecordingLedger.entry("a"));
        clock.advance(Duration.ofMillis(30));
        work.write(RecordingLedger.entry("b"));
        clock.advance(Duration.ofSeconds(1));

        assertEquals(1, log.appendTimes().size());
        Duration waited = Duration.between(start, log.appendTimes().get(0));
        assertTrue(waited.toMillis() >= 50 && waited.toMillis() <= 54, "waited " + waited);
    }

    @Test
    void flushDoesNotWaitForTheLingerTime() {
        work.write(RecordingLedger.entry("a"));
        Future<Void> flushed = Futures.toFuture(work.flush());
        clock.advance(Duration.ofMillis(7));

        assertTrue(flushed.isComplete());
        assertEquals(0, work.pendingBytes());
    }

    @Test
    void aListThatFitsIsOneBatchAndALargerOneIsSplit() {
        LogWriter small = writerBuilder("n2").maxBatchBytes(100).build();
        String filler = "x".repeat(30);
        small.write(RecordingLedger.entry("first" + filler));
        Future<Either<LogError, Long>> pair = Futures.toFuture(
                small.write(List.of(RecordingLedger.entry("a" + filler), RecordingLedger.entry("b" + filler))));
        Future<Either<LogError, Long>> triple = Futures.toFuture(small.write(List.of(
                RecordingLedger.entry("c" + filler),
                RecordingLedger.entry("d" + filler),
                RecordingLedger.entry("e" + filler))));
        clock.advance(Duration.ofSeconds(1));

        // The pair is not split, so it does not fit into the first entry's batch.
        assertEquals(Either.right(2L), pair.result());
        assertEquals(Either.right(4L), triple.result());
        assertEquals(6, appliedValues().size());
    }

    @Test
    void anEntryLargerThanARecordIsRejected() {
        Future<Either<LogError, Long>> outcome =
                Futures.toFuture(work.write(RecordingLedger.entry("x".repeat(LogWriter.MAX_ENTRY_BYTES))));

        assertTrue(outcome.result().getLeft() instanceof LogError.Rejected);
        assertEquals(0, work.pendingBytes());
    }
}
