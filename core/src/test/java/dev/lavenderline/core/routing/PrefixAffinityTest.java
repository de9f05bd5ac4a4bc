package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.peer.UpstreamLoad;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against missed prefix caches, and against a popular prefix that overloads one engine. */
class PrefixAffinityTest {
    private final DispatcherHarness harness = new DispatcherHarness(Fleets.engines(4, 16));

    private Dispatcher.Attempt withPrefix() {
        RequestProfile plain = harness.profile("w", 100, 50);
        return harness.submit(
                        new RequestProfile(plain.id(), "w", Fleets.MODEL, 42, 100, 50, plain.deadlineNanos(), true))
                .attempt();
    }

    @Test
    void prefersTheEngineThatServedThePrefix() {
        Dispatcher.Attempt first = withPrefix();
        harness.run(50);
        first.firstToken();
        first.finished();
        for (int i = 0; i < 20; i++) {
            Dispatcher.Attempt next = withPrefix();
            assertEquals(first.upstream(), next.upstream());
            harness.run(50);
            next.firstToken();
            next.finished();
        }
    }

    @Test
    void leavesTheEngineWhenItIsBusier() {
        Dispatcher.Attempt first = withPrefix();
        harness.run(50);
        first.firstToken();
        first.tokens(1);
        harness.run(30);
        first.tokens(1);
        harness.dispatcher.peerLoads(
                "peer",
                List.of(UpstreamLoad.newBuilder()
                        .setUpstream(first.upstream())
                        .setOnlineInFlight(16)
                        .setFirstTokenUs(300_000)
                        .build()));
        assertTrue(!withPrefix().upstream().equals(first.upstream()));
    }

    @Test
    void isBounded() {
        PrefixAffinity affinity = new PrefixAffinity(100);
        for (long hash = 1; hash <= 1000; hash++) {
            affinity.record(hash, "e");
        }
        assertEquals(100, affinity.size());
        assertEquals(Optional.empty(), affinity.upstream(900));
        assertEquals(Optional.of("e"), affinity.upstream(901));
        affinity.record(0, "e");
        assertEquals(Optional.empty(), affinity.upstream(0));
    }
}
