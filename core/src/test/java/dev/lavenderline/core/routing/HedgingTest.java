package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against hedges and retries that exceed 10% of the requests or repeat non-repeatable requests. */
class HedgingTest {
    private final DispatcherHarness harness = new DispatcherHarness(Fleets.engines(3, 100));

    @Test
    void hedgeGoesToAnotherEngineAfterThe95thPercentile() {
        for (int i = 0; i < 100; i++) {
            harness.serve(i % 10 == 0 ? 100 : 50, 10, 2);
        }
        DispatcherHarness.Call call = harness.submit();
        long delay = call.ticket.hedgeDelay().orElseThrow().toMillis();
        assertTrue(delay >= 100 && delay <= 110, "delay " + delay);
        Dispatcher.Attempt second = call.ticket.hedge().orElseThrow();
        assertFalse(second.upstream().equals(call.attempt().upstream()));
        assertTrue(call.ticket.hedge().isEmpty(), "a third attempt must not be sent");
        second.firstToken();
        call.attempt().cancelled();
        second.finished();
        assertTrue(harness.dispatcher.views().stream().allMatch(view -> view.onlineInFlight() == 0));
    }

    @Test
    void hedgesStayWithinTheBudget() {
        for (int i = 0; i < 100; i++) {
            harness.serve(50, 10, 2);
        }
        int hedges = 0;
        for (int i = 0; i < 1000; i++) {
            DispatcherHarness.Call call = harness.submit();
            hedges += call.ticket.hedge().isPresent() ? 1 : 0;
            call.ticket.close();
        }
        assertTrue(hedges <= 110, "hedges of 1,100 requests: " + hedges);
        assertTrue(hedges >= 90, "hedges of 1,100 requests: " + hedges);
    }

    @Test
    void retryStormStaysWithinTheBudget() {
        int requests = 2000;
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            DispatcherHarness.Call call = harness.submit();
            harness.run(10);
            attempts++;
            call.attempt().failed(Dispatcher.Failure.REJECTED);
            while (call.ticket.retry(Set.of()).isEmpty()) {
                attempts++;
                call.attempt().failed(Dispatcher.Failure.REJECTED);
            }
            call.ticket.close();
        }
        // The floor of one retry a second is below 10% at 100 requests a second.
        assertTrue(attempts - requests <= 0.1 * requests + 1, "extra attempts: " + (attempts - requests));
    }

    @Test
    void nonRepeatableRequestIsNeverSentTwice() {
        for (int i = 0; i < 100; i++) {
            harness.serve(50, 10, 2);
        }
        RequestProfile once = new RequestProfile(
                "once", "w", Fleets.MODEL, 0, 10, 5, harness.ticker.nanos() + 60_000_000_000L, false);
        DispatcherHarness.Call call = harness.submit(once);
        assertTrue(call.ticket.hedgeDelay().isEmpty());
        assertTrue(call.ticket.hedge().isEmpty());
        call.attempt().failed(Dispatcher.Failure.CONNECT);
        assertTrue(call.ticket.retry(Set.of()).isEmpty(), "no byte was sent, so another attempt is safe");
        call.attempt().failed(Dispatcher.Failure.BROKEN);
        assertTrue(call.ticket.retry(Set.of()).isPresent());
        assertEquals(2, call.decisions.size());
    }

    @Test
    void retryAvoidsTheFailedUpstream() {
        for (int i = 0; i < 50; i++) {
            DispatcherHarness.Call call = harness.submit();
            String failed = call.attempt().upstream();
            call.attempt().failed(Dispatcher.Failure.CONNECT);
            assertTrue(call.ticket.retry(Set.of()).isEmpty());
            assertFalse(call.attempt().upstream().equals(failed));
            call.attempt().finished();
            harness.run(100);
        }
    }
}
