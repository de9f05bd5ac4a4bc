package dev.lavenderline.node.cluster;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.membership.Member;
import dev.lavenderline.core.membership.Members;
import dev.lavenderline.core.membership.Rendezvous;
import dev.lavenderline.log.Futures;
import dev.lavenderline.log.HostList;
import dev.lavenderline.log.HttpHostList;
import dev.lavenderline.node.Identity;
import dev.lavenderline.node.NodeEvent;
import dev.lavenderline.node.Settings;
import dev.lavenderline.node.supervisor.Component;
import dev.lavenderline.node.supervisor.GuardedTimers;
import dev.lavenderline.peer.PeerListener;
import dev.lavenderline.peer.PeerMesh;
import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Heartbeat;
import dev.lavenderline.proto.peer.Hello;
import dev.lavenderline.proto.peer.Leaving;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Membership of a node: the platform's host list, heartbeats, and the connections to other nodes.
 *
 * <p>Hosts of the list that are no configured upstreams are taken for nodes; one that is not refuses the connection,
 * which is then tried again at long intervals. Not thread-safe; confined to the node's event loop, to which the peer
 * connections hand over all calls.
 */
public final class ClusterComponent implements Component, Cluster {
    private static final Duration HOSTS_PERIOD = Duration.ofSeconds(1);
    private static final Duration HOSTS_TIMEOUT = Duration.ofSeconds(2);
    /** Interval at which the set of live members is worked out; bounds the delay of a changed controller. */
    private static final Duration REFRESH_PERIOD = Duration.ofMillis(200);
    /**
     * Of this many refreshes two put a member view into the heartbeat. A view in each heartbeat to ten peers would exceed
     * the 3 KB/s that a node may spend for control.
     */
    private static final int VIEW_REFRESHES = 5;

    private final Identity identity;
    private final Settings settings;
    private final HttpHostList hosts;
    private final Members members;
    private final PeerMesh mesh;
    private final GuardedTimers timers;
    private final Supplier<FleetConfig> config;
    private final LongSupplier workOffset;
    private final Map<String, String> controllers = new HashMap<>();
    /** Written on the event loop, read by the peer connections' loop. */
    private volatile Heartbeat heartbeat = Heartbeat.getDefaultInstance();

    private Set<String> live = Set.of();
    private Set<String> region = Set.of();
    private Optional<SlotExchange> exchange = Optional.empty();
    private Optional<ConfigRelay> relay = Optional.empty();
    private Consumer<Set<String>> leavingListener = addresses -> {};
    private boolean draining;
    private long refreshes;

    public ClusterComponent(
            Vertx vertx,
            Settings settings,
            Identity identity,
            Supplier<FleetConfig> config,
            LongSupplier workOffset,
            MetricRegistry metrics,
            GuardedTimers timers,
            Ticker ticker) {
        this.identity = identity;
        this.settings = settings;
        this.config = config;
        this.workOffset = workOffset;
        this.timers = timers;
        this.hosts = new HttpHostList(vertx, settings.platform().hosts(), HOSTS_TIMEOUT);
        Context context = vertx.getOrCreateContext();
        this.mesh = PeerMesh.builder()
                .cluster(settings.identity().cluster())
                .self(hello())
                .bind(
                        host(settings.addresses().peers()),
                        port(settings.addresses().peers()))
                .executor(task -> context.runOnContext(ignored -> task.run()))
                .ticker(ticker)
                .listener(new Listener())
                .heartbeat(() -> heartbeat)
                .metrics(metrics)
                .start();
        this.members = new Members(ticker, mesh.self());
        refresh();
    }

    private Hello hello() {
        Settings.Identity self = settings.identity();
        String advertised = settings.addresses().advertisePeers();
        return Hello.newBuilder()
                .setVersion(PeerMesh.PROTOCOL_VERSION)
                .setCluster(self.cluster())
                .setNode(self.node())
                .setIncarnation(identity.incarnation())
                .setAddress(port(advertised) == 0 ? "" : advertised)
                .setRegion(self.region())
                .setFailureDomain(self.failureDomain())
                .build();
    }

