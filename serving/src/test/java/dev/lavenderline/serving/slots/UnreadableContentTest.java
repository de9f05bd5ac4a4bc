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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against items that stand still while the store does not answer, although one node has their content. */
class UnreadableContentTest {
    private static final int NODES = 10;
    private static final int SLOTS = 40;
    private static final int ITEMS = 30;
    private static final Duration STEP = Duration.ofMillis(20);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<Runnable> undelivered = new ArrayList<>();
    private final Set<ItemRef> running = new HashSet<>();
    private int unreadable;
    private SlotScheduler scheduler;

    private String acceptedBy(int item) {
        return "n" + item % 3;
    }

    private void start() {
        scheduler = new SlotScheduler(
                time,
                directory,
                new UpstreamHealth(time),
                visitor -> {
                    for (int i = 0; i < ITEMS; i++) {
                        if (!visitor.test(new BacklogItem(
                                new ItemRef("job" + i % 3, i),
                                Map.of("s", 1),
                                Duration.ofMinutes(5).toNanos(),
                                acceptedBy(i),
                                0))) {
                            return;
                        }
                    }
                },
                new SlotDecisionListener() {
                    @Override
                    public void granted(String node, long lease, String upstream) {}

                    @Override
                    public void rejected(String node, long lease, Duration retryAfter) {}

                    @Override
                    public void run(String node, long lease, String upstream, ItemRef item) {
                        undelivered.add(() -> receive(node, lease, item));
                    }

                    @Override
                    public void preempt(String node, long lease) {}
                },
                EventLog.NONE,
                () -> 0.5,
                SlotScheduler.Options.defaults());
        directory.put(new Upstream("e", "s", "10.0.0.1", 80, "a", SLOTS, false, "v1"));
        directory.recordStoreResponse();
        for (int i = 0; i < NODES; i++) {
            scheduler.joined("n" + i, "a", 1, List.of());
        }
    }

    private void receive(String node, long lease, ItemRef item) {
        if (node.equals(acceptedBy(item.index()))) {
            running.add(item);
            return;
        }
        unreadable++;
        scheduler.released(node, lease, ReleaseReason.CONTENT_UNREADABLE, 0);
    }

    private void play(Duration period) {
        for (Duration at = Duration.ZERO; at.compareTo(period) < 0; at = at.plus(STEP)) {
            time.advance(STEP);
            directory.recordStoreResponse();
            List<Runnable> received = List.copyOf(undelivered);
            undelivered.clear();
            received.forEach(Runnable::run);
            scheduler.schedule();
        }
    }

    @Test
    void itemsRunWhereTheirJobWasAccepted() {
        start();
        play(Duration.ofSeconds(1));
        assertEquals(ITEMS, running.size(), unreadable + " runs ended without the content");
        assertTrue(unreadable <= ITEMS, unreadable + " runs ended without the content");
    }

    @Test
    void itemsWhoseAcceptingNodeIsLostAreTriedElsewhere() {
        start();
        scheduler.left("n0");
        play(Duration.ofSeconds(1));
        assertEquals(ITEMS * 2 / 3, running.size());
        assertTrue(unreadable > 0 && unreadable < 200, unreadable + " runs ended without the content");
    }
}
