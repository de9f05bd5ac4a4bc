package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a short slowdown that is detected only after many requests were sent to the slow engine. */
class SlowUpstreamTest {
    private final DispatcherHarness harness = new DispatcherHarness(
            Fleets.engines(4, 16), DispatcherOptions.defaults().withHedging(false), Dispatchers.LATENCY_AWARE);

    private void warmUp() {
        for (int i = 0; i < 200; i++) {
            harness.serve(50, 20, 3);
        }
    }

    /** Nothing has been received from the slow engine: the only evidence is the age of the requests without a token. */
    @Test
    void requestsWithoutTokenShowASlowUpstream() {
        warmUp();
        Map<String, List<Dispatcher.Attempt>> open = new HashMap<>();
        String silent = null;
        int sentToSilent = 0;
        for (int step = 0; step < 100; step++) {
            Dispatcher.Attempt attempt = harness.submit().attempt();
            silent = silent == null ? attempt.upstream() : silent;
            sentToSilent += attempt.upstream().equals(silent) ? 1 : 0;
            open.computeIfAbsent(attempt.upstream(), name -> new ArrayList<>()).add(attempt);
            harness.run(50);
            for (Map.Entry<String, List<Dispatcher.Attempt>> entry : open.entrySet()) {
                if (!entry.getKey().equals(silent)) {
                    entry.getValue().forEach(Dispatcher.Attempt::firstToken);
                    entry.getValue().forEach(Dispatcher.Attempt::finished);
                    entry.getValue().clear();
                }
            }
        }
        assertTrue(sentToSilent <= 6, "requests sent to the silent engine: " + sentToSilent);
    }

    /** The token interval of open streams shows a slowdown long before the next first token. */
    @Test
    void stalledStreamReducesTheWeightWithinAFewSteps() {
        warmUp();
        List<Dispatcher.Attempt> streams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            streams.add(harness.submit().attempt());
        }
        harness.run(50);
        streams.forEach(Dispatcher.Attempt::firstToken);
        String stalled = streams.get(0).upstream();
        for (int step = 0; step < 6; step++) {
            harness.run(20);
            streams.stream()
                    .filter(stream -> !stream.upstream().equals(stalled))
                    .forEach(stream -> stream.tokens(1));
        }
        UpstreamView view = harness.dispatcher.views().stream()
                .filter(candidate -> candidate.upstream().equals(stalled))
                .findFirst()
                .orElseThrow();
        assertEquals(0, view.weight(), "120 ms without a token at a usual interval of 20 ms");
    }

    /** With hedging, the probe is a second attempt, so that no caller waits for a slow engine. */
    @Test
    void probeIsSentAsHedge() {
        DispatcherHarness hedging = new DispatcherHarness(Fleets.engines(2, 16));
        for (int i = 0; i < 100; i++) {
            hedging.serve(50, 20, 2);
        }
        Dispatcher.Attempt failing = hedging.submit().attempt();
        failing.failed(Dispatcher.Failure.SILENT);
        hedging.run(510);
        DispatcherHarness.Call call = hedging.submit();
        assertTrue(!call.attempt().upstream().equals(failing.upstream()));
        assertEquals(0, call.ticket.hedgeDelay().orElseThrow().toMillis());
        Dispatcher.Attempt probe = call.ticket.hedge().orElseThrow();
        assertEquals(failing.upstream(), probe.upstream());
        hedging.run(50);
        probe.firstToken();
        probe.finished();
        hedging.run(100);
        assertTrue(hedging.dispatcher.views().stream().allMatch(view -> view.weight() > 0));
    }
}
