package dev.lavenderline.core.admission;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against slots that are granted twice or to nobody, and against a late deadline that starves an urgent one. */
class SlotSharesTest {
    private static final long MINUTE = 60_000_000_000L;

    private static SlotDemand demand(String node, int wanted, int held, long deadlineNanos) {
        SlotDemand demand = new SlotDemand(node);
        demand.wanted = wanted;
        demand.held = held;
        demand.granted = held;
        demand.deadlineNanos = deadlineNanos;
        return demand;
    }

    @Property
    void wantedSlotsAreGrantedExactlyOnce(
            @ForAll @Size(max = 6) List<@IntRange(max = 20) Integer> wanted,
            @ForAll @Size(min = 6, max = 6) List<@IntRange(max = 20) Integer> held,
            @ForAll @IntRange(min = -3, max = 40) int total) {
        List<SlotDemand> demands = new ArrayList<>();
        int allWanted = 0;
        for (int i = 0; i < wanted.size(); i++) {
            demands.add(demand("n" + i, wanted.get(i), held.get(i), (1L << held.get(i)) * MINUTE));
            allWanted += wanted.get(i);
        }
        int[] slots = SlotShares.divide(demands, total, 0);
        int sum = 0;
        for (int i = 0; i < slots.length; i++) {
            assertTrue(slots[i] >= 0 && slots[i] <= wanted.get(i));
            sum += slots[i];
        }
        assertEquals(Math.min(Math.max(0, total), allWanted), sum);
    }

    @Test
    void equalDeadlinesShareEqually() {
        List<SlotDemand> demands = List.of(
                demand("a", 20, 0, 60 * MINUTE), demand("b", 20, 0, 61 * MINUTE), demand("c", 2, 0, 60 * MINUTE));
        assertArrayEquals(new int[] {5, 5, 2}, SlotShares.divide(demands, 12, 0));
    }

    @Test
    void urgentOwnerGoesFirstAndOthersKeepOneSlot() {
        List<SlotDemand> demands = List.of(demand("late", 20, 0, 600 * MINUTE), demand("urgent", 20, 0, 10 * MINUTE));
        assertArrayEquals(new int[] {1, 11}, SlotShares.divide(demands, 12, 0));
    }

    /** Moving a slot to another owner would cancel an item, so a slot moves only when its item ends. */
    @Test
    void heldSlotsAreKeptUntilTheirItemsEnd() {
        SlotDemand late = demand("late", 20, 12, 600 * MINUTE);
        SlotDemand urgent = demand("urgent", 20, 0, 10 * MINUTE);
        assertArrayEquals(new int[] {12, 0}, SlotShares.divide(List.of(late, urgent), 12, 0));
        late.held = 9;
        assertArrayEquals(new int[] {9, 3}, SlotShares.divide(List.of(late, urgent), 12, 0));
    }
}
