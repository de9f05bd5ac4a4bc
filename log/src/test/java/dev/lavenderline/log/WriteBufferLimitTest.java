package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a node that runs out of memory or blocks its callers during a long outage of the log. */
class WriteBufferLimitTest extends LogFixture {
    private static final int LIMIT_BYTES = 10_000;

    private final LogWriter writer = writerBuilder("n1")
            .maxBatchBytes(1_000)
            .maxBufferedBytes(LIMIT_BYTES)
            .build();

    private List<Future<Either<LogError, Long>>> writeUntilFull() {
        List<Future<Either<LogError, Long>>> outcomes = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            Future<Either<LogError, Long>> outcome = write(writer, "v".repeat(88));
            assertTrue(writer.pendingBytes() <= LIMIT_BYTES, "pending " + writer.pendingBytes());
            clock.advance(Duration.ofMillis(1));
            if (outcome.isComplete()) {
                assertEquals(Either.left(new LogError.Overloaded()), outcome.result());
                return outcomes;
            }
            outcomes.add(outcome);
        }
        throw new AssertionError("the buffer never became full");
    }

    @Test
    void writesFailImmediatelyWhenTheBufferIsFullAndAreAcceptedAfterRecovery() {
        log.setOutage(true);
        List<Future<Either<LogError, Long>>> accepted = writeUntilFull();
        assertTrue(accepted.size() > 80, accepted.size() + " entries fit");

        log.setOutage(false);
        until(() -> writer.pendingBytes() == 0);
        assertTrue(accepted.stream().allMatch(outcome -> outcome.result().isRight()), "accepted entries are written");

        Future<Either<LogError, Long>> later = write(writer, "later");
        clock.advance(Duration.ofSeconds(1));
        assertTrue(later.result().isRight());
    }

    @Test
    void closingReportsWhichEntriesMayHaveBeenWritten() {
        log.loseResponses(1_000);
        Future<Either<LogError, Long>> sent = write(writer, "sent");
        clock.advance(Duration.ofMillis(100));
        Future<Either<LogError, Long>> queued = write(writer, "queued");

        writer.close();

        assertInstanceOf(LogError.TimedOut.class, sent.result().getLeft());
        assertInstanceOf(LogError.Unavailable.class, queued.result().getLeft());
        assertEquals(0, writer.pendingBytes());
        assertInstanceOf(
                LogError.Unavailable.class, write(writer, "late").result().getLeft());
        int appends = log.appendTimes().size();
        clock.advance(Duration.ofMinutes(1));
        assertEquals(appends, log.appendTimes().size());
    }
}
