package dev.lavenderline.core.simulation;

import dev.lavenderline.core.admission.SlotController;
import dev.lavenderline.core.routing.Dispatcher;
import dev.lavenderline.core.routing.DispatcherOptions;
import dev.lavenderline.core.routing.Dispatchers;
import dev.lavenderline.core.routing.Fleets;
import dev.lavenderline.core.routing.LoadAwareDispatcher;
import dev.lavenderline.core.routing.Locality;
import dev.lavenderline.core.routing.ManualTicker;
import dev.lavenderline.core.routing.RequestProfile;
import dev.lavenderline.proto.peer.SlotRequest;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;

/** Prints the CPU time of a dispatch decision, a dispatcher tick and a controller tick, each the best of 8 rounds. */
public final class DecisionCost {
    private static final int ROUNDS = 8;

    private DecisionCost() {}

    public static void main(String[] args) {
        for (int candidates : new int[] {8, 50, 200, 400}) {
            print("decision, candidates", candidates, decision(candidates));
        }
        for (int engines : new int[] {10, 50, 100, 400}) {
            print("dispatcher tick, upstreams", engines, dispatcherTick(engines));
        }
        for (int engines : new int[] {10, 50, 100, 400}) {
            print("controller tick, engines", engines, controllerTick(engines));
        }
    }

    private static void print(String label, int size, double micros) {
        System.out.printf(Locale.ROOT, "%-28s %4d  %8.2f us%n", label, size, micros);
    }

    private static double measure(int iterations, Runnable task) {
        var threads = ManagementFactory.getThreadMXBean();
        double best = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long start = threads.getCurrentThreadCpuTime();
            for (int i = 0; i < iterations; i++) {
                task.run();
            }
            best = Math.min(best, (threads.getCurrentThreadCpuTime() - start) / 1000.0 / iterations);
        }
        return best;
    }

    private static LoadAwareDispatcher dispatcher(int upstreams, ManualTicker ticker) {
        LoadAwareDispatcher dispatcher = Dispatchers.create(
                Dispatchers.LATENCY_AWARE,
                DispatcherOptions.defaults(),
                ticker,
                RandomSource.XO_SHI_RO_256_PP.create(1L),
                new Locality("north", "n1"));
        dispatcher.configure(Fleets.engines(upstreams, 16));
        return dispatcher;
    }

    /** Submits one request and ends the oldest one, with 4 requests in flight per candidate. */
    private static double decision(int candidates) {
        ManualTicker ticker = new ManualTicker();
        LoadAwareDispatcher dispatcher = dispatcher(candidates, ticker);
        ArrayDeque<Dispatcher.Attempt> open = new ArrayDeque<>();
        int[] submitted = new int[1];
        Runnable submit = () -> dispatcher.submit(
                new RequestProfile(
                        "r" + submitted[0],
                        "w",
                        Fleets.MODEL,
                        submitted[0]++ % 500,
                        200,
                        100,
                        ticker.nanos() + (1L << 40),
                        true),
                decision -> decision.peek(open::add));
        for (int i = 0; i < 4 * candidates; i++) {
            submit.run();
        }
        return measure(20_000, () -> {
            ticker.advanceMillis(1);
            submit.run();
            Dispatcher.Attempt oldest = open.poll();
            oldest.firstToken();
            oldest.finished();
        });
    }

    private static double dispatcherTick(int upstreams) {
        ManualTicker ticker = new ManualTicker();
        LoadAwareDispatcher dispatcher = dispatcher(upstreams, ticker);
        for (int i = 0; i < 4 * upstreams; i++) {
            dispatcher.submit(
                    new RequestProfile("r" + i, "w", Fleets.MODEL, 0, 200, 100, ticker.nanos() + (1L << 40), true),
                    decision -> decision.peek(attempt -> attempt.tokens(1)));
        }
        return measure(2_000, () -> {
            ticker.advanceMillis(10);
            dispatcher.tick();
        });
    }

    /** Ten nodes report loads for each engine and two job owners request its slots, again every 100 ticks. */
    private static double controllerTick(int engines) {
        ManualTicker ticker = new ManualTicker();
        SlotController controller = new SlotController("c", ticker);
        controller.configure(Fleets.engines(engines, 16));
        controller.controlEngines(
                IntStream.range(0, engines).mapToObj(i -> "e" + i).collect(Collectors.toSet()));
        Runnable updateInputs = () -> {
            for (int i = 0; i < engines; i++) {
                for (int node = 0; node < 10; node++) {
                    controller.updateLoads("n" + node, List.of(load("e" + i)));
                }
                for (String owner : Set.of("a", "b")) {
                    controller.request(
                            owner,
                            SlotRequest.newBuilder()
                                    .setUpstream("e" + i)
                                    .setWanted(16)
                                    .setHeld(4)
                                    .setDeadlineInMs(3_600_000)
                                    .build());
                }
            }
        };
        updateInputs.run();
        int[] ticks = new int[1];
        return measure(2_000, () -> {
            ticker.advanceMillis(5);
            if (ticks[0]++ % 100 == 0) {
                updateInputs.run();
            }
            controller.tick();
        });
    }

    private static UpstreamLoad load(String upstream) {
        return UpstreamLoad.newBuilder()
                .setUpstream(upstream)
                .setOnlineInFlight(1)
                .setFirstTokenUs(50_000)
                .setTokenIntervalUs(22_000)
                .build();
    }
}
