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

/** Allocates the batch slots of one engine to job owners, from its online load and its batch limit. */
final class EngineSlotAllocator {
    static final long LEASE_NANOS = 1_000_000_000L;
    private static final long IDLE_TICK_NANOS = 25_000_000L;
    private static final long GRANT_RENEWAL_NANOS = 300_000_000L;
    private static final long REQUEST_VALIDITY_NANOS = 1_000_000_000L;
    private static final long MAX_LATENCY_AGE_NANOS = 1_000_000_000L;
    /** Time without batch items after which latencies count towards the baseline. */
    private static final long BASELINE_BATCH_FREE_NANOS = 1_000_000_000L;
    /** Online latency relative to the baseline above which the limit stops growing. */
    private static final double HOLD_LATENCY_RATIO = 1.25;

    /** Online latency relative to the baseline above which the limit decreases. */
    private static final double BAD_LATENCY_RATIO = 1.5;

    private static final double NANOS_PER_MICRO = 1000;

    private final BatchLimit limit;
    private final Map<String, NodeLoad> loads = new HashMap<>();
    private final Map<String, SlotDemand> demands = new TreeMap<>();
    private final Map<String, Long> lostNodeLeaseEnds = new HashMap<>();
    private final Map<String, Integer> lostNodeSlots = new HashMap<>();
    private final LatencyBaseline firstTokenBaseline = new LatencyBaseline();
    private final LatencyBaseline tokenIntervalBaseline = new LatencyBaseline();
    private Upstream config;
    private Deployment deployment;
    private int onlineInFlight;
    private int onlineWaiting;
    private int batchInFlight;
    private long lastBatchNanos;
    private long sequence;
    private boolean inputChanged = true;
    private long lastTickNanos;

    EngineSlotAllocator(Upstream config, Deployment deployment, long nowNanos) {
        this.config = config;
        this.deployment = deployment;
        this.limit = new BatchLimit(nowNanos);
        this.lastBatchNanos = nowNanos;
        this.lastTickNanos = nowNanos;
    }

    void configure(Upstream newConfig, Deployment newDeployment) {
        inputChanged = true;
        config = newConfig;
        deployment = newDeployment;
    }

    void load(String node, UpstreamLoad load, long nowNanos) {
        inputChanged = true;
        NodeLoad previous = loads.put(node, new NodeLoad(load, nowNanos));
        addToTotals(previous, -1);
        addToTotals(loads.get(node), 1);
        if (batchInFlight > 0) {
            lastBatchNanos = nowNanos;
        } else if (nowNanos - lastBatchNanos >= BASELINE_BATCH_FREE_NANOS && load.getOnlineInFlight() > 0) {
            firstTokenBaseline.add(load.getFirstTokenUs());
            tokenIntervalBaseline.add(load.getTokenIntervalUs());
        }
    }

    private void addToTotals(NodeLoad load, int sign) {
        if (load != null) {
            onlineInFlight += sign * load.load.getOnlineInFlight();
            onlineWaiting += sign * load.load.getOnlineWaiting();
            batchInFlight += sign * load.load.getBatchInFlight();
        }
    }

    void request(String node, SlotRequest request, long nowNanos) {
        inputChanged = true;
        SlotDemand demand = demands.computeIfAbsent(node, SlotDemand::new);
        demand.wanted = Math.max(0, request.getWanted());
        demand.held = Math.max(0, request.getHeld());
        demand.deadlineNanos = nowNanos + request.getDeadlineInMs() * 1_000_000L;
        demand.receivedNanos = nowNanos;
    }

    /** Removes a lost node; its slots stay reserved until its lease expires, because it may still use them. */
    void nodeLost(String node) {
        inputChanged = true;
        addToTotals(loads.remove(node), -1);
        SlotDemand demand = demands.remove(node);
        if (demand != null && demand.granted > 0) {
            lostNodeLeaseEnds.put(node, demand.grantSentNanos + LEASE_NANOS);
            lostNodeSlots.put(node, demand.granted);
        }
    }

    private boolean hasDemandOrLease() {
        return !demands.isEmpty() || !lostNodeLeaseEnds.isEmpty();
    }

