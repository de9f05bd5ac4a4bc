package dev.lavenderline.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.routing.Fleets;
import dev.lavenderline.core.routing.ManualTicker;
import dev.lavenderline.proto.peer.SlotRequest;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against batch grants that delay online requests, and against idle sequences without online traffic. */
class SlotControllerTest {
    private static final int SEQUENCES = 16;
    private static final int HEADROOM = 1;

    private final ManualTicker ticker = new ManualTicker();
    private final SlotController controller = new SlotController("controller", ticker);
    private final Map<String, Integer> granted = new HashMap<>();

    SlotControllerTest() {
        controller.configure(Fleets.engines(2, SEQUENCES));
        controller.controlEngines(Set.of("e0"));
    }

    private static UpstreamLoad load(int online, int batch, int firstTokenMillis, int intervalMillis) {
        return UpstreamLoad.newBuilder()
                .setUpstream("e0")
                .setOnlineInFlight(online)
                .setBatchInFlight(batch)
                .setFirstTokenUs(1000 * firstTokenMillis)
                .setTokenIntervalUs(1000 * intervalMillis)
                .build();
    }

    private void request(String node, int wanted, int held, long deadlineMillis) {
        controller.request(
                node,
                SlotRequest.newBuilder()
                        .setUpstream("e0")
                        .setWanted(wanted)
                        .setHeld(held)
                        .setDeadlineInMs(deadlineMillis)
                        .build());
    }

    private void tick() {
        controller
                .tick()
                .forEach(grant -> granted.put(grant.node(), grant.grant().getSlots()));
    }

    private int grantedSum() {
        return granted.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Runs under constant load; the owner uses all slots that it was granted. */
    private void runSteadyLoad(long millis, int online, int firstTokenMillis, int intervalMillis) {
        for (long passed = 0; passed < millis; passed += 50) {
            ticker.advanceMillis(50);
            int held = granted.getOrDefault("owner", 0);
            controller.updateLoads("owner", List.of(load(online, held, firstTokenMillis, intervalMillis)));
            request("owner", SEQUENCES, held, 3_600_000);
            tick();
        }
    }

    @Property(tries = 300)
    void sumOfGrantsNeverExceedsTheBound(@ForAll long seed) {
        new SlotControllerTest().checkBound(new Random(seed));
    }

    private void checkBound(Random random) {
        Map<String, Integer> online = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            ticker.advanceMillis(random.nextInt(200));
            String node = "n" + random.nextInt(4);
            switch (random.nextInt(4)) {
                case 0 -> {
                    int inFlight = random.nextInt(8);
                    online.put(node, inFlight);
                    controller.updateLoads(node, List.of(load(inFlight, 0, random.nextInt(300), random.nextInt(100))));
                }
                case 1 ->
                    request(
                            node,
                            random.nextInt(20),
                            Math.min(granted.getOrDefault(node, 0), random.nextInt(20)),
                            random.nextInt(10_000_000));
                case 2 -> {
                    if (random.nextInt(5) == 0) {
                        controller.nodeLost(node);
                        online.remove(node);
                        granted.remove(node);
                    }
                }
                default -> {}
            }
            tick();
            int inFlight = online.values().stream().mapToInt(Integer::intValue).sum();
            int bound = Math.max(0, SEQUENCES - inFlight - HEADROOM);
            assertTrue(grantedSum() <= bound, grantedSum() + " slots above the bound " + bound);
        }
    }

    @Test
    void batchFillsAnEngineWithoutOnlineTrafficWithinSeconds() {
        runSteadyLoad(1000, 0, 0, 0);
        assertEquals(1, grantedSum(), "a new controller starts with a limit of 1");
        runSteadyLoad(2000, 0, 0, 0);
        assertEquals(SEQUENCES - HEADROOM, grantedSum());
    }

    @Test
    void onlineArrivalsRevokeSlotsAtTheNextTick() {
        runSteadyLoad(3000, 0, 0, 0);
        controller.updateLoads("other", List.of(load(5, 0, 0, 0)));
        tick();
        assertEquals(SEQUENCES - HEADROOM - 5, grantedSum());
    }

    @Test
    void raisedOnlineLatencyDecreasesTheLimitMultiplicatively() {
        for (int i = 0; i < 100; i++) {
            ticker.advanceMillis(50);
            controller.updateLoads("owner", List.of(load(2, 0, 60, 20)));
        }
        runSteadyLoad(3000, 2, 65, 21);
        int before = grantedSum();
        assertEquals(SEQUENCES - HEADROOM - 2, before);
        runSteadyLoad(50, 2, 65, 40);
        assertEquals((int) (before * 0.7), grantedSum());
        runSteadyLoad(2000, 2, 65, 40);
        assertEquals(1, grantedSum());
        runSteadyLoad(1000, 2, 65, 21);
        assertTrue(grantedSum() >= 5 && grantedSum() <= 6, "one slot for each 200 ms: " + grantedSum());
    }

    /** Without a measured baseline, only the deployment's latency target applies. */
    @Test
    void latencyAboveTheTargetDecreasesTheLimit() {
        runSteadyLoad(3000, 2, 100, 20);
        int before = grantedSum();
        runSteadyLoad(50, 2, 700, 20);
        assertEquals((int) (before * 0.7), grantedSum());
    }

    @Test
    void slotsOfALostNodeAreGrantedAfterItsLease() {
        runSteadyLoad(3000, 0, 0, 0);
        controller.nodeLost("owner");
        granted.remove("owner");
        request("next", SEQUENCES, 0, 1000);
        tick();
        assertEquals(0, granted.getOrDefault("next", 0));
        ticker.advanceMillis(999);
        request("next", SEQUENCES, 0, 1000);
        ticker.advanceMillis(1);
        tick();
        assertEquals(SEQUENCES - HEADROOM, granted.get("next"));
    }

    @Test
    void grantsAreRenewedBeforeTheyExpireAndEndWithoutRequests() {
        runSteadyLoad(3000, 0, 0, 0);
        long renewals = 0;
        for (int i = 0; i < 20; i++) {
            ticker.advanceMillis(50);
            request("owner", SEQUENCES, 15, 1000);
            renewals += controller.tick().size();
        }
        assertTrue(renewals >= 3, "renewals in 1 s: " + renewals);
        ticker.advanceMillis(1001);
        tick();
        assertEquals(0, grantedSum());
    }

    @Test
    void batchShareLimitsBatchWhileThereIsOnlineTraffic() {
        var config = Fleets.engines(1, SEQUENCES);
        var old = config.deployments().get(Fleets.MODEL);
        var half = new Deployment(
                old.name(),
                old.model(),
                old.version(),
                old.adapters(),
                old.firstToken(),
                old.betweenTokens(),
                old.timeout(),
                true,
                true,
                0.5);
        controller.configure(
                new FleetConfig(2, Map.of(), Map.of(Fleets.MODEL, half), config.upstreams(), Map.of(), Map.of()));
        runSteadyLoad(4000, 1, 50, 20);
        assertEquals(8, grantedSum());
        runSteadyLoad(7000, 0, 0, 0);
        assertEquals(SEQUENCES - HEADROOM, grantedSum());
    }
}
