package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a follower that treats an outdated response as the current tail, so that a cancelled item starts. */
class TailAgeTest extends LogFixture {
    private final RecordingLedger ledger = new RecordingLedger();
    private final LogFollower follower =
            followerBuilder(ledger).pollWait(Duration.ofMillis(300)).start();

    @Test
    void theAgeStaysBelowTheWaitPlusARoundTripWhileTheLogIsAvailable() {
        until(follower::isCaughtUp);
        long sequence = 0;
        for (int step = 0; step < 2000; step++) {
            if (step % 97 == 0) {
                log.store(RecordingLedger.batch("n1", ++sequence, "v" + sequence));
            }
            clock.advance(Duration.ofMillis(5));
            assertTrue(tailAge().compareTo(Duration.ofMillis(330)) < 0, "tail age " + tailAge() + " at step " + step);
        }
        assertEquals(sequence, ledger.values().size());
    }

    @Test
    void aResponseProcessedAfterAPauseDoesNotMakeTheTailCurrent() {
        until(follower::isCaughtUp);
        clock.advance(Duration.ofMillis(350));
        long before = follower.lastTailRead().orElseThrow();

        clock.pause(Duration.ofSeconds(30));
        // Runs the timers that became due during the pause; they deliver the response from before it.
        clock.advance(Duration.ofNanos(1));
        until(() -> follower.lastTailRead().orElseThrow() != before);

        assertTrue(tailAge().compareTo(Duration.ofSeconds(29)) > 0, "tail age " + tailAge());
        until(() -> tailAge().compareTo(Duration.ofMillis(50)) < 0);
    }

    private Duration tailAge() {
        return Duration.ofNanos(clock.nanos() - follower.lastTailRead().orElseThrow());
    }
}
