package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

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

    /** Items that are due in the distant future, equally many of each workspace. */
    private record Items(int workspaces) implements Backlog {
        @Override
        public void visit(Predicate<BacklogItem> visitor) {
            for (int i = 0; i < ITEMS; i++) {
                String workspace = workspaces == 0 ? "" : "w" + i % workspaces;
                ItemRef ref = new ItemRef("job" + i / 10, i % 10);
                if (!visitor.test(new BacklogItem(ref, Map.of("s", 1), Long.MAX_VALUE, "", 0, workspace, 0))) {
                    return;
                }
            }
        }

        @Override
        public boolean shared() {
            return workspaces > 0;
        }
    }

    /** Prints the microseconds for a request and its release while half of the slots hold online requests. */
    public static void main(String[] args) {
        for (int workspaces : new int[] {0, 820}) {
            for (boolean late : new boolean[] {false, true}) {
                double micros = 0;
                for (int round = 0; round < 5; round++) {
                    micros = measureItemMicros(workspaces, late);
                }
                System.out.printf(
                        "workspaces %d, late %b: %.1f us for the end of an item and the start of another%n",
                        workspaces, late, micros);
            }
            for (int engines : new int[] {8, 63, 140, 400}) {
                double micros = 0;
                for (int round = 0; round < 3; round++) {
                    micros = measureMicros(engines, workspaces);
                }
                System.out.printf(
                        "workspaces %d, engines %d: %.1f us for a request and its release%n",
                        workspaces, engines, micros);
            }
        }
    }

    /** Items without a result, and the leases of those that run. */
    private static final class OpenItems implements Backlog, SlotDecisionListener {
        final Map<ItemRef, BacklogItem> open = new LinkedHashMap<>();
        final Deque<Long> leases = new ArrayDeque<>();
        final Map<Long, ItemRef> running = new HashMap<>();
        final int workspaces;
        final long dueNanos;
        int added;

        OpenItems(int workspaces, long dueNanos) {
            this.workspaces = workspaces;
            this.dueNanos = dueNanos;
        }

        void add() {
            ItemRef item = new ItemRef("job", added);
            String workspace = workspaces == 0 ? "" : "w" + added % workspaces;
            open.put(item, new BacklogItem(item, Map.of("s", 1), dueNanos + added++, "", 100, workspace, 0));
        }

        @Override
        public void visit(Predicate<BacklogItem> visitor) {
            for (BacklogItem item : open.values()) {
                if (!visitor.test(item)) {
                    return;
                }
            }
        }

        @Override
        public boolean shared() {
            return workspaces > 0;
        }

        @Override
        public void granted(String node, long lease, String upstream) {}

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {}

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {
            leases.add(lease);
            running.put(lease, item);
        }

        @Override
        public void preempt(String node, long lease) {}
    }

    /** Returns the microseconds for the end of an item and the start of another, with 10 open items a workspace. */
    private static double measureItemMicros(int workspaces, boolean late) {
        Ticker ticker = Ticker.system();
        UpstreamDirectory directory = new UpstreamDirectory(ticker);
        for (int i = 0; i < 63; i++) {
            directory.put(new Upstream("engine-" + i, "s", "10.0.0.1", 80, "d" + i % 6, SLOTS, false, "v1"));
        }
        OpenItems items = new OpenItems(
                workspaces,
                ticker.nanos() + (late ? -1 : 1) * Duration.ofHours(1).toNanos());
        for (int i = 0; i < 8_200; i++) {
            items.add();
        }
        SlotScheduler scheduler = new SlotScheduler(
                ticker,
                directory,
                new UpstreamHealth(ticker),
                items,
                items,
                EventLog.NONE,
                () -> 0.5,
                SlotScheduler.Options.defaults());
        scheduler.joined("n", "d0", 1, List.of());
        scheduler.schedule();
        long startNanos = System.nanoTime();
        for (int i = 0; i < ITEMS; i++) {
            long lease = items.leases.remove();
            ItemRef done = items.running.remove(lease);
            items.open.remove(done);
            items.add();
            scheduler.released("n", lease, ReleaseReason.COMPLETED, 0);
            scheduler.resultRecorded(done);
        }
        return (System.nanoTime() - startNanos) / 1e3 / ITEMS;
    }

    private static double measureMicros(int engines, int workspaces) {
        Ticker ticker = Ticker.system();
        UpstreamDirectory directory = new UpstreamDirectory(ticker);
        for (int i = 0; i < engines; i++) {
            directory.put(new Upstream("engine-" + i, "s", "10.0.0.1", 80, "d" + i % 6, SLOTS, false, "v1"));
        }
        SlotScheduler scheduler = new SlotScheduler(
                ticker,
                directory,
                new UpstreamHealth(ticker),
                new Items(workspaces),
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
