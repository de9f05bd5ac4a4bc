package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.config.Upstream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against billed cross-region traffic while the local region has capacity, and against long waits for it. */
class RegionPreferenceTest {
    private static final Upstream DOMAIN = Fleets.engine("domain", "north", "n1", 9000, 4);
    private static final Upstream REGION = Fleets.engine("region", "north", "n2", 9001, 4);
    private static final Upstream REMOTE = Fleets.engine("remote", "south", "s1", 9002, 8);

    private final DispatcherHarness harness = new DispatcherHarness(Fleets.of(List.of(), DOMAIN, REGION, REMOTE));

    @Test
    void idleLocalUpstreamsAreUsedFirst() {
        for (int i = 0; i < 200; i++) {
            assertFalse(harness.serve(50, 20, 3).equals("remote"));
        }
        assertEquals("domain", harness.submit().attempt().upstream());
    }

    @Test
    void fullRegionWithAShortWaitKeepsTheRequest() {
        DispatcherHarness highThreshold = new DispatcherHarness(
                Fleets.of(List.of(), DOMAIN, REGION, REMOTE),
                DispatcherOptions.defaults().withPriceThreshold(Duration.ofSeconds(2)),
                Dispatchers.LATENCY_AWARE);
        for (int i = 0; i < 20; i++) {
            highThreshold.serve(50, 20, 50);
        }
        for (int i = 0; i < 8; i++) {
            assertFalse(highThreshold.submit().attempt().upstream().equals("remote"));
        }
        // About 1 s of service time over 8 sequences is far below the threshold.
        assertTrue(highThreshold.submit().decisions.isEmpty());
    }

    @Test
    void fullRegionWithALongWaitUsesAnotherRegion() {
        for (int i = 0; i < 20; i++) {
            harness.serve(50, 100, 50);
        }
        for (int i = 0; i < 8; i++) {
            assertFalse(harness.submit().attempt().upstream().equals("remote"));
        }
        // About 5 s of service time over 8 sequences is above the threshold of 150 ms.
        assertEquals("remote", harness.submit().attempt().upstream());
    }

    @Test
    void otherRegionServesWhenTheLocalOneFails() {
        List<DispatcherHarness.Call> calls = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            DispatcherHarness.Call call = harness.submit();
            calls.add(call);
            if (!call.attempt().upstream().equals("remote")) {
                call.attempt().failed(Dispatcher.Failure.CONNECT);
                assertTrue(call.ticket.retry(Set.of()).isEmpty());
            }
        }
        assertTrue(calls.stream()
                .allMatch(call -> call.attempt().upstream().equals("remote") || call.decisions.size() > 1));
        assertTrue(calls.subList(2, 6).stream()
                .allMatch(call -> call.attempt().upstream().equals("remote")));
    }
}
