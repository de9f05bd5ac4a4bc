package dev.lavenderline.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.slots.SlotScheduler;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Plays load patterns against the scheduler. */
class OverloadTest {
    private static final Path PATTERNS = Path.of("patterns");
    private static final int SEEDS = 4;

    /** Items in time of about 1,000, of which any scheduler could complete some 460. */
    private static final int MIN_ITEMS_IN_TIME = 200;

    private static Outcome play(String pattern, long seed) throws IOException {
        LoadPattern loaded = LoadPattern.read(PATTERNS.resolve(pattern));
        return Emulation.run(loaded, SlotScheduler.Options.defaults(), Draws.draw(loaded, seed));
    }

    /** Guards against an order under which lasting overload makes nearly every item late. */
    @Test
    void itemsCompleteInTimeAlthoughMoreArriveThanEnginesCanRun() throws IOException {
        int inTime = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            inTime += play("batch-flood.yaml", seed).kind(Emulation.ITEMS).inTime();
        }
        assertTrue(inTime >= SEEDS * MIN_ITEMS_IN_TIME, "items in time: " + inTime);
    }

    /** Guards against a scheduler that sends engines more requests than the limit that they name allows. */
    @Test
    void limitedEnginesAreNotOverrun() throws IOException {
        LoadPattern pattern = LoadPattern.read(PATTERNS.resolve("limited.yaml"));
        double limit = pattern.faults().get(0).perSecond();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Outcome outcome = Emulation.run(pattern, SlotScheduler.Options.defaults(), Draws.draw(pattern, seed));
            int most = outcome.mostLimitedArrivals;
            assertTrue(most > 0 && most <= 1.5 * limit * 4 + 5, "seed " + seed + ": " + most + " requests in 4 s");
        }
    }

    @Test
    void sameSeedGivesSameOutcome() throws IOException {
        Outcome first = play("overload.yaml", 7);
        Outcome second = play("overload.yaml", 7);
        assertEquals(first.kind("diagnose").inTime(), second.kind("diagnose").inTime());
        assertEquals(first.itemRuns, second.itemRuns);
        assertEquals(first.preemptions, second.preemptions);
    }

    @Test
    void boundIsNotBelowTheOutcome() throws IOException {
        LoadPattern pattern = LoadPattern.read(PATTERNS.resolve("overload.yaml"));
        for (int seed = 1; seed <= SEEDS; seed++) {
            Draws draws = Draws.draw(pattern, seed);
            Outcome outcome = Emulation.run(pattern, SlotScheduler.Options.defaults(), draws);
            int inTime = outcome.kind(Emulation.ITEMS).inTime();
            assertTrue(inTime <= Bound.itemsInTime(pattern, draws, outcome), "seed " + seed + ": " + inTime);
        }
    }

    /** Every request has exactly one outcome, also when its scheduler and engines are lost. */
    @Test
    void requestsAreCountedOnceDespiteFaults() throws IOException {
        LoadPattern pattern = LoadPattern.read(PATTERNS.resolve("faults.yaml"));
        Draws draws = Draws.draw(pattern, 1);
        Outcome outcome = Emulation.run(pattern, SlotScheduler.Options.defaults(), draws);
        int items = outcome.kind(Emulation.ITEMS).sent();
        int requests =
                outcome.kinds().values().stream().mapToInt(Outcome.Kind::sent).sum() - items;
        assertEquals(draws.items().size(), items);
        assertEquals(draws.requests().size(), requests);
    }
}
