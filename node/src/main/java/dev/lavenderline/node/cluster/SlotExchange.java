package dev.lavenderline.node.cluster;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.admission.AddressedGrant;
import dev.lavenderline.core.admission.BatchScheduler;
import dev.lavenderline.core.admission.SlotController;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.routing.LoadExchange;
import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.SlotGrant;
import dev.lavenderline.proto.peer.SlotRequest;
import dev.lavenderline.proto.peer.UpstreamLoad;
import dev.lavenderline.proto.peer.UpstreamLoads;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Exchanges loads, slot requests and slot grants between this node, its peers and the controllers of the engines.
 *
 * <p>Invariants: a changed load is sent to the engine's controller with the next tick, but to the other nodes of the
 * region at most once per {@link #REGION_SEND_PERIOD}: their dispatchers tolerate older figures, while a controller
 * must revoke slots at once. Not thread-safe; confined to the node's event loop.
 */
public final class SlotExchange {
    private static final Duration REGION_SEND_PERIOD = Duration.ofMillis(100);
    private static final Duration UNLIMITED_GRANT_VALIDITY = Duration.ofSeconds(2);

    private final Cluster cluster;
    private final LoadExchange loads;
    private final SlotController controller;
    private final BatchScheduler scheduler;
    private final Supplier<FleetConfig> config;
    private final Function<Upstream, Optional<SlotGrant>> fixedGrant;
    private final Ticker ticker;
    private final Map<String, UpstreamLoad> pendingForRegion = new HashMap<>();
    private Set<String> controlledEngines = Set.of();
    private long sentVersion;
    private long regionSentAtNanos;
    private long fixedGrantSequence;

    /**
     * Creates the exchange.
     *
     * @param fixedGrant returns the grant for an engine that needs no controller; empty if controllers grant the slots
     */
    public SlotExchange(
            Cluster cluster,
            LoadExchange loads,
            SlotController controller,
            BatchScheduler scheduler,
            Supplier<FleetConfig> config,
            Function<Upstream, Optional<SlotGrant>> fixedGrant,
            Ticker ticker) {
        this.cluster = cluster;
        this.loads = loads;
        this.controller = controller;
        this.scheduler = scheduler;
        this.config = config;
        this.fixedGrant = fixedGrant;
        this.ticker = ticker;
    }

    /** Sends changed loads, due slot requests and grants; call about every 5 ms. */
    public void tick() {
        sendLoads();
        for (SlotRequest request : scheduler.requests()) {
            Upstream engine = config.get().upstreams().get(request.getUpstream());
            if (engine != null) {
                sendRequest(engine, request);
            }
        }
        sendGrants();
    }

    /** Recomputes which engines this node controls; call after a change of the members or the configuration. */
    public void updateControlledEngines() {
        Set<String> newControlled = new HashSet<>();
        for (Upstream upstream : config.get().upstreams().values()) {
            if (upstream.kind() == Upstream.Kind.ENGINE
                    && cluster.controllerOf(upstream).equals(cluster.self())) {
                newControlled.add(upstream.name());
            }
        }
        if (!newControlled.equals(controlledEngines)) {
            controlledEngines = Set.copyOf(newControlled);
            controller.controlEngines(controlledEngines);
        }
    }

    /** Applies a peer's loads. */
    public void receiveLoads(String node, UpstreamLoads message) {
        loads.peerLoads(node, message.getLoadsList());
        controller.updateLoads(node, message.getLoadsList());
        for (UpstreamLoad load : message.getLoadsList()) {
            Upstream engine = config.get().upstreams().get(load.getUpstream());
            if (engine != null && engine.kind() == Upstream.Kind.ENGINE) {
                updateOnlineLoad(engine);
            }
        }
        sendGrants();
    }

    /** Passes a peer's slot request to this node's controller. */
    public void receiveRequest(String node, SlotRequest request) {
        controller.request(node, request);
        sendGrants();
    }

    /** Passes a controller's grant to this node's scheduler. */
    public void receiveGrant(SlotGrant grant) {
        scheduler.grant(grant);
    }

    /** Removes the loads and slot requests of a peer that is gone. */
    public void removePeer(String node) {
        loads.peerGone(node);
        controller.nodeLost(node);
    }

    /** Returns a grant of all of an engine's concurrent sequences, regardless of its online requests. */
    public static Optional<SlotGrant> unlimitedGrant(Upstream engine) {
        return Optional.of(SlotGrant.newBuilder()
                .setUpstream(engine.name())
                .setSlots(engine.maxConcurrent())
                .setValidMs((int) UNLIMITED_GRANT_VALIDITY.toMillis())
                .setController("unlimited")
                .build());
    }

    private void sendRequest(Upstream engine, SlotRequest request) {
        Optional<SlotGrant> fixed = fixedGrant.apply(engine);
        if (fixed.isPresent()) {
            scheduler.grant(
                    fixed.get().toBuilder().setSequence(++fixedGrantSequence).build());
            return;
        }
        String target = cluster.controllerOf(engine);
        if (target.equals(cluster.self())) {
            controller.request(target, request);
        } else {
            cluster.send(target, Frame.newBuilder().setSlotRequest(request).build());
        }
    }

    private void sendGrants() {
        for (AddressedGrant grant : controller.tick()) {
            if (grant.node().equals(cluster.self())) {
                scheduler.grant(grant.grant());
            } else {
                cluster.send(
                        grant.node(),
                        Frame.newBuilder().setSlotGrant(grant.grant()).build());
            }
        }
    }

    private void sendLoads() {
        LoadExchange.LoadChange change = loads.changedSince(sentVersion);
        sentVersion = change.version();
        Map<String, List<UpstreamLoad>> byController = new HashMap<>();
        for (UpstreamLoad load : change.loads()) {
            pendingForRegion.put(load.getUpstream(), load);
            Upstream engine = config.get().upstreams().get(load.getUpstream());
            if (engine != null && engine.kind() == Upstream.Kind.ENGINE) {
                updateOnlineLoad(engine);
                byController
                        .computeIfAbsent(cluster.controllerOf(engine), node -> new ArrayList<>())
                        .add(load);
            }
        }
        byController.forEach(this::sendTo);
        sendToRegion();
    }

    /** Lets the scheduler preempt this node's own items at once, without waiting for the controller's next grant. */
    private void updateOnlineLoad(Upstream engine) {
        if (fixedGrant.apply(engine).isEmpty()) {
            scheduler.onlineChanged(engine.name(), loads.onlineInFlight(engine.name()));
        }
    }

    private void sendToRegion() {
        boolean isDue = ticker.nanos() - regionSentAtNanos >= REGION_SEND_PERIOD.toNanos();
        if (pendingForRegion.isEmpty() || !isDue) {
            return;
        }
        regionSentAtNanos = ticker.nanos();
        List<UpstreamLoad> changed = List.copyOf(pendingForRegion.values());
        pendingForRegion.clear();
        for (String peer : cluster.regionPeers()) {
            sendTo(peer, changed);
        }
    }

    private void sendTo(String node, List<UpstreamLoad> changed) {
        if (node.equals(cluster.self())) {
            controller.updateLoads(node, changed);
            return;
        }
        UpstreamLoads message = UpstreamLoads.newBuilder().addAllLoads(changed).build();
        cluster.send(node, Frame.newBuilder().setUpstreamLoads(message).build());
    }
}
