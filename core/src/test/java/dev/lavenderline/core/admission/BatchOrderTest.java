package dev.lavenderline.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.routing.Fleets;
import dev.lavenderline.proto.peer.SlotRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against late deadlines served before urgent ones, starved workspaces and needless cross-region traffic. */
class BatchOrderTest {
    private static final FleetConfig TWO_REGIONS = Fleets.of(
            List.of(), Fleets.engine("near", "north", "n1", 9000, 16), Fleets.engine("far", "south", "s1", 9001, 16));

    /** Runs a number of items one after the other and counts them by job. */
    private static Map<String, Integer> serve(SchedulerHarness harness, int items) {
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < items; i++) {
            harness.grant("e0", 1);
            ItemRef ref = harness.starts().get(0).item();
            served.merge(ref.jobId(), 1, Integer::sum);
            harness.scheduler.finished(ref);
            harness.ticker.advanceMillis(10);
        }
        return served;
    }

    @Test
    void earliestDeadlineGoesFirst() {
        SchedulerHarness harness = new SchedulerHarness(Fleets.engines(1, 4));
        harness.open("late", "a", 100, Duration.ofHours(9));
        harness.open("soon", "b", 100, Duration.ofHours(3));
        harness.open("sooner", "b", 50, Duration.ofHours(1));
        assertEquals(Map.of("sooner", 50, "soon", 50), serve(harness, 100));
    }

    @Property(tries = 50)
    void workspacesOfOneDeadlineClassShareByWeight(
            @ForAll @IntRange(min = 1, max = 9) int first, @ForAll @IntRange(min = 1, max = 9) int second) {
        FleetConfig config = Fleets.of(
                List.of(Fleets.workspace("a", first, 0, 0), Fleets.workspace("b", second, 0, 0)),
                Fleets.engine("e0", "north", "n1", 9000, 4));
        SchedulerHarness harness = new SchedulerHarness(config);
        harness.open("a1", "a", 1000, Duration.ofMinutes(10));
        harness.open("b1", "b", 1000, Duration.ofMinutes(20));
        int a = serve(harness, 600).getOrDefault("a1", 0);
        assertEquals(600.0 * first / (first + second), a, 2);
    }

    @Test
    void slotsOfOtherRegionsAreRequestedOnlyForAJobAtRisk() {
        SchedulerHarness harness = new SchedulerHarness(TWO_REGIONS);
        harness.open("job", "w", 1000, Duration.ofMinutes(10));
        assertEquals(
                Set.of("near"),
                harness.scheduler.requests().stream()
                        .map(SlotRequest::getUpstream)
                        .collect(Collectors.toSet()));
        assertFalse(harness.scheduler.atRisk("job"));
        // At one item per second, 1,000 items take longer than the deadline of 10 minutes.
        for (int i = 0; i < 20; i++) {
            harness.grant("near", 1);
            harness.scheduler.finished(harness.starts().get(0).item());
            harness.ticker.advanceMillis(1000);
        }
        assertTrue(harness.scheduler.atRisk("job"));
        assertTrue(harness.scheduler.requests().stream()
                .anyMatch(request -> request.getUpstream().equals("far") && request.getWanted() > 0));
        harness.grant("far", 4);
        harness.grant("near", 0);
        assertEquals("far", harness.starts().get(0).upstream());
    }

    @Test
    void jobWithTimeToSpareStaysInItsRegion() {
        SchedulerHarness harness = new SchedulerHarness(TWO_REGIONS);
        harness.open("job", "w", 100, Duration.ofMinutes(10));
        for (int i = 0; i < 20; i++) {
            harness.grant("near", 1);
            harness.grant("far", 1);
            List<BatchAction.Start> starts = harness.starts();
            assertEquals(1, starts.size());
            assertEquals("near", starts.get(0).upstream());
            harness.scheduler.finished(starts.get(0).item());
            harness.ticker.advanceMillis(1000);
        }
        assertFalse(harness.scheduler.atRisk("job"));
    }

    @Test
    void requestsCoverRemainingItemsAndStopWhenAllAreDone() {
        SchedulerHarness harness = new SchedulerHarness(Fleets.engines(2, 16));
        harness.open("job", "w", 3, Duration.ofMinutes(10));
        List<SlotRequest> requests = harness.scheduler.requests();
        assertEquals(
                List.of(2, 2), requests.stream().map(SlotRequest::getWanted).collect(Collectors.toList()));
        assertTrue(harness.scheduler.requests().isEmpty(), "nothing changed");
        harness.ticker.advanceMillis(400);
        assertEquals(2, harness.scheduler.requests().size());
        harness.grant("e0", 3);
        harness.fill().forEach(harness.scheduler::finished);
        harness.ticker.advanceMillis(100);
        assertTrue(harness.scheduler.requests().stream().allMatch(request -> request.getWanted() == 0));
        assertTrue(harness.scheduler.requests().isEmpty());
    }

    @Test
    void doneItemsAreNotStartedAndItemsWithLostResultsRunAgain() {
        SchedulerHarness harness = new SchedulerHarness(Fleets.engines(1, 16));
        harness.open("job", "w", 3, Duration.ofMinutes(10));
        harness.scheduler.completedElsewhere(new ItemRef("job", 0));
        harness.grant("e0", 15);
        List<ItemRef> items = harness.fill();
        assertEquals(List.of(new ItemRef("job", 1), new ItemRef("job", 2)), items);
        assertTrue(items.stream().allMatch(harness.scheduler::finished));
        assertFalse(harness.scheduler.finished(items.get(0)));
        harness.scheduler.reopen(items.get(1));
        harness.ticker.advanceMillis(10);
        assertEquals(List.of(items.get(1)), harness.fill());
    }
}
