package dev.lavenderline.core.admission;

import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.SlotGrant;
import dev.lavenderline.proto.peer.SlotRequest;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Batch limit, online load and job owners of one engine that this node controls. */
final class EngineSlots {
    static final long LEASE_NANOS = 1_000_000_000L;
    private static final long IDLE_TICK_NANOS = 25_000_000L;
    private static final long RENEW_NANOS = 300_000_000L;
    private static final long REQUEST_AGE_NANOS = 1_000_000_000L;
    private static final long SIGNAL_AGE_NANOS = 1_000_000_000L;
    private static final long SETTLED_NANOS = 1_000_000_000L;
    /** Online latency relative to its value without batch. */
    private static final double HOLD_RATIO = 1.25;

    private static final double BAD_RATIO = 1.5;
    private static final double MICROS_TO_NANOS = 1000;

    private final BatchLimit limit;
    private final Map<String, NodeLoad> loads = new HashMap<>();
    private final Map<String, SlotDemand> demands = new TreeMap<>();
    private final Map<String, Long> lostLeases = new HashMap<>();
    private final Map<String, Integer> lostSlots = new HashMap<>();
    private final LatencyBaseline firstToken = new LatencyBaseline();
    private final LatencyBaseline interval = new LatencyBaseline();
    private Upstream config;
    private Deployment deployment;
    private int online;
    private int waiting;
    private int batch;
    private long batchSeenNanos;
    private long sequence;
    private boolean changed = true;
    private long tickedNanos;

    EngineSlots(Upstream config, Deployment deployment, long nowNanos) {
        this.config = config;
        this.deployment = deployment;
        this.limit = new BatchLimit(nowNanos);
        this.batchSeenNanos = nowNanos;
        this.tickedNanos = nowNanos;
    }

    void configure(Upstream newConfig, Deployment newDeployment) {
        changed = true;
        config = newConfig;
        deployment = newDeployment;
    }

    void load(String node, UpstreamLoad load, long nowNanos) {
        changed = true;
        NodeLoad previous = loads.put(node, new NodeLoad(load, nowNanos));
        count(previous, -1);
        count(loads.get(node), 1);
        if (batch > 0) {
            batchSeenNanos = nowNanos;
        } else if (nowNanos - batchSeenNanos >= SETTLED_NANOS && load.getOnlineInFlight() > 0) {
            firstToken.add(load.getFirstTokenUs());
            interval.add(load.getTokenIntervalUs());
        }
    }

    private void count(NodeLoad load, int sign) {
        if (load != null) {
            online += sign * load.load.getOnlineInFlight();
            waiting += sign * load.load.getOnlineWaiting();
            batch += sign * load.load.getBatchInFlight();
        }
    }

    void request(String node, SlotRequest request, long nowNanos) {
        changed = true;
        SlotDemand demand = demands.computeIfAbsent(node, SlotDemand::new);
        demand.wanted = Math.max(0, request.getWanted());
        demand.held = Math.max(0, request.getHeld());
        demand.deadlineNanos = nowNanos + request.getDeadlineInMs() * 1_000_000L;
        demand.receivedNanos = nowNanos;
    }

    /** Forgets a node; its slots stay reserved until its lease has expired, because it may still use them. */
    void lost(String node) {
        changed = true;
        count(loads.remove(node), -1);
        SlotDemand demand = demands.remove(node);
        if (demand != null && demand.granted > 0) {
            lostLeases.put(node, demand.sentNanos + LEASE_NANOS);
            lostSlots.put(node, demand.granted);
        }
    }

    private boolean hasDemands() {
        return !demands.isEmpty() || !lostLeases.isEmpty();
    }

    /** Returns the largest number of batch items at the moment. */
    int bound(boolean onlineTraffic) {
        if (deployment == null || !deployment.batchEnabled()) {
            return 0;
        }
        int sequences = config.maxConcurrent();
        int free = sequences - online - waiting - Headroom.of(sequences);
        int share = onlineTraffic ? (int) (deployment.batchMaxShare() * sequences) : sequences;
        return Math.max(0, Math.min(free, share));
    }

    /** Returns whether a tick may have an effect: after news, and every 25 ms for limits and leases. */
    boolean due(long nowNanos) {
        return hasDemands() && (changed || nowNanos - tickedNanos >= IDLE_TICK_NANOS);
    }

