package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against writers and followers that give up, reorder entries or do not recover after an outage of the log. */
class OutageTest extends LogFixture {
    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower follower = followerBuilder(ledger).start();
    private final LogWriter writer = writerBuilder("n1").build();

    @Test
    void entriesWrittenDuringAnOutageArriveInOrderAfterIt() {
        until(follower::isCaughtUp);
        log.setOutage(true);
        List<String> written = new ArrayList<>();
        List<Future<Either<LogError, Long>>> outcomes = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            written.add("v" + i);
            outcomes.add(Futures.toFuture(writer.write(RecordingLedger.entry("v" + i))));
            clock.advance(Duration.ofSeconds(18));
        }
        assertTrue(outcomes.stream().noneMatch(Future::isComplete), "no write is acknowledged during the outage");

        log.setOutage(false);
        // The maximum backoff is 2 s for the writer and 0.5 s for the follower.
        clock.advance(Duration.ofSeconds(3));

        assertTrue(outcomes.stream().allMatch(outcome -> outcome.result().isRight()), "all writes are acknowledged");
        assertEquals(written, ledger.values());
    }

    @Test
    void theTailAgeGrowsDuringAnOutageAndDropsSoonAfterIt() {
        until(follower::isCaughtUp);
        log.setOutage(true);
        clock.advance(Duration.ofSeconds(30));
        assertTrue(tailAge().compareTo(Duration.ofSeconds(28)) > 0, "tail age " + tailAge());

        log.setOutage(false);
        clock.advance(Duration.ofMillis(600));
        assertTrue(tailAge().compareTo(Duration.ofMillis(600)) < 0, "tail age " + tailAge());
    }

    @Test
    void failedReadsAreRetriedWithABackoff() {
        log.setOutage(true);
        int before = log.reads();
        clock.advance(Duration.ofMinutes(1));

        assertTrue(log.reads() - before <= 60 * 3, (log.reads() - before) + " reads in a minute");
    }

    private Duration tailAge() {
        return Duration.ofNanos(clock.nanos() - follower.lastTailRead().orElseThrow());
    }
}
