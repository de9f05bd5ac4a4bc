package dev.lavenderline.core.admission;

import static java.util.Objects.requireNonNull;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.SlotRequest;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Grants batch slots of the engines that this node currently controls.
 *
 * <p>Invariant: the grants of one engine that result from a tick add up to at most
 * {@code max_concurrent - online in flight - headroom}. Slots limit load and never decide ownership, so two nodes that
 * control the same engine for a short time can at worst start too many items on it.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * controller.controlEngines(engines);
 * controller.updateLoads(peer, loads);
 * controller.tick().forEach(grant -> send(grant.node(), grant.grant()));
 * }</pre>
 */
public final class SlotController {
    /** A deployment counts as having online traffic for this time after its last report of an online request. */
    private static final long ONLINE_TRAFFIC_WINDOW_NANOS = 5_000_000_000L;

    private final String node;
    private final Ticker ticker;
    private final Map<String, EngineSlotAllocator> engines = new LinkedHashMap<>();
    private final Map<String, Long> lastOnlineNanos = new HashMap<>();
    private Set<String> controlledEngines = Set.of();
    private FleetConfig config = FleetConfig.EMPTY;

    /** @param node name of this node, sent with its grants */
    public SlotController(String node, Ticker ticker) {
        this.node = requireNonNull(node, "node");
        this.ticker = requireNonNull(ticker, "ticker");
    }

    /** Replaces the configuration. */
    public void configure(FleetConfig newConfig) {
        config = requireNonNull(newConfig, "newConfig");
        updateEngines();
    }

    /** Sets the engines that this node controls; a newly controlled engine starts with a limit of 1. */
    public void controlEngines(Set<String> upstreams) {
        controlledEngines = Set.copyOf(upstreams);
        updateEngines();
    }

    private void updateEngines() {
        long now = ticker.nanos();
        Set<String> wanted = new HashSet<>();
        for (String name : controlledEngines) {
            Upstream upstream = config.upstreams().get(name);
            if (upstream == null || upstream.kind() != Upstream.Kind.ENGINE) {
                continue;
            }
            wanted.add(name);
            var deployment = config.deployments().get(upstream.group());
            engines.computeIfAbsent(name, key -> new EngineSlotAllocator(upstream, deployment, now))
                    .configure(upstream, deployment);
        }
        engines.keySet().retainAll(wanted);
    }

    /** Replaces the load that a node reported for the given engines; this node's own load is passed in the same way. */
    public void updateLoads(String from, List<UpstreamLoad> loads) {
        long now = ticker.nanos();
        for (UpstreamLoad load : loads) {
            Upstream upstream = config.upstreams().get(load.getUpstream());
            if (upstream == null) {
                continue;
            }
            if (load.getOnlineInFlight() + load.getOnlineWaiting() > 0) {
                lastOnlineNanos.put(upstream.group(), now);
            }
            EngineSlotAllocator engine = engines.get(load.getUpstream());
            if (engine != null) {
                engine.load(from, load, now);
            }
        }
    }

    /** Records a job owner's slot request, which is valid for 1 s. */
    public void request(String from, SlotRequest request) {
        EngineSlotAllocator engine = engines.get(request.getUpstream());
        if (engine != null) {
            engine.request(from, request, ticker.nanos());
        }
    }

    /** Removes a lost node; its slots are granted to others after its leases expire. */
    public void nodeLost(String lostNode) {
        engines.values().forEach(engine -> engine.nodeLost(lostNode));
    }

    /** Adapts the limits and returns the grants to send; call every 5 ms, and at once after {@link #updateLoads}. */
    public List<AddressedGrant> tick() {
        long now = ticker.nanos();
        List<AddressedGrant> grants = new ArrayList<>();
        for (Map.Entry<String, EngineSlotAllocator> entry : engines.entrySet()) {
            if (entry.getValue().due(now)) {
                entry.getValue().tick(node, onlineTraffic(entry.getKey(), now), now, grants);
            }
        }
        return grants;
    }

    private boolean onlineTraffic(String upstream, long now) {
        Long seen = lastOnlineNanos.get(config.upstreams().get(upstream).group());
        return seen != null && now - seen <= ONLINE_TRAFFIC_WINDOW_NANOS;
    }

    /** Returns the state of each controlled engine for the state dump. */
    public List<ControlledEngine> views() {
        long now = ticker.nanos();
        List<ControlledEngine> views = new ArrayList<>();
        engines.forEach((name, engine) -> views.add(new ControlledEngine(
                name,
                engine.onlineInFlight(),
                engine.bound(onlineTraffic(name, now)),
                engine.limitSlots(),
                engine.granted())));
        views.sort(Comparator.comparing(ControlledEngine::upstream));
        return views;
    }

    /**
     * State of one controlled engine; component names are keys of the state dump.
     *
     * @param onlineInFlight online requests of all nodes
     * @param bound upper bound of batch items at present
     * @param limit number of batch items that the latency of online requests allows
     * @param granted slots granted to job owners
     */
    public record ControlledEngine(String upstream, int onlineInFlight, int bound, int limit, int granted) {}
}
