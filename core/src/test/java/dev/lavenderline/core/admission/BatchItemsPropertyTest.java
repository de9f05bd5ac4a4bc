package dev.lavenderline.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.routing.Fleets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against lost items and items in flight twice, under random grants, bursts, failures and ownership changes. */
class BatchItemsPropertyTest {
    private static final int ITEMS = 30;

    @Property(tries = 200)
    void itemsNeverRunTwiceAndAreNeverLost(@ForAll long seed) {
        new RandomRun().check(new Random(seed));
    }

    private static final class RandomRun {
        private final SchedulerHarness harness = new SchedulerHarness(Fleets.engines(3, 4));
        private final Map<ItemRef, String> inFlight = new HashMap<>();
        private final Set<ItemRef> cancelled = new HashSet<>();
        private final Map<ItemRef, Integer> results = new HashMap<>();
        private final Set<String> closed = new HashSet<>();

        void check(Random random) {
            BitSet done = new BitSet();
            done.set(3, 8);
            harness.scheduler.open(
                    new BatchJob("a", "w", Fleets.MODEL, harness.ticker.now().plus(Duration.ofDays(1)), ITEMS), done);
            harness.open("b", "v", ITEMS, Duration.ofDays(2));
            for (int step = 0; step < 300; step++) {
                changeInputs(random);
                tick();
                advanceAttempts(random);
            }
            finishAll();
            for (String job : List.of("a", "b")) {
                for (int i = 0; i < ITEMS && !closed.contains(job); i++) {
                    boolean doneAtStart = job.equals("a") && done.get(i);
                    assertEquals(doneAtStart ? 0 : 1, results.getOrDefault(new ItemRef(job, i), 0), job + " " + i);
                }
            }
        }

        private void changeInputs(Random random) {
            harness.ticker.advanceMillis(random.nextInt(300));
            String engine = "e" + random.nextInt(3);
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> harness.grant(engine, random.nextInt(5), "c" + random.nextInt(2));
                case 3 -> harness.scheduler.onlineChanged(engine, random.nextInt(5));
                case 4 ->
                    harness.scheduler.setExcludedAddresses(random.nextBoolean() ? Set.of("127.0.0.1:9001") : Set.of());
                case 5 -> {
                    if (random.nextInt(60) == 0) {
                        harness.scheduler.close("b");
                        closed.add("b");
                    } else if (random.nextInt(20) == 0 && !closed.contains("a")) {
                        closeAndReopen();
                    }
                }
                default -> harness.scheduler.requests();
            }
        }

        /** Closes and reopens a job while its items are in flight, as if the node lost and regained its ownership. */
        private void closeAndReopen() {
            BitSet done = new BitSet();
            done.set(3, 8);
            results.keySet().stream().filter(ref -> ref.jobId().equals("a")).forEach(ref -> done.set(ref.index()));
            harness.scheduler.close("a");
            harness.scheduler.open(
                    new BatchJob("a", "w", Fleets.MODEL, harness.ticker.now().plus(Duration.ofDays(1)), ITEMS), done);
        }

        private void tick() {
            for (BatchAction action : harness.scheduler.tick()) {
                if (action instanceof BatchAction.Start start) {
                    assertFalse(inFlight.containsKey(start.item()), "started while in flight: " + start);
                    assertFalse(results.containsKey(start.item()), "started after its result: " + start);
                    assertFalse(closed.contains(start.item().jobId()), "started after the close: " + start);
                    inFlight.put(start.item(), start.upstream());
                } else {
                    assertEquals(action.upstream(), inFlight.get(action.item()));
                    assertTrue(cancelled.add(action.item()), "cancelled twice: " + action);
                }
            }
            Map<String, Integer> prefills = new HashMap<>();
            harness.scheduler.view().engines().forEach(view -> prefills.put(view.upstream(), view.prefills()));
            assertTrue(prefills.values().stream().allMatch(count -> count <= 1), prefills.toString());
        }

        private void advanceAttempts(Random random) {
            for (ItemRef ref : new ArrayList<>(inFlight.keySet())) {
                int roll = random.nextInt(12);
                if (roll < 3) {
                    harness.scheduler.firstToken(ref);
                } else if (roll < 5) {
                    finish(ref);
                } else if (roll == 5) {
                    fail(ref, AttemptFailure.values()[random.nextInt(5)]);
                } else if (roll < 9 && cancelled.contains(ref)) {
                    fail(ref, AttemptFailure.CANCELLED);
                }
            }
        }

        private void finish(ItemRef ref) {
            inFlight.remove(ref);
            cancelled.remove(ref);
            if (harness.scheduler.finished(ref)) {
                results.merge(ref, 1, Integer::sum);
            }
        }

        private void fail(ItemRef ref, AttemptFailure failure) {
            inFlight.remove(ref);
            cancelled.remove(ref);
            ItemResolution resolution = harness.scheduler.failed(ref, failure);
            if (resolution == ItemResolution.REFUSED || resolution == ItemResolution.ATTEMPTS_EXHAUSTED) {
                results.merge(ref, 1, Integer::sum);
            }
        }

        private void finishAll() {
            harness.scheduler.setExcludedAddresses(Set.of());
            for (int round = 0; round < 2000; round++) {
                harness.ticker.advanceMillis(100);
                for (int engine = 0; engine < 3; engine++) {
                    harness.scheduler.onlineChanged("e" + engine, 0);
                    harness.grant("e" + engine, 4);
                }
                tick();
                new ArrayList<>(inFlight.keySet()).forEach(this::finish);
            }
        }
    }
}
