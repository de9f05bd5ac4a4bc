package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against entries that are applied twice or never when the response to an append is lost. */
class LostResponseTest extends LogFixture {
    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower follower = followerBuilder(ledger).start();
    private final LogWriter writer = writerBuilder("n1").build();

    @Test
    void anAppendWhoseResponseWasLostIsAppliedOnce() {
        log.loseResponses(2);

        Future<Either<LogError, Long>> first = write(writer, "a");
        until(first::isComplete);
        Future<Either<LogError, Long>> second = write(writer, "b");
        until(() -> second.isComplete() && follower.position() == 4);

        assertEquals(Either.right(3L), first.result());
        assertEquals(List.of("a", "b"), ledger.values());
    }

    @Test
    void aDuplicateStoredAfterLaterBatchesIsDropped() {
        log.delayAppends(1);

        Future<Either<LogError, Long>> first = write(writer, "a");
        until(first::isComplete);
        Future<Either<LogError, Long>> second = write(writer, "b");
        until(() -> second.isComplete() && follower.position() == 3);

        assertEquals(Either.right(1L), first.result());
        assertEquals(Either.right(2L), second.result());
        assertEquals(List.of("a", "b"), ledger.values());
        assertEquals(0, follower.malformedRecords());
    }

    @Test
    void aCallersTimeoutDoesNotStopTheWriter() {
        log.setOutage(true);
        Future<Either<LogError, Long>> write = write(writer, "a");
        clock.advance(Duration.ofMinutes(10));
        assertTrue(!write.isComplete() && writer.pendingBytes() > 0, "the entry is still pending");

        log.setOutage(false);
        until(() -> ledger.values().equals(List.of("a")));
    }
}
