package dev.lavenderline.core.admission;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.SlotGrant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Batch slots that a job owner may use on one engine, and the owner's items in flight there. */
final class EngineLease {
    /** Time for which an online burst that this node sees limits its items; by then, new grants reflect it. */
    private static final long BURST_LIMIT_NANOS = 100_000_000L;

    /** Delay before a freed slot is reused, so that peers see two load changes and notice the new prefill. */
    private static final long SLOT_REUSE_DELAY_NANOS = 10_000_000L;
    /** Delay of starts after a new online request: its typical first-token time, which a batch prefill would delay. */
    private static final long ONLINE_PREFILL_NANOS = 40_000_000L;

    private final Map<String, Grant> grants = new HashMap<>();
    private final List<RunningItem> running = new ArrayList<>();
    private Upstream config;
    private int onlineInFlight;
    private int onlineBeforeBurst;
    private int heldBeforeBurst;
    private long burstLimitUntilNanos;
    private int burstLimit = Integer.MAX_VALUE;
    private long pausedUntilNanos;
    private long startsAllowedFromNanos;
    private int consecutiveFailures;

    EngineLease(Upstream config, long nowNanos) {
        this.config = config;
        this.burstLimitUntilNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
        this.startsAllowedFromNanos = nowNanos;
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

    /** Accepts a grant unless a newer one of the same controller is still valid. */
    void grant(SlotGrant grant, long nowNanos) {
        Grant previous = grants.get(grant.getController());
        boolean stale = previous != null && previous.valid(nowNanos) && grant.getSequence() <= previous.sequence;
        if (!stale) {
            long until = nowNanos + grant.getValidMs() * 1_000_000L;
            grants.put(grant.getController(), new Grant(grant.getSlots(), grant.getSequence(), until));
        }
    }

    /** Records the online requests that this node knows to be in flight on the engine; an increase is a burst. */
    void onlineChanged(int inFlight, long nowNanos) {
        if (inFlight > onlineInFlight) {
            if (nowNanos - burstLimitUntilNanos >= 0) {
                onlineBeforeBurst = onlineInFlight;
                heldBeforeBurst = heldSlots();
            }
            burstLimitUntilNanos = nowNanos + BURST_LIMIT_NANOS;
            delayStarts(nowNanos + ONLINE_PREFILL_NANOS);
            int excess = Math.max(0, inFlight - onlineBeforeBurst - Headroom.of(config.maxConcurrent()));
            burstLimit = Math.max(0, heldBeforeBurst - excess);
        }
        onlineInFlight = inFlight;
    }

    /** Returns the granted slots; while two controllers have valid grants, the larger grant counts. */
    int grantedSlots(long nowNanos) {
        grants.values().removeIf(grant -> !grant.valid(nowNanos));
        int granted = 0;
        for (Grant grant : grants.values()) {
            granted = Math.max(granted, grant.slots);
        }
        return granted;
    }

    /** Returns how many granted slots may be used now, after online requests, headroom and a burst's limit. */
    int usableSlots(long nowNanos) {
        int sequences = config.maxConcurrent();
        int free = Math.max(0, sequences - onlineInFlight - Headroom.of(sequences));
        int usable = Math.min(grantedSlots(nowNanos), free);
        return nowNanos - burstLimitUntilNanos < 0 ? Math.min(usable, burstLimit) : usable;
    }

    void started(RunningItem item) {
        running.add(item);
    }

    void ended(RunningItem item, long nowNanos) {
        running.remove(item);
        delayStarts(nowNanos + SLOT_REUSE_DELAY_NANOS);
    }

    private void delayStarts(long untilNanos) {
        if (untilNanos - startsAllowedFromNanos > 0) {
            startsAllowedFromNanos = untilNanos;
        }
    }

    /** Returns whether an item may start now without delaying an online request's first token. */
    boolean startAllowed(long nowNanos) {
        return nowNanos - startsAllowedFromNanos >= 0 && nowNanos - pausedUntilNanos >= 0;
    }

    List<RunningItem> running() {
        return running;
    }

    /** Returns the number of items in flight, excluding those being cancelled. */
    int heldSlots() {
        int held = 0;
        for (RunningItem item : running) {
            held += item.cancelling ? 0 : 1;
        }
        return held;
    }

    /** Returns how many of the held slots have an item without a first token. */
    int pendingPrefills() {
        int prefills = 0;
        for (RunningItem item : running) {
            prefills += item.cancelling || item.hasFirstToken ? 0 : 1;
        }
        return prefills;
    }

    /** Returns whether an item with a failed earlier attempt is in flight on the engine. */
    boolean hasPreviouslyFailedItem() {
        for (RunningItem item : running) {
            if (item.previouslyFailed) {
                return true;
            }
        }
        return false;
    }

    /** Returns the most recently started item that is not being cancelled, null if there is none. */
    RunningItem lastStarted() {
        for (int i = running.size() - 1; i >= 0; i--) {
            if (!running.get(i).cancelling) {
                return running.get(i);
            }
        }
        return null;
    }

    /** Pauses starts after a failure; further failures during the pause do not extend it. */
    void failed(Backoff backoff, long nowNanos) {
        if (nowNanos - pausedUntilNanos >= 0) {
            consecutiveFailures++;
            pausedUntilNanos = nowNanos + backoff.delayNanos(consecutiveFailures);
        }
    }

    void answered() {
        consecutiveFailures = 0;
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
