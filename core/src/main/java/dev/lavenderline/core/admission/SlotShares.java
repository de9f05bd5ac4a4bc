package dev.lavenderline.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides an engine's batch slots between job owners.
 *
 * <p>Each owner gets one slot first, earliest deadline first. The rest goes in equal shares to the owners of the most
 * urgent deadline class, then to the next class. Owners that hold more than their share keep what they hold as long as
 * the total allows, because revoking a slot discards an item's work; they get no new slots.
 */
final class SlotShares {
    private static final double NANOS_PER_MINUTE = 60e9;

    private SlotShares() {}

    /**
     * Returns the slots for each demand, in the order of the demands. Their sum is at most {@code total} and no demand
     * gets more than it wants.
     */
    static int[] divide(List<SlotDemand> demands, int total, long nowNanos) {
        int[] shares = fairShares(demands, total, nowNanos);
        int[] slots = new int[shares.length];
        int remaining = Math.max(0, total);
        for (int i = 0; i < shares.length; i++) {
            slots[i] = Math.min(shares[i], retainable(demands.get(i)));
            remaining -= slots[i];
        }
        // Owners above their shares keep what they hold.
        for (int i = 0; i < shares.length && remaining > 0; i++) {
            int more = Math.min(remaining, retainable(demands.get(i)) - slots[i]);
            slots[i] += more;
            remaining -= more;
        }
        // Free slots go to owners below their shares.
        for (int i : byUrgency(demands, nowNanos)) {
            int more = Math.max(0, Math.min(remaining, shares[i] - slots[i]));
            slots[i] += more;
            remaining -= more;
        }
        return slots;
    }

    private static int retainable(SlotDemand demand) {
        return Math.min(demand.wanted, Math.min(demand.held, demand.granted));
    }

    private static int[] fairShares(List<SlotDemand> demands, int total, long nowNanos) {
        int[] shares = new int[demands.size()];
        int remaining = Math.max(0, total);
        List<Integer> order = byUrgency(demands, nowNanos);
        for (int i : order) {
            if (remaining > 0 && demands.get(i).wanted > 0) {
                shares[i] = 1;
                remaining--;
            }
        }
        int from = 0;
        while (from < order.size() && remaining > 0) {
            int deadlineClass = deadlineClass(demands.get(order.get(from)), nowNanos);
            int to = from;
            while (to < order.size() && deadlineClass(demands.get(order.get(to)), nowNanos) == deadlineClass) {
                to++;
            }
            remaining = shareEqually(demands, shares, order.subList(from, to), remaining);
            from = to;
        }
        return shares;
    }

    /** Adds one slot to each owner in turn until all have what they want; returns the remaining slots. */
    private static int shareEqually(List<SlotDemand> demands, int[] shares, List<Integer> owners, int slots) {
        int remaining = slots;
        boolean added = true;
        while (added && remaining > 0) {
            added = false;
            for (int i : owners) {
                if (remaining > 0 && shares[i] < demands.get(i).wanted) {
                    shares[i]++;
                    remaining--;
                    added = true;
                }
            }
        }
        return remaining;
    }

    private static List<Integer> byUrgency(List<SlotDemand> demands, long nowNanos) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < demands.size(); i++) {
            order.add(i);
        }
        order.sort(Comparator.<Integer>comparingInt(i -> deadlineClass(demands.get(i), nowNanos))
                .thenComparingLong(i -> demands.get(i).deadlineNanos - nowNanos)
                .thenComparing(i -> demands.get(i).node));
        return order;
    }

    /** Returns the class of a demand's deadline: class n has 2^n to 2^(n+1) minutes left, class 0 also less. */
    private static int deadlineClass(SlotDemand demand, long nowNanos) {
        double minutes = Math.max(1, (demand.deadlineNanos - nowNanos) / NANOS_PER_MINUTE);
        return Math.getExponent(minutes);
    }
}