    private static String host(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Sets who is told of loads, slots and leaving hosts. */
    public void attach(SlotExchange newExchange, Consumer<Set<String>> newLeavingListener) {
        exchange = Optional.of(newExchange);
        leavingListener = newLeavingListener;
    }

    /** Sets who answers and receives configuration records. */
    public void attach(ConfigRelay newRelay) {
        relay = Optional.of(newRelay);
    }

    /** Tells the other nodes that this one is about to stop. */
    public void announceLeaving() {
        draining = true;
        refresh();
        Leaving leaving =
                Leaving.newBuilder().setIncarnation(identity.incarnation()).build();
        mesh.broadcast(Frame.newBuilder().setLeaving(leaving).build());
    }

    /** Returns the port for other nodes. */
    public int port() {
        return mesh.port();
    }

    @Override
    public Uni<Void> start() {
        timers.every(HOSTS_PERIOD, this::readHosts);
        timers.every(REFRESH_PERIOD, this::refresh);
        timers.every(HOSTS_PERIOD, () -> relay.ifPresent(ConfigRelay::check));
        readHosts();
        return Uni.createFrom().voidItem();
    }

    private void readHosts() {
        hosts.hosts().subscribe().with(result -> result.forEach(this::hostsRead));
    }

    private void hostsRead(List<HostList.HostEntry> entries) {
        Set<String> upstreams = new HashSet<>();
        config.get().upstreams().values().forEach(upstream -> upstreams.add(upstream.address()));
        Set<String> leaving = new HashSet<>();
        List<String> liveNodes = new ArrayList<>();
        List<String> leavingNodes = new ArrayList<>();
        for (HostList.HostEntry entry : entries) {
            boolean isLeaving = entry.state() == HostList.HostState.LEAVING;
            if (isLeaving) {
                leaving.add(entry.address());
            }
            if (!upstreams.contains(entry.address())) {
                (isLeaving ? leavingNodes : liveNodes).add(entry.address());
            }
        }
        members.hosts(liveNodes, leavingNodes);
        leavingListener.accept(leaving);
    }

    private void refresh() {
        long revision = config.get().revision();
        members.update(draining, revision);
        mesh.connect(members.neighbours(Members.MAX_NEIGHBOURS));
        heartbeat = Heartbeat.newBuilder()
                .setConfigRevision(revision)
                .setWorkOffset(workOffset.getAsLong())
                .setDraining(draining)
                .addAllMembers(members.views(viewsNow()))
                .build();
        Set<String> nowLive = new TreeSet<>();
        Set<String> nowRegion = new TreeSet<>();
        for (Member member : members.live()) {
            nowLive.add(member.node());
            if (member.region().equals(settings.identity().region())) {
                nowRegion.add(member.node());
            }
        }
        if (nowLive.equals(live)) {
            return;
        }
        live.stream().filter(node -> !nowLive.contains(node)).forEach(this::gone);
        nowLive.stream().filter(node -> !live.contains(node)).forEach(node -> NodeEvent.MEMBER_JOINED.log(node));
        live = nowLive;
        nowRegion.remove(identity.node());
        region = nowRegion;
        controllers.clear();
        exchange.ifPresent(SlotExchange::reassign);
    }

    /** Returns how many views the next heartbeats carry; none while every member is heard directly. */
    private int viewsNow() {
        refreshes++;
        boolean isMesh = members.all().size() - 1 <= Members.MAX_NEIGHBOURS;
        return !isMesh && refreshes % VIEW_REFRESHES < 2 ? 1 : 0;
    }

    private void gone(String node) {
        NodeEvent.MEMBER_GONE.log(node);
        exchange.ifPresent(slots -> slots.peerGone(node));
    }

    @Override
    public Uni<Void> stop() {
        timers.cancelAll();
        hosts.close();
        return Futures.toUni(Future.fromCompletionStage(mesh.stop()));
    }

    @Override
    public String self() {
        return identity.node();
    }

    @Override
    public boolean isLive(String incarnation) {
        return incarnation.equals(identity.incarnation()) || members.isLive(incarnation);
    }

    @Override
    public int rank(String key) {
        int rank = Rendezvous.order(key, live).indexOf(identity.node());
        return rank < 0 ? live.size() : rank;
    }

    @Override
    public int rank(String key, String preferredRegion) {
        List<String> preferred =
                members.inRegion(preferredRegion).stream().map(Member::node).toList();
        int rank = Rendezvous.order(key, preferred).indexOf(identity.node());
        return rank < 0 ? preferred.size() + rank(key) : rank;
    }

    @Override
    public String controllerOf(Upstream engine) {
        return controllers.computeIfAbsent(engine.name(), name -> {
            List<String> candidates =
                    members.inRegion(engine.region()).stream().map(Member::node).toList();
            List<String> order =
                    Rendezvous.order("slots/" + name, candidates.isEmpty() ? List.copyOf(live) : candidates);
            return order.isEmpty() ? identity.node() : order.get(0);
        });
    }

    @Override
    public Set<String> regionPeers() {
        return region;
    }

    @Override
    public boolean send(String node, Frame frame) {
        return mesh.send(node, frame);
    }

    @Override
    public Optional<String> peerAhead(long revision) {
        Set<String> connected = mesh.connected();
        return members.all().stream()
                .filter(member -> member.configRevision() > revision && connected.contains(member.node()))
                .map(Member::node)
                .findFirst();
    }

    @Override
    public Set<String> connected() {
        return mesh.connected();
    }

    @Override
    public boolean isIsolated() {
        return members.all().size() > 1 && mesh.connected().isEmpty();
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        List<Map<String, Object>> all = new ArrayList<>();
        for (Member member : members.all()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("node", member.node());
            one.put("incarnation", member.incarnation());
            one.put("address", member.address());
            one.put("region", member.region());
            one.put("failure_domain", member.failureDomain());
            one.put("status", member.status().toString());
            one.put("draining", member.draining());
            one.put("config_revision", member.configRevision());
            all.add(one);
        }
        state.put("members", all);
        state.put("connected", new TreeSet<>(mesh.connected()));
        return state;
    }

    private final class Listener implements PeerListener {
        @Override
        public void received(Hello peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case HEARTBEAT -> members.heartbeat(peer, frame.getHeartbeat());
                case LEAVING -> members.leaving(frame.getLeaving().getIncarnation());
                case UPSTREAM_LOADS ->
                    exchange.ifPresent(slots -> slots.peerLoads(peer.getNode(), frame.getUpstreamLoads()));
                case SLOT_REQUEST ->
                    exchange.ifPresent(slots -> slots.peerRequest(peer.getNode(), frame.getSlotRequest()));
                case SLOT_GRANT -> exchange.ifPresent(slots -> slots.peerGrant(frame.getSlotGrant()));
                case CONFIG_PULL -> relay.ifPresent(records -> records.answer(peer.getNode(), frame.getConfigPull()));
                case CONFIG_RECORDS -> relay.ifPresent(records -> records.received(frame.getConfigRecords()));
                case HELLO, BODY_NOT_SET -> {}
            }
        }
    }
}
