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
 * <p>Every listed host that is not a configured upstream is assumed to be a node. If it is not, it refuses the
 * connection, which is then retried at long intervals. Not thread-safe; confined to the node's event loop, on which the
 * peer connections make all calls.
 */
public final class ClusterComponent implements Component, Cluster {
    private static final Duration HOSTS_PERIOD = Duration.ofSeconds(1);
    private static final Duration HOSTS_TIMEOUT = Duration.ofSeconds(2);
    /** Interval at which the live members are computed; bounds the delay until an engine gets a new controller. */
    private static final Duration REFRESH_PERIOD = Duration.ofMillis(200);
    /**
     * Two of this many refreshes put a member view into the heartbeat. A view in each heartbeat to ten peers would
     * exceed the 3 KB/s of control traffic that a node may send.
     */
    private static final int REFRESHES_PER_VIEW_CYCLE = 5;

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
    private Set<String> regionPeers = Set.of();
    private Optional<SlotExchange> slotExchange = Optional.empty();
    private Optional<ConfigRelay> configRelay = Optional.empty();
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

    /** Sets the receivers of loads and slot messages, and of the addresses of leaving hosts. */
    public void attach(SlotExchange newExchange, Consumer<Set<String>> newLeavingListener) {
        slotExchange = Optional.of(newExchange);
        leavingListener = newLeavingListener;
    }

    /** Sets the receiver of configuration messages. */
    public void attach(ConfigRelay newRelay) {
        configRelay = Optional.of(newRelay);
    }

    /** Notifies the other nodes that this one is about to stop. */
    public void announceLeaving() {
        draining = true;
        refresh();
        Leaving leaving =
                Leaving.newBuilder().setIncarnation(identity.incarnation()).build();
        mesh.broadcast(Frame.newBuilder().setLeaving(leaving).build());
    }

    /** Returns the port on which this node accepts peer connections. */
    public int port() {
        return mesh.port();
    }

    @Override
    public Uni<Void> start() {
        timers.every(HOSTS_PERIOD, this::readHosts);
        timers.every(REFRESH_PERIOD, this::refresh);
        timers.every(HOSTS_PERIOD, () -> configRelay.ifPresent(ConfigRelay::check));
        readHosts();
        return Uni.createFrom().voidItem();
    }

    private void readHosts() {
        hosts.hosts().subscribe().with(result -> result.forEach(this::updateHosts));
    }

    private void updateHosts(List<HostList.HostEntry> entries) {
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
        members.updateHosts(liveNodes, leavingNodes);
        leavingListener.accept(leaving);
    }

    private void refresh() {
        long revision = config.get().revision();
        members.updateSelf(draining, revision);
        mesh.setTargetAddresses(members.neighbours(Members.MAX_NEIGHBOURS));
        heartbeat = Heartbeat.newBuilder()
                .setConfigRevision(revision)
                .setWorkOffset(workOffset.getAsLong())
                .setDraining(draining)
                .addAllMembers(members.nextViews(viewsPerHeartbeat()))
                .build();
        Set<String> newLive = new TreeSet<>();
        Set<String> newRegionPeers = new TreeSet<>();
        for (Member member : members.live()) {
            newLive.add(member.node());
            if (member.region().equals(settings.identity().region())) {
                newRegionPeers.add(member.node());
            }
        }
        if (newLive.equals(live)) {
            return;
        }
        live.stream().filter(node -> !newLive.contains(node)).forEach(this::memberGone);
        newLive.stream().filter(node -> !live.contains(node)).forEach(node -> NodeEvent.MEMBER_JOINED.log(node));
        live = newLive;
        newRegionPeers.remove(identity.node());
        regionPeers = newRegionPeers;
        controllers.clear();
        slotExchange.ifPresent(SlotExchange::updateControlledEngines);
    }

    /** Returns the number of member views per heartbeat, 0 while all members send heartbeats to this node directly. */
    private int viewsPerHeartbeat() {
        refreshes++;
        boolean isFullMesh = members.all().size() - 1 <= Members.MAX_NEIGHBOURS;
        return !isFullMesh && refreshes % REFRESHES_PER_VIEW_CYCLE < 2 ? 1 : 0;
    }

    private void memberGone(String node) {
        NodeEvent.MEMBER_GONE.log(node);
        slotExchange.ifPresent(slots -> slots.removePeer(node));
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
        return regionPeers;
    }

    @Override
    public boolean send(String node, Frame frame) {
        return mesh.send(node, frame);
    }

    @Override
    public Optional<String> peerWithNewerConfig(long revision) {
        Set<String> connected = mesh.connectedNodes();
        return members.all().stream()
                .filter(member -> member.configRevision() > revision && connected.contains(member.node()))
                .map(Member::node)
                .findFirst();
    }

    @Override
    public Set<String> connectedNodes() {
        return mesh.connectedNodes();
    }

    @Override
    public boolean isIsolated() {
        return members.all().size() > 1 && mesh.connectedNodes().isEmpty();
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        List<Map<String, Object>> all = new ArrayList<>();
        for (Member member : members.all()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("node", member.node());
            entry.put("incarnation", member.incarnation());
            entry.put("address", member.address());
            entry.put("region", member.region());
            entry.put("failure_domain", member.failureDomain());
            entry.put("status", member.status().toString());
            entry.put("draining", member.draining());
            entry.put("config_revision", member.configRevision());
            all.add(entry);
        }
        state.put("members", all);
        state.put("connected", new TreeSet<>(mesh.connectedNodes()));
        return state;
    }

    private final class Listener implements PeerListener {
        @Override
        public void received(Hello peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case HEARTBEAT -> members.applyHeartbeat(peer, frame.getHeartbeat());
                case LEAVING -> members.markDraining(frame.getLeaving().getIncarnation());
                case UPSTREAM_LOADS ->
                    slotExchange.ifPresent(slots -> slots.receiveLoads(peer.getNode(), frame.getUpstreamLoads()));
                case SLOT_REQUEST ->
                    slotExchange.ifPresent(slots -> slots.receiveRequest(peer.getNode(), frame.getSlotRequest()));
                case SLOT_GRANT -> slotExchange.ifPresent(slots -> slots.receiveGrant(frame.getSlotGrant()));
                case CONFIG_PULL ->
                    configRelay.ifPresent(records -> records.answerPull(peer.getNode(), frame.getConfigPull()));
                case CONFIG_RECORDS -> configRelay.ifPresent(records -> records.receive(frame.getConfigRecords()));
                case HELLO, BODY_NOT_SET -> {}
            }
        }
    }
}
