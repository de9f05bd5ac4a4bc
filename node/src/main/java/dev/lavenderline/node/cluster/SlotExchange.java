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
 * Passes loads, slot requests and grants between this node and the controllers of the engines.
 *
 * <p>Invariants: a changed load is told to the engine's controller with the next tick, and to the other nodes of the
 * region at most once in {@link #REGION_PERIOD}, because their dispatchers bear older figures while a controller must
 * take slots back at once. Not thread-safe; confined to the node's event loop.
 */
public final class SlotExchange {
    private static final Duration REGION_PERIOD = Duration.ofMillis(100);
    private static final Duration UNLIMITED_VALIDITY = Duration.ofSeconds(2);

    private final Cluster cluster;
    private final LoadExchange loads;
    private final SlotController controller;
    private final BatchScheduler scheduler;
    private final Supplier<FleetConfig> config;
    private final Function<Upstream, Optional<SlotGrant>> fixedGrant;
    private final Ticker ticker;
    private final Map<String, UpstreamLoad> forRegion = new HashMap<>();
    private Set<String> controlled = Set.of();
    private long version;
    private long regionSentNanos;
    private long fixedGrants;

    /**
     * Creates the exchange.
     *
     * @param fixedGrant grant for an engine that needs no controller; empty for the policy with controllers
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

    /** Exchanges what changed; call about every 5 ms. */
    public void tick() {
        sendLoads();
        for (SlotRequest request : scheduler.requests()) {
            Upstream engine = config.get().upstreams().get(request.getUpstream());
            if (engine != null) {
                request(engine, request);
            }
        }
        sendGrants();
    }

    /** Works out again which engines this node controls; call when members or the configuration changed. */
    public void reassign() {
        Set<String> now = new HashSet<>();
        for (Upstream upstream : config.get().upstreams().values()) {
            if (upstream.kind() == Upstream.Kind.ENGINE
                    && cluster.controllerOf(upstream).equals(cluster.self())) {
                now.add(upstream.name());
            }
        }
        if (!now.equals(controlled)) {
            controlled = Set.copyOf(now);
            controller.controlled(controlled);
        }
    }

    /** Takes a peer's loads. */
    public void peerLoads(String node, UpstreamLoads message) {
        loads.peerLoads(node, message.getLoadsList());
        controller.loads(node, message.getLoadsList());
        for (UpstreamLoad load : message.getLoadsList()) {
            Upstream engine = config.get().upstreams().get(load.getUpstream());
            if (engine != null && engine.kind() == Upstream.Kind.ENGINE) {
                onlineChanged(engine);
            }
        }
        sendGrants();
    }

    /** Takes a peer's slot request. */
    public void peerRequest(String node, SlotRequest request) {
        controller.request(node, request);
        sendGrants();
    }

    /** Takes a grant of a controller. */
    public void peerGrant(SlotGrant grant) {
        scheduler.grant(grant);
    }

    /** Forgets a peer that is gone. */
    public void peerGone(String node) {
        loads.peerGone(node);
        controller.lost(node);
    }

    /** Returns a grant of all sequences of an engine, whatever online requests it has. */
    public static Optional<SlotGrant> unlimited(Upstream engine) {
        return Optional.of(SlotGrant.newBuilder()
                .setUpstream(engine.name())
                .setSlots(engine.maxConcurrent())
                .setValidMs((int) UNLIMITED_VALIDITY.toMillis())
                .setController("unlimited")
                .build());
    }

    private void request(Upstream engine, SlotRequest request) {
        Optional<SlotGrant> fixed = fixedGrant.apply(engine);
        if (fixed.isPresent()) {
            scheduler.grant(fixed.get().toBuilder().setSequence(++fixedGrants).build());
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
        LoadExchange.LoadChange change = loads.changedSince(version);
        version = change.version();
        Map<String, List<UpstreamLoad>> byController = new HashMap<>();
        for (UpstreamLoad load : change.loads()) {
            forRegion.put(load.getUpstream(), load);
            Upstream engine = config.get().upstreams().get(load.getUpstream());
            if (engine != null && engine.kind() == Upstream.Kind.ENGINE) {
                onlineChanged(engine);
                byController
                        .computeIfAbsent(cluster.controllerOf(engine), node -> new ArrayList<>())
                        .add(load);
            }
        }
        byController.forEach(this::sendTo);
        sendToRegion();
    }

    /** Lets this node's own items give way at once, before the controller's next grant. */
    private void onlineChanged(Upstream engine) {
        if (fixedGrant.apply(engine).isEmpty()) {
            scheduler.onlineChanged(engine.name(), loads.onlineInFlight(engine.name()));
        }
    }

    private void sendToRegion() {
        boolean isDue = ticker.nanos() - regionSentNanos >= REGION_PERIOD.toNanos();
        if (forRegion.isEmpty() || !isDue) {
            return;
        }
        regionSentNanos = ticker.nanos();
        List<UpstreamLoad> all = List.copyOf(forRegion.values());
        forRegion.clear();
        for (String peer : cluster.regionPeers()) {
            sendTo(peer, all);
        }
    }

    private void sendTo(String node, List<UpstreamLoad> changed) {
        if (node.equals(cluster.self())) {
            controller.loads(node, changed);
            return;
        }
        UpstreamLoads message = UpstreamLoads.newBuilder().addAllLoads(changed).build();
        cluster.send(node, Frame.newBuilder().setUpstreamLoads(message).build());
    }
}
