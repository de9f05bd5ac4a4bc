package dev.lavenderline.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides an engine's batch slots between job owners.
 *
 * <p>Each owner gets one slot first, earliest deadline first. The rest goes to the owners of the most urgent class of
 * deadlines in equal parts, then to the next class. Owners that hold more than their part keep what they hold as long as
 * the total allows it, because taking a slot away throws away an item's work; they get no new slots.
 */
final class SlotShares {
    private static final double NANOS_PER_MINUTE = 60e9;

    private SlotShares() {}

    /**
     * Returns the slots for each demand, in the order of the demands. Their sum is at most {@code total} and no demand
     * gets more than it wants.
     */
    static int[] divide(List<SlotDemand> demands, int total, long nowNanos) {
        int[] parts = fairParts(demands, total, nowNanos);
        int[] slots = new int[parts.length];
        int left = Math.max(0, total);
        for (int i = 0; i < parts.length; i++) {
            slots[i] = Math.min(parts[i], kept(demands.get(i)));
            left -= slots[i];
        }
        // Above their parts owners keep what they hold.
        for (int i = 0; i < parts.length && left > 0; i++) {
            int more = Math.min(left, kept(demands.get(i)) - slots[i]);
            slots[i] += more;
            left -= more;
        }
        // What is free goes to those below their parts.
        for (int i : order(demands, nowNanos)) {
            int more = Math.max(0, Math.min(left, parts[i] - slots[i]));
            slots[i] += more;
            left -= more;
        }
        return slots;
    }

    private static int kept(SlotDemand demand) {
        return Math.min(demand.wanted, Math.min(demand.held, demand.granted));
    }

    private static int[] fairParts(List<SlotDemand> demands, int total, long nowNanos) {
        int[] parts = new int[demands.size()];
        int left = Math.max(0, total);
        List<Integer> order = order(demands, nowNanos);
        for (int i : order) {
            if (left > 0 && demands.get(i).wanted > 0) {
                parts[i] = 1;
                left--;
            }
        }
        int from = 0;
        while (from < order.size() && left > 0) {
            int urgency = urgency(demands.get(order.get(from)), nowNanos);
            int to = from;
            while (to < order.size() && urgency(demands.get(order.get(to)), nowNanos) == urgency) {
                to++;
            }
            left = fill(demands, parts, order.subList(from, to), left);
            from = to;
        }
        return parts;
    }

    /** Adds one slot to each owner in turn until all have what they want; returns the slots that are left. */
    private static int fill(List<SlotDemand> demands, int[] parts, List<Integer> owners, int slots) {
        int left = slots;
        boolean added = true;
        while (added && left > 0) {
            added = false;
            for (int i : owners) {
                if (left > 0 && parts[i] < demands.get(i).wanted) {
                    parts[i]++;
                    left--;
                    added = true;
                }
            }
        }
        return left;
    }

    private static List<Integer> order(List<SlotDemand> demands, long nowNanos) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < demands.size(); i++) {
            order.add(i);
        }
        order.sort(Comparator.<Integer>comparingInt(i -> urgency(demands.get(i), nowNanos))
                .thenComparingLong(i -> demands.get(i).deadlineNanos - nowNanos)
                .thenComparing(i -> demands.get(i).node));
        return order;
    }

    /** Returns the class of a deadline: each class covers twice the remaining time of the one before. */
    private static int urgency(SlotDemand demand, long nowNanos) {
        double minutes = Math.max(1, (demand.deadlineNanos - nowNanos) / NANOS_PER_MINUTE);
        return Math.getExponent(minutes);
    }
}
