package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Nodes that the scheduler avoids for items, because they declined items: of jobs that they have not read, or because
 * they are draining.
 *
 * <p>A node that declines at once has no load, so that placement by load alone would give it nearly every item again.
 * Nodes decline for milliseconds after a job was accepted, and for seconds while they drain, are partitioned from the
 * store or read it after a start; the avoidance period therefore starts short and doubles while a node keeps declining.
 *
 * <p>Invariants: a node is avoided for at most {@link #MAX_PERIOD} after a decline; the declines of items that were
 * given to a node before its previous decline was known count as one. Not thread-safe; confined to the event loop.
 */
final class DecliningNodes {
    /** Covers the read of a job's partition with which a node reacts to a decline, a few milliseconds usually. */
    static final Duration FIRST_PERIOD = Duration.ofMillis(50);

    /** Bounds the time for which a node stays without items after it has read the jobs. */
    static final Duration MAX_PERIOD = Duration.ofSeconds(2);

    /**
     * Items per unit of capacity added to the load of an avoided node for each decline in a row. Several times what a
     * node usually runs, but finite, so that the few nodes that have read a new job do not get all of its items.
     */
    static final double ITEM_LOAD_PER_DECLINE = 60;

    private final Ticker ticker;
    private final Map<String, Avoidance> avoidances = new HashMap<>();

    /**
     * The last decline of a node.
     *
     * @param declines declines in a row
     */
    private record Avoidance(long sinceNanos, long untilNanos, int declines) {
        boolean covers(long nanos) {
            return nanos - sinceNanos > 0 && nanos - untilNanos < 0;
        }
    }

    DecliningNodes(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Records that a node declined an item.
     *
     * @param grantNanos time at which the item was given to the node
     * @return whether the node was not avoided at that time
     */
    boolean declined(String node, long grantNanos) {
        Avoidance last = avoidances.get(node);
        if (last != null && grantNanos - last.sinceNanos() <= 0) {
            return true;
        }
        int declines = last == null ? 1 : last.declines() + 1;
        long now = ticker.nanos();
        avoidances.put(node, new Avoidance(now, now + period(declines).toNanos(), declines));
        return last == null || !last.covers(grantNanos);
    }

    private static Duration period(int declines) {
        Duration period = FIRST_PERIOD;
        for (int i = 1; i < declines && period.compareTo(MAX_PERIOD) < 0; i++) {
            period = period.multipliedBy(2);
        }
        return period.compareTo(MAX_PERIOD) < 0 ? period : MAX_PERIOD;
    }

    /** Records that a node ran an item; one given to it before its last decline proves nothing about later jobs. */
    void ran(String node, long grantNanos) {
        Avoidance last = avoidances.get(node);
        if (last != null && grantNanos - last.sinceNanos() > 0) {
            avoidances.remove(node);
        }
    }

    boolean avoided(String node) {
        Avoidance last = avoidances.get(node);
        return last != null && ticker.nanos() - last.untilNanos() < 0;
    }

    /** Returns the load to add to a node's own, in items per unit of capacity; 0 if the node is not avoided. */
    double extraItemLoad(String node) {
        return avoided(node) ? ITEM_LOAD_PER_DECLINE * avoidances.get(node).declines() : 0;
    }

    /** Forgets a node that uses another scheduler now or is gone. */
    void nodeLeft(String node) {
        avoidances.remove(node);
    }
}
