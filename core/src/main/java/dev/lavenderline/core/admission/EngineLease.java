package dev.lavenderline.core.admission;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.SlotGrant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Slots that this node may use on one engine, and its items there. */
final class EngineLease {
    /** How long the node's own view of a burst limits its items before the controller's grants are trusted again. */
    private static final long YIELD_NANOS = 100_000_000L;

    /** Peers see a freed slot and its next item as two changes, so that they notice the prefill. */
    private static final long FREED_NANOS = 10_000_000L;
    /** An online request has its first token after about this time; a batch prefill would delay it. */
    private static final long ONLINE_PREFILL_NANOS = 40_000_000L;

    private final Map<String, Grant> grants = new HashMap<>();
    private final List<RunningItem> running = new ArrayList<>();
    private Upstream config;
    private int online;
    private int onlineBefore;
    private int runningBefore;
    private long yieldUntilNanos;
    private int yieldLimit = Integer.MAX_VALUE;
    private long pausedUntilNanos;
    private long startAfterNanos;
    private int failuresInRow;

    EngineLease(Upstream config, long nowNanos) {
        this.config = config;
        this.yieldUntilNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
        this.startAfterNanos = nowNanos;
    }

    void configure(Upstream newConfig) {
        config = newConfig;
    }

    Upstream config() {
        return config;
    }

    String name() {
        return config.name();
    }

    /** Accepts a grant; one that is older than a valid grant of the same controller is dropped. */
    void grant(SlotGrant grant, long nowNanos) {
        Grant previous = grants.get(grant.getController());
        boolean stale = previous != null && previous.valid(nowNanos) && grant.getSequence() <= previous.sequence;
        if (!stale) {
            long until = nowNanos + grant.getValidMs() * 1_000_000L;
            grants.put(grant.getController(), new Grant(grant.getSlots(), grant.getSequence(), until));
        }
    }

    /** Records the online requests on the engine as this node knows them. */
    void online(int inFlight, long nowNanos) {
        if (inFlight > online) {
            if (nowNanos - yieldUntilNanos >= 0) {
                onlineBefore = online;
                runningBefore = held();
            }
            yieldUntilNanos = nowNanos + YIELD_NANOS;
            holdStarts(nowNanos + ONLINE_PREFILL_NANOS);
            int excess = Math.max(0, inFlight - onlineBefore - Headroom.of(config.maxConcurrent()));
            yieldLimit = Math.max(0, runningBefore - excess);
        }
        online = inFlight;
    }

    /** Returns the slots of the valid grants; the largest one counts while two controllers are active. */
    int granted(long nowNanos) {
        grants.values().removeIf(grant -> !grant.valid(nowNanos));
        int granted = 0;
        for (Grant grant : grants.values()) {
            granted = Math.max(granted, grant.slots);
        }
        return granted;
    }

    /** Returns the slots that may be used now. */
    int usable(long nowNanos) {
        int sequences = config.maxConcurrent();
        int free = Math.max(0, sequences - online - Headroom.of(sequences));
        int usable = Math.min(granted(nowNanos), free);
        return nowNanos - yieldUntilNanos < 0 ? Math.min(usable, yieldLimit) : usable;
    }

    void started(RunningItem item) {
        running.add(item);
    }

    void ended(RunningItem item, long nowNanos) {
        running.remove(item);
        holdStarts(nowNanos + FREED_NANOS);
    }

    private void holdStarts(long untilNanos) {
        if (untilNanos - startAfterNanos > 0) {
            startAfterNanos = untilNanos;
        }
    }

    /** Returns whether an item may start now without delaying an online request's first token. */
    boolean startAllowed(long nowNanos) {
        return nowNanos - startAfterNanos >= 0 && nowNanos - pausedUntilNanos >= 0;
    }

    List<RunningItem> running() {
        return running;
    }

    /** Returns the items in flight without those being cancelled. */
    int held() {
        int held = 0;
        for (RunningItem item : running) {
            held += item.cancelling ? 0 : 1;
        }
        return held;
    }

    int prefills() {
        int prefills = 0;
        for (RunningItem item : running) {
            prefills += item.cancelling || item.hasToken ? 0 : 1;
        }
        return prefills;
    }

    /** Returns whether an item that failed before runs on the engine. */
    boolean hasSuspect() {
        for (RunningItem item : running) {
            if (item.suspect) {
                return true;
            }
        }
        return false;
    }

    /** Returns the item that started last and is not being cancelled, null if there is none. */
    RunningItem youngest() {
        for (int i = running.size() - 1; i >= 0; i--) {
            if (!running.get(i).cancelling) {
                return running.get(i);
            }
        }
        return null;
    }

    void failed(Backoff backoff, long nowNanos) {
        if (nowNanos - pausedUntilNanos >= 0) {
            failuresInRow++;
            pausedUntilNanos = nowNanos + backoff.waitNanos(failuresInRow);
        }
    }

    void answered() {
        failuresInRow = 0;
    }

    long pausedNanos(long nowNanos) {
        return Math.max(0, pausedUntilNanos - nowNanos);
    }

    private record Grant(int slots, long sequence, long untilNanos) {
        boolean valid(long nowNanos) {
            return nowNanos - untilNanos < 0;
        }
    }
}
