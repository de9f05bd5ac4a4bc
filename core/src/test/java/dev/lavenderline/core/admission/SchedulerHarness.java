package dev.lavenderline.core.admission;

import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.routing.Fleets;
import dev.lavenderline.core.routing.ManualTicker;
import dev.lavenderline.proto.peer.SlotGrant;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;

/** A scheduler in region {@code north} with a manual clock. */
final class SchedulerHarness {
    final ManualTicker ticker = new ManualTicker();
    final BatchScheduler scheduler = new BatchScheduler("north", ticker, RandomSource.XO_SHI_RO_256_PP.create(1L));
    private long sequence;

    SchedulerHarness(FleetConfig config) {
        scheduler.configure(config);
    }

    void open(String id, String workspace, int items, Duration deadline) {
        scheduler.open(new BatchJob(id, workspace, Fleets.MODEL, ticker.now().plus(deadline), items), new BitSet());
    }

    void grant(String upstream, int slots) {
        grant(upstream, slots, "c");
    }

    void grant(String upstream, int slots, String controller) {
        scheduler.grant(SlotGrant.newBuilder()
                .setUpstream(upstream)
                .setSlots(slots)
                .setValidMs(1000)
                .setController(controller)
                .setSequence(++sequence)
                .build());
    }

    List<BatchAction.Start> starts() {
        List<BatchAction.Start> starts = new ArrayList<>();
        scheduler.tick().forEach(action -> {
            if (action instanceof BatchAction.Start start) {
                starts.add(start);
            }
        });
        return starts;
    }

    /** Starts items until no slot is free; each gets its first token at once. */
    List<ItemRef> fill() {
        List<ItemRef> items = new ArrayList<>();
        for (List<BatchAction.Start> starts = starts(); !starts.isEmpty(); starts = starts()) {
            starts.forEach(start -> {
                scheduler.firstToken(start.item());
                items.add(start.item());
            });
        }
        return items;
    }
}