    /** Adapts the limit and returns the grants to send. */
    void tick(String controller, boolean onlineTraffic, long nowNanos, List<AddressedGrant> grants) {
        changed = false;
        tickedNanos = nowNanos;
        int bound = bound(onlineTraffic);
        limit.update(signal(nowNanos), bound, nowNanos);
        expire(nowNanos);
        List<SlotDemand> all = new ArrayList<>(demands.values());
        int reserved = 0;
        for (int slots : lostSlots.values()) {
            reserved += slots;
        }
        int[] slots = SlotShares.divide(all, Math.min(bound, limit.slots()) - reserved, nowNanos);
        for (int i = 0; i < slots.length; i++) {
            SlotDemand demand = all.get(i);
            boolean changed = slots[i] != demand.granted;
            boolean due = slots[i] > 0 && nowNanos - demand.sentNanos >= RENEW_NANOS;
            if (!changed && !due) {
                continue;
            }
            demand.granted = slots[i];
            demand.sentNanos = nowNanos;
            grants.add(new AddressedGrant(demand.node, grant(controller, slots[i])));
        }
        demands.values().removeIf(demand -> demand.wanted == 0 && demand.granted == 0);
    }

    private SlotGrant grant(String controller, int slots) {
        return SlotGrant.newBuilder()
                .setUpstream(config.name())
                .setSlots(slots)
                .setValidMs((int) (LEASE_NANOS / 1_000_000))
                .setController(controller)
                .setSequence(++sequence)
                .build();
    }

    private void expire(long nowNanos) {
        for (SlotDemand demand : demands.values()) {
            if (nowNanos - demand.receivedNanos > REQUEST_AGE_NANOS) {
                demand.wanted = 0;
            }
        }
        if (lostLeases.values().removeIf(end -> nowNanos - end >= 0)) {
            lostSlots.keySet().retainAll(lostLeases.keySet());
        }
    }

    private BatchLimit.Signal signal(long nowNanos) {
        double firstTokenMicros = 0;
        double intervalMicros = 0;
        int firstTokenWeight = 0;
        int intervalWeight = 0;
        for (NodeLoad load : loads.values()) {
            if (nowNanos - load.receivedNanos > SIGNAL_AGE_NANOS) {
                continue;
            }
            int weight = load.load.getOnlineInFlight();
            if (load.load.getFirstTokenUs() > 0) {
                firstTokenMicros += (double) weight * load.load.getFirstTokenUs();
                firstTokenWeight += weight;
            }
            if (load.load.getTokenIntervalUs() > 0) {
                intervalMicros += (double) weight * load.load.getTokenIntervalUs();
                intervalWeight += weight;
            }
        }
        if (firstTokenWeight == 0 && intervalWeight == 0) {
            return online == 0 ? BatchLimit.Signal.NONE : BatchLimit.Signal.GOOD;
        }
        double first = firstTokenWeight == 0 ? 0 : firstTokenMicros / firstTokenWeight;
        double between = intervalWeight == 0 ? 0 : intervalMicros / intervalWeight;
        double worst = Math.max(
                relative(
                        first,
                        firstToken.micros(),
                        deployment == null ? 0 : deployment.firstToken().toNanos()),
                relative(
                        between,
                        interval.micros(),
                        deployment == null ? 0 : deployment.betweenTokens().toNanos()));
        if (worst > BAD_RATIO) {
            return BatchLimit.Signal.BAD;
        }
        return worst > HOLD_RATIO ? BatchLimit.Signal.HOLD : BatchLimit.Signal.GOOD;
    }

    /** Returns the ratio to the value without batch; a value above the target counts as bad. */
    private static double relative(double micros, double baselineMicros, long targetNanos) {
        double toBaseline = baselineMicros == 0 ? 0 : micros / baselineMicros;
        double toTarget = targetNanos == 0 ? 0 : BAD_RATIO * micros * MICROS_TO_NANOS / targetNanos;
        return Math.max(toBaseline, toTarget);
    }

    int granted() {
        int granted = 0;
        for (SlotDemand demand : demands.values()) {
            granted += demand.granted;
        }
        return granted;
    }

    int limitSlots() {
        return limit.slots();
    }

    int online() {
        return online;
    }

    private record NodeLoad(UpstreamLoad load, long receivedNanos) {}
}