    /** Returns the upper bound of batch items at present. */
    int bound(boolean onlineTraffic) {
        if (deployment == null || !deployment.batchEnabled()) {
            return 0;
        }
        int sequences = config.maxConcurrent();
        int free = sequences - onlineInFlight - onlineWaiting - Headroom.of(sequences);
        int share = onlineTraffic ? (int) (deployment.batchMaxShare() * sequences) : sequences;
        return Math.max(0, Math.min(free, share));
    }

    /** Returns whether a tick may have an effect: after a change of input, and every 25 ms for limits and leases. */
    boolean due(long nowNanos) {
        return hasDemandOrLease() && (inputChanged || nowNanos - lastTickNanos >= IDLE_TICK_NANOS);
    }

    /** Adapts the limit and returns the grants to send. */
    void tick(String controller, boolean onlineTraffic, long nowNanos, List<AddressedGrant> grants) {
        inputChanged = false;
        lastTickNanos = nowNanos;
        int bound = bound(onlineTraffic);
        limit.update(signal(nowNanos), bound, nowNanos);
        dropExpired(nowNanos);
        List<SlotDemand> all = new ArrayList<>(demands.values());
        int reserved = 0;
        for (int slots : lostNodeSlots.values()) {
            reserved += slots;
        }
        int[] slots = SlotShares.divide(all, Math.min(bound, limit.slots()) - reserved, nowNanos);
        for (int i = 0; i < slots.length; i++) {
            SlotDemand demand = all.get(i);
            boolean changed = slots[i] != demand.granted;
            boolean due = slots[i] > 0 && nowNanos - demand.grantSentNanos >= GRANT_RENEWAL_NANOS;
            if (!changed && !due) {
                continue;
            }
            demand.granted = slots[i];
            demand.grantSentNanos = nowNanos;
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

    private void dropExpired(long nowNanos) {
        for (SlotDemand demand : demands.values()) {
            if (nowNanos - demand.receivedNanos > REQUEST_VALIDITY_NANOS) {
                demand.wanted = 0;
            }
        }
        if (lostNodeLeaseEnds.values().removeIf(end -> nowNanos - end >= 0)) {
            lostNodeSlots.keySet().retainAll(lostNodeLeaseEnds.keySet());
        }
    }

    private BatchLimit.Signal signal(long nowNanos) {
        double firstTokenMicros = 0;
        double intervalMicros = 0;
        int firstTokenWeight = 0;
        int intervalWeight = 0;
        for (NodeLoad load : loads.values()) {
            if (nowNanos - load.receivedNanos > MAX_LATENCY_AGE_NANOS) {
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
            return onlineInFlight == 0 ? BatchLimit.Signal.NONE : BatchLimit.Signal.GOOD;
        }
        double firstTokenMean = firstTokenWeight == 0 ? 0 : firstTokenMicros / firstTokenWeight;
        double intervalMean = intervalWeight == 0 ? 0 : intervalMicros / intervalWeight;
        double worst = Math.max(
                latencyRatio(
                        firstTokenMean,
                        firstTokenBaseline.micros(),
                        deployment == null ? 0 : deployment.firstToken().toNanos()),
                latencyRatio(
                        intervalMean,
                        tokenIntervalBaseline.micros(),
                        deployment == null ? 0 : deployment.betweenTokens().toNanos()));
        if (worst > BAD_LATENCY_RATIO) {
            return BatchLimit.Signal.BAD;
        }
        return worst > HOLD_LATENCY_RATIO ? BatchLimit.Signal.HOLD : BatchLimit.Signal.GOOD;
    }

    /** Returns the latency relative to the baseline; over {@link #BAD_LATENCY_RATIO} if it exceeds the target. */
    private static double latencyRatio(double micros, double baselineMicros, long targetNanos) {
        double toBaseline = baselineMicros == 0 ? 0 : micros / baselineMicros;
        double toTarget = targetNanos == 0 ? 0 : BAD_LATENCY_RATIO * micros * NANOS_PER_MICRO / targetNanos;
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

    int onlineInFlight() {
        return onlineInFlight;
    }

    private record NodeLoad(UpstreamLoad load, long receivedNanos) {}
}
