package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against items of a service that has no free slots which keep those of an idle service from starting. */
class IdleServiceItemsTest {
    private static final int SLOTS = 4;
    private static final Duration ROUND = Duration.ofMillis(20);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<BacklogItem> backlog = new ArrayList<>();
    private final List<String> started = new ArrayList<>();
    private final List<Integer> visits = new ArrayList<>();
    private final SlotScheduler scheduler = new SlotScheduler(
            time,
            directory,
            new UpstreamHealth(time),
            visitor -> {
                int visited = 0;
                for (BacklogItem item : backlog) {
                    visited++;
                    if (!visitor.test(item)) {
                        break;
                    }
                }
                visits.add(visited);
            },
            new SlotDecisionListener() {
                @Override
                public void granted(String node, long lease, String upstream) {}

                @Override
                public void rejected(String node, long lease, Duration retryAfter) {}

                @Override
                public void run(String node, long lease, String upstream, ItemRef item) {
                    started.add(upstream);
                }

                @Override
                public void preempt(String node, long lease) {}
            },
            EventLog.NONE,
            () -> 0.5,
            SlotScheduler.Options.defaults());

    IdleServiceItemsTest() {
        directory.put(new Upstream("busy", "s", "10.0.0.1", 80, "a", SLOTS, false, "v1"));
        directory.put(new Upstream("idle", "t", "10.0.0.2", 80, "a", SLOTS, false, "v1"));
        directory.recordStoreResponse();
        scheduler.joined("n1", "a", 1, List.of());
    }

    private void items(String service, int count, Duration due) {
        int first = backlog.size();
        for (int i = first; i < first + count; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef("job", i), Map.of(service, 1), time.nanos() + due.toNanos() + i, "", 0));
        }
    }

    private void rounds(int count) {
        for (int i = 0; i < count; i++) {
            scheduler.schedule();
            time.advance(ROUND);
        }
    }

    private long started(String upstream) {
        return started.stream().filter(upstream::equals).count();
    }

    /** Review case 8; due times in seconds. Items due within 8 s are urgent, those due within 4 s late. */
    @ParameterizedTest
    @CsvSource({"1, 2", "1, 30", "6, 7", "6, 30", "30, 40"})
    void itemsOfAnIdleServiceStart(int busyDue, int idleDue) {
        items("s", 800, Duration.ofSeconds(busyDue));
        items("t", SLOTS, Duration.ofSeconds(idleDue));
        rounds(3);
        assertEquals(SLOTS, started("busy"));
        assertEquals(SLOTS, started("idle"));
    }

    /** The job is accepted while the slots of the first service are full. */
    @Test
    void itemsOfALaterJobStartSoon() {
        items("s", 800, Duration.ofSeconds(1));
        rounds(50);
        items("t", SLOTS, Duration.ofSeconds(2));
        rounds(20);
        assertEquals(SLOTS, started("idle"));
    }

    /** A visit of thousands of items costs too much for each round. */
    @Test
    void roundsWithoutFreeSlotsDoNotVisitTheWholeBacklog() {
        items("s", 8000, Duration.ofSeconds(30));
        rounds(100);
        assertTrue(visits.stream().filter(visited -> visited > SLOTS + 1).count() <= 10, visits::toString);
    }

    /** Online requests that wait for one service are no reason to leave the slots of another one idle. */
    @Test
    void itemsStartWhileRequestsWaitForAnotherService() {
        for (int i = 0; i < 3 * SLOTS; i++) {
            scheduler.acquire(new SlotRequest(
                    "n1", i, "s", Duration.ofSeconds(20), Duration.ofSeconds(20), Set.of(), 0, true, Optional.empty()));
        }
        assertTrue(scheduler.waitingCount() > 0);
        items("s", SLOTS, Duration.ofSeconds(30));
        items("t", SLOTS, Duration.ofSeconds(30));
        rounds(2);
        assertEquals(0, started("busy"));
        assertEquals(SLOTS, started("idle"));
    }
}
