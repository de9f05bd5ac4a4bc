package dev.lavenderline.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.routing.Fleets;
import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Guards against poison items that block a job, and against batch prefills that delay online requests. */
class BatchAttemptsTest {
    private final SchedulerHarness harness = new SchedulerHarness(Fleets.engines(2, 16));

    private List<BatchAction.Start> nextStarts() {
        for (int waited = 0; waited < 600; waited++) {
            harness.grant("e0", 4);
            List<BatchAction.Start> starts = harness.starts();
            if (!starts.isEmpty()) {
                return starts;
            }
            harness.ticker.advanceMillis(100);
        }
        return List.of();
    }

    @Test
    void itemThatKillsEnginesIsExhaustedAfterFiveAttempts() {
        harness.open("job", "w", 1, Duration.ofHours(1));
        for (int attempt = 1; attempt <= 5; attempt++) {
            BatchAction.Start start = nextStarts().get(0);
            assertEquals(attempt, start.attempt());
            AttemptFailure failure = attempt % 2 == 0 ? AttemptFailure.TIMED_OUT : AttemptFailure.KILLED;
            ItemResolution expected = attempt < 5 ? ItemResolution.RETRY : ItemResolution.ATTEMPTS_EXHAUSTED;
            assertEquals(expected, harness.scheduler.failed(start.item(), failure));
        }
        assertTrue(nextStarts().isEmpty());
        assertEquals(1, harness.scheduler.view().jobs().get(0).done());
    }

    @Test
    void refusalIsFinalAndRejectionCountsNoAttempt() {
        harness.open("job", "w", 1, Duration.ofHours(1));
        for (int i = 0; i < 8; i++) {
            BatchAction.Start start = nextStarts().get(0);
            assertEquals(1, start.attempt());
            assertEquals(ItemResolution.RETRY, harness.scheduler.failed(start.item(), AttemptFailure.REJECTED));
        }
        ItemRef ref = nextStarts().get(0).item();
        assertEquals(ItemResolution.REFUSED, harness.scheduler.failed(ref, AttemptFailure.REFUSED));
        assertEquals(ItemResolution.IGNORED, harness.scheduler.failed(ref, AttemptFailure.KILLED));
    }

    @Test
    void backoffGrowsWithinItsBoundsAndHasJitter() {
        Backoff backoff = new Backoff(500, 30_000, RandomSource.XO_SHI_RO_256_PP.create(7L));
        for (int failures = 1; failures < 40; failures++) {
            long full = failures > 6 ? 30_000 : 500L << (failures - 1);
            long wait = backoff.delayNanos(failures);
            assertTrue(wait >= full / 2 && wait <= full, wait + " after " + failures);
        }
        assertTrue(backoff.delayNanos(9) != backoff.delayNanos(9));
    }

    @Test
    void onePreviouslyFailedItemPerEngine() {
        harness.open("job", "w", 2, Duration.ofHours(1));
        harness.grant("e0", 4);
        List<ItemRef> both = harness.fill();
        both.forEach(ref -> harness.scheduler.failed(ref, AttemptFailure.KILLED));
        assertEquals(2, both.size());
        ItemRef first = nextStarts().get(0).item();
        harness.scheduler.firstToken(first);
        harness.ticker.advanceMillis(5000);
        harness.grant("e0", 4);
        assertTrue(harness.starts().isEmpty(), "two previously failed items must not run on one engine");
        harness.scheduler.finished(first);
        harness.ticker.advanceMillis(10);
        assertEquals(1, harness.starts().size());
    }

    /** Half of the engines have no batch prefill, so that online requests can avoid one. */
    @Test
    void oneStartBeforeEachFirstTokenOnHalfOfTheEngines() {
        SchedulerHarness four = new SchedulerHarness(Fleets.engines(4, 16));
        four.open("job", "w", 100, Duration.ofHours(1));
        for (int i = 0; i < 4; i++) {
            four.grant("e" + i, 8);
        }
        List<BatchAction.Start> starts = four.starts();
        assertEquals(2, starts.size());
        assertEquals(
                2, starts.stream().map(BatchAction.Start::upstream).distinct().count());
        assertTrue(four.starts().isEmpty());
        four.scheduler.firstToken(starts.get(0).item());
        List<BatchAction.Start> next = four.starts();
        assertEquals(1, next.size());
        assertTrue(!next.get(0).upstream().equals(starts.get(1).upstream()));
    }

    /** A batch prefill beside an online request's prefill would delay the request's first token. */
    @Test
    void nothingStartsWhileAnOnlineRequestWaitsForItsFirstToken() {
        harness.open("job", "w", 100, Duration.ofHours(1));
        harness.grant("e0", 8);
        List<ItemRef> running = harness.fill();
        harness.scheduler.onlineChanged("e0", 1);
        harness.scheduler.finished(running.get(0));
        harness.ticker.advanceMillis(39);
        assertTrue(harness.starts().isEmpty());
        harness.ticker.advanceMillis(1);
        assertEquals(1, harness.starts().size());
    }
}
