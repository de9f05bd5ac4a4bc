package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against long requests that occupy every sequence while short ones wait. */
class LongRequestTest {
    private final DispatcherHarness harness = new DispatcherHarness(Fleets.engines(2, 8));

    private DispatcherHarness.Call submitLong() {
        return harness.submit(harness.profile("w", 100, 1500));
    }

    private void recordTypicalLengths() {
        for (int i = 0; i < 32; i++) {
            harness.serve(20, 10, 3);
        }
    }

    @Test
    void longRequestsUseAtMostHalfOfEachEngine() {
        recordTypicalLengths();
        List<DispatcherHarness.Call> calls = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            calls.add(submitLong());
        }
        assertEquals(8, calls.stream().filter(DispatcherHarness.Call::sent).count());
        harness.dispatcher.views().forEach(view -> assertEquals(4, view.longInFlight()));
        for (int i = 0; i < 8; i++) {
            assertTrue(harness.submit().sent(), "a short request must not wait behind queued long ones");
        }
        calls.get(0).attempt().finished();
        assertTrue(calls.get(8).sent());
    }

    @Test
    void longRequestGoesToTheEngineWithTheFewestLongOnes() {
        recordTypicalLengths();
        String first = submitLong().attempt().upstream();
        DispatcherHarness.Call second = submitLong();
        assertTrue(!second.attempt().upstream().equals(first));
        second.attempt().finished();
        assertTrue(!submitLong().attempt().upstream().equals(first));
    }

    /** Callers often leave {@code max_tokens} at its default, so the length shows only while tokens arrive. */
    @Test
    void runningRequestBecomesLong() {
        recordTypicalLengths();
        Dispatcher.Attempt attempt = harness.submit().attempt();
        attempt.tokens(20);
        assertEquals(
                1,
                harness.dispatcher.views().stream()
                        .mapToInt(UpstreamView::longInFlight)
                        .sum());
        attempt.finished();
        assertEquals(
                0,
                harness.dispatcher.views().stream()
                        .mapToInt(UpstreamView::longInFlight)
                        .sum());
    }
}
