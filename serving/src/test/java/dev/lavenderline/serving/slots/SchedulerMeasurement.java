package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Measures the time of one scheduling decision at several numbers of engines; run manually. */
final class SchedulerMeasurement {
    private static final int SLOTS = 8;
    private static final int REQUESTS = 20_000;
    private static final int ITEMS = 2_000;

    private SchedulerMeasurement() {}

    private static final class NoOpListener implements SlotDecisionListener {
        @Override
        public void granted(String node, long lease, String upstream) {}

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {}

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {}

        @Override
        public void preempt(String node, long lease) {}
    }

    /** Prints the microseconds for a request and its release while half of the slots hold online requests. */
    public static void main(String[] args) {
        for (int engines : new int[] {8, 63, 140, 400}) {
            double micros = 0;
            for (int round = 0; round < 3; round++) {
                micros = measureMicros(engines);
            }
            System.out.printf("engines %d: %.1f us for a request and its release%n", engines, micros);
        }
    }

    private static double measureMicros(int engines) {
        Ticker ticker = Ticker.system();
        UpstreamDirectory directory = new UpstreamDirectory(ticker);
        for (int i = 0; i < engines; i++) {
            directory.put(new Upstream("engine-" + i, "s", "10.0.0.1", 80, "d" + i % 6, SLOTS, false, "v1"));
        }
        SlotScheduler scheduler = new SlotScheduler(
                ticker,
                directory,
                new UpstreamHealth(ticker),
                visitor -> {
                    for (int i = 0; i < ITEMS; i++) {
                        if (!visitor.test(new BacklogItem(
                                new ItemRef("job" + i / 10, i % 10), Map.of("s", 1), Long.MAX_VALUE, "", 0))) {
                            return;
                        }
                    }
                },
                new NoOpListener(),
                EventLog.NONE,
                () -> 0.5,
                SlotScheduler.Options.defaults());
        scheduler.joined("n", "d0", 1, List.of());
        int heldSlots = engines * SLOTS / 2;
        long startNanos = System.nanoTime();
        for (long lease = 0; lease < REQUESTS; lease++) {
            scheduler.acquire(new SlotRequest(
                    "n",
                    lease,
                    "s",
                    Duration.ofMillis(300),
                    Duration.ofSeconds(5),
                    Set.of(),
                    lease % 40 + 1,
                    false,
                    Optional.empty()));
            if (lease >= heldSlots) {
                scheduler.released("n", lease - heldSlots, ReleaseReason.COMPLETED, 0);
            }
        }
        return (System.nanoTime() - startNanos) / 1e3 / REQUESTS;
    }
}
