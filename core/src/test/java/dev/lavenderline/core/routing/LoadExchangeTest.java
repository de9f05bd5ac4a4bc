package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.peer.UpstreamLoad;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against decisions on stale or double-counted load. */
class LoadExchangeTest {
    private final DispatcherHarness harness = new DispatcherHarness(Fleets.engines(2, 16));

    private static UpstreamLoad load(String upstream, int online) {
        return UpstreamLoad.newBuilder()
                .setUpstream(upstream)
                .setOnlineInFlight(online)
                .build();
    }

    private void warmUp() {
        for (int i = 0; i < 40; i++) {
            harness.serve(50, 20, 5);
        }
    }

    @Test
    void newPeerLoadsReplaceEarlierOnesAndAffectSelection() {
        warmUp();
        harness.dispatcher.peerLoads("a", List.of(load("e0", 3)));
        harness.dispatcher.peerLoads("a", List.of(load("e0", 10)));
        harness.dispatcher.peerLoads("b", List.of(load("e0", 2)));
        assertEquals(12, harness.dispatcher.views().get(0).peersInFlight());
        assertEquals("e1", harness.submit().attempt().upstream());
        harness.dispatcher.peerGone("a");
        assertEquals(2, harness.dispatcher.views().get(0).peersInFlight());
    }

    @Test
    void batchCountsAsOccupancy() {
        warmUp();
        harness.dispatcher.batchInFlight("e1", 14);
        assertEquals("e0", harness.submit().attempt().upstream());
    }

    @Test
    void onlyAReportNewerThanTheLastAnswerRaisesTheEstimate() {
        warmUp();
        harness.dispatcher.loadReport("e0", 16, 0, harness.ticker.now().minus(Duration.ofMinutes(5)));
        harness.dispatcher.loadReport("e1", 2, 0, harness.ticker.now());
        harness.ticker.advanceMillis(1);
        harness.dispatcher.loadReport("e1", 16, 4, harness.ticker.now());
        int e0 = 0;
        for (int i = 0; i < 10; i++) {
            DispatcherHarness.Call call = harness.submit();
            e0 += call.attempt().upstream().equals("e0") ? 1 : 0;
            call.ticket.close();
        }
        assertEquals(10, e0);
    }

    @Test
    void changesAreReportedOnce() {
        long version = harness.dispatcher.changedSince(0).version();
        DispatcherHarness.Call call = harness.submit();
        LoadExchange.LoadChange change = harness.dispatcher.changedSince(version);
        assertEquals(1, change.loads().size());
        assertEquals(1, change.loads().get(0).getOnlineInFlight());
        assertEquals(50, change.loads().get(0).getOutstandingTokens());
        assertTrue(harness.dispatcher.changedSince(change.version()).loads().isEmpty());
        call.ticket.close();
        assertEquals(
                0,
                harness.dispatcher.changedSince(change.version()).loads().get(0).getOnlineInFlight());
    }
}
