package dev.lavenderline.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.routing.Fleets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against batch items that keep their slots after an online burst, a revocation or the loss of a controller. */
class BatchPreemptionTest {
    private final SchedulerHarness harness = new SchedulerHarness(Fleets.engines(1, 16));
    private final List<ItemRef> items;

    BatchPreemptionTest() {
        harness.open("job", "w", 1000, Duration.ofHours(1));
        harness.grant("e0", 10);
        items = harness.fill();
        assertEquals(10, items.size());
    }

    private List<ItemRef> cancels() {
        List<ItemRef> cancelled = new ArrayList<>();
        harness.scheduler.tick().forEach(action -> {
            if (action instanceof BatchAction.Cancel cancel) {
                cancelled.add(cancel.item());
            }
        });
        return cancelled;
    }

    @Test
    void reducedGrantCancelsTheLastStartedItems() {
        harness.grant("e0", 7);
        assertEquals(List.of(items.get(9), items.get(8), items.get(7)), cancels());
        assertTrue(cancels().isEmpty(), "each item is cancelled once");
    }

    @Test
    void cancelledItemIsNextAndCountsNoAttempt() {
        harness.grant("e0", 9);
        ItemRef cancelled = cancels().get(0);
        assertEquals(ItemResolution.RETRY, harness.scheduler.failed(cancelled, AttemptFailure.CANCELLED));
        harness.grant("e0", 10);
        harness.ticker.advanceMillis(10);
        BatchAction.Start start = harness.starts().get(0);
        assertEquals(cancelled, start.item());
        assertEquals(1, start.attempt());
    }

    @Test
    void burstThatTheNodeSeesCancelsItemsAtOnce() {
        harness.scheduler.onlineChanged("e0", 1);
        assertTrue(cancels().isEmpty(), "the headroom absorbs the first request");
        harness.scheduler.onlineChanged("e0", 4);
        assertEquals(3, cancels().size());
        // A grant renewed before the controller learned of the burst must not start items again.
        harness.grant("e0", 10);
        assertTrue(harness.starts().isEmpty());
        harness.ticker.advanceMillis(101);
        assertEquals(1, harness.starts().size());
    }

    @Test
    void leaseExpiresOnTheMonotonicClock() {
        harness.ticker.advanceMillis(999);
        assertTrue(cancels().isEmpty());
        harness.ticker.advanceMillis(1);
        assertEquals(10, cancels().size());
    }

    @Test
    void newControllerReplacesAnExpiredOne() {
        harness.ticker.advanceMillis(600);
        harness.grant("e0", 1, "successor");
        assertTrue(cancels().isEmpty(), "the earlier grant is still valid");
        harness.ticker.advanceMillis(400);
        assertEquals(9, cancels().size());
    }

    @Test
    void closedJobCancelsItsItems() {
        harness.scheduler.close("job");
        assertEquals(10, cancels().size());
        assertTrue(items.stream()
                .allMatch(ref -> harness.scheduler.failed(ref, AttemptFailure.CANCELLED) == ItemResolution.IGNORED));
        assertTrue(harness.starts().isEmpty());
    }

    @Test
    void nothingStartsWhileStartsAreForbidden() {
        harness.grant("e0", 12);
        harness.scheduler.mayStart(false);
        assertTrue(harness.starts().isEmpty());
        harness.scheduler.mayStart(true);
        assertEquals(1, harness.starts().size());
    }
}
