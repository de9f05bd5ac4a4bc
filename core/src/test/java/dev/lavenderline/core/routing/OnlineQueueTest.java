package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against queueing inside engines, which do not know classes and workspaces, and against late refusals. */
class OnlineQueueTest {
    private static UpstreamLoad load(String upstream, int online, int waiting) {
        return UpstreamLoad.newBuilder()
                .setUpstream(upstream)
                .setOnlineInFlight(online)
                .setOnlineWaiting(waiting)
                .build();
    }

    @Test
    void excessRequestsWaitInTheNodeUntilASequenceIsAvailable() {
        DispatcherHarness harness = new DispatcherHarness(Fleets.engines(2, 4));
        List<DispatcherHarness.Call> calls = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            calls.add(harness.submit());
        }
        assertEquals(8, calls.stream().filter(DispatcherHarness.Call::sent).count());
        assertEquals(1, harness.dispatcher.loads().get(0).getOnlineWaiting());
        calls.get(3).attempt().finished();
        assertTrue(calls.get(8).sent());
        assertEquals(calls.get(3).attempt().upstream(), calls.get(8).attempt().upstream());
        assertFalse(calls.get(9).sent());
    }

    @Test
    void peerRequestsOccupySequences() {
        DispatcherHarness harness = new DispatcherHarness(Fleets.engines(1, 4));
        harness.dispatcher.peerLoads("peer", List.of(load("e0", 4, 0)));
        // The peer's sequences are all in use, but this node is below its fair share and may exceed by one.
        assertTrue(harness.submit().sent());
        DispatcherHarness.Call waiting = harness.submit();
        assertFalse(waiting.sent());
        harness.dispatcher.peerLoads("peer", List.of(load("e0", 2, 0)));
        assertTrue(waiting.sent());
        DispatcherHarness.Call last = harness.submit();
        assertFalse(last.sent());
        harness.dispatcher.peerGone("peer");
        assertTrue(last.sent());
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        DispatcherHarness harness = new DispatcherHarness(Fleets.engines(1, 4));
        for (int i = 0; i < 50; i++) {
            harness.serve(100, 20, 20);
        }
        RequestProfile likely = harness.profile("w", 100, 50);
        RequestProfile tight =
                new RequestProfile("tight", "w", Fleets.MODEL, 0, 100, 50, harness.ticker.nanos() + 200_000_000L, true);
        assertEquals(Refusal.Reason.DEADLINE, harness.submit(tight).refusal.reason());
        assertTrue(harness.submit(likely).sent());
    }

    @Test
    void queuedRequestIsRefusedWhenItsDeadlineCannotBeMetAnyMore() {
        DispatcherHarness harness = new DispatcherHarness(Fleets.engines(1, 1));
        harness.submit();
        RequestProfile profile =
                new RequestProfile("r", "w", Fleets.MODEL, 0, 10, 5, harness.ticker.nanos() + 1_000_000_000L, true);
        DispatcherHarness.Call waiting = harness.submit(profile);
        harness.run(900);
        assertTrue(waiting.decisions.isEmpty());
        harness.run(100);
        assertEquals(Refusal.Reason.DEADLINE, waiting.decisions.get(0).getLeft().reason());
    }

    @Test
    void fullQueueRefusesAndReleasesTheWorkspace() {
        FleetConfig config =
                Fleets.of(List.of(Fleets.workspace("w", 1, 0, 3)), Fleets.engine("e0", "north", "n1", 9000, 1));
        DispatcherHarness harness = new DispatcherHarness(
                config, DispatcherOptions.defaults().withQueueBound(1), Dispatchers.LATENCY_AWARE);
        DispatcherHarness.Call first = harness.submit();
        harness.submit();
        assertEquals(Refusal.Reason.OVERLOADED, harness.submit().refusal.reason());
        assertEquals(
                Refusal.Reason.OVERLOADED, harness.submit().refusal.reason(), "a refusal must not count as in flight");
        first.attempt().finished();
        assertEquals(null, harness.submit().refusal);
    }

    @Test
    void workspaceLimitsAreEnforced() {
        FleetConfig config = Fleets.of(
                List.of(Fleets.workspace("slow", 1, 2, 0), Fleets.workspace("few", 1, 0, 2)),
                Fleets.engine("e0", "north", "n1", 9000, 16));
        DispatcherHarness harness = new DispatcherHarness(config);
        int accepted = 0;
        for (int i = 0; i < 100; i++) {
            accepted += harness.submit(harness.profile("slow", 1, 1)).refusal == null ? 1 : 0;
            harness.run(100);
        }
        // Burst of 2, then 2 a second for 9.9 s.
        assertTrue(accepted >= 21 && accepted <= 22, "accepted: " + accepted);
        DispatcherHarness.Call first = harness.submit(harness.profile("few", 1, 1));
        harness.submit(harness.profile("few", 1, 1));
        assertEquals(
                Refusal.Reason.RATE_LIMITED,
                harness.submit(harness.profile("few", 1, 1)).refusal.reason());
        first.ticket.close();
        first.ticket.close();
        assertEquals(null, harness.submit(harness.profile("few", 1, 1)).refusal);
        assertEquals(
                Refusal.Reason.RATE_LIMITED,
                harness.submit(harness.profile("few", 1, 1)).refusal.reason());
    }

    @Test
    void leavingUpstreamGetsNoNewWork() {
        DispatcherHarness harness = new DispatcherHarness(Fleets.engines(2, 100));
        harness.dispatcher.setLeavingAddresses(Set.of("127.0.0.1:9000"));
        for (int i = 0; i < 20; i++) {
            assertEquals("e1", harness.submit().attempt().upstream());
        }
        harness.dispatcher.setLeavingAddresses(Set.of("127.0.0.1"));
        assertEquals(Refusal.Reason.NO_UPSTREAM, harness.submit().refusal.reason());
    }
}
