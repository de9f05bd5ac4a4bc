package dev.lavenderline.node.cluster;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.node.Identity;
import dev.lavenderline.node.Settings;
import dev.lavenderline.node.supervisor.Component;
import dev.lavenderline.node.supervisor.GuardedTimers;
import dev.lavenderline.platform.HostList;
import dev.lavenderline.platform.HttpHostList;
import dev.lavenderline.proto.peer.Frame;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Membership of a node: the platform's host list and the connections to other nodes.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class ClusterComponent implements Component, Cluster {
    private static final Duration HOSTS_PERIOD = Duration.ofSeconds(1);
    private static final Duration HOSTS_TIMEOUT = Duration.ofSeconds(2);

    private final Identity identity;
    private final HttpHostList hosts;
    private final GuardedTimers timers;
    private Consumer<Set<String>> leavingListener = addresses -> {};

    public ClusterComponent(Vertx vertx, Settings settings, Identity identity, GuardedTimers timers, Ticker ticker) {
        this.identity = identity;
        this.timers = timers;
        this.hosts = new HttpHostList(vertx, settings.platform().hosts(), HOSTS_TIMEOUT);
    }

    /** Sets who is told of loads, slots and leaving hosts. */
    public void attach(SlotExchange newExchange, Consumer<Set<String>> newLeavingListener) {
        leavingListener = newLeavingListener;
    }

    /** Tells the other nodes that this one is about to stop. */
    public void announceLeaving() {}

    /** Returns the port for other nodes. */
    public int port() {
        return 0;
    }

    @Override
    public Uni<Void> start() {
        timers.every(HOSTS_PERIOD, this::readHosts);
        return Uni.createFrom().voidItem();
    }

    private void readHosts() {
        hosts.hosts().subscribe().with(result -> result.forEach(this::hostsRead));
    }

    private void hostsRead(List<HostList.HostEntry> entries) {
        Set<String> leaving = new HashSet<>();
        for (HostList.HostEntry entry : entries) {
            if (entry.state() == HostList.HostState.LEAVING) {
                leaving.add(entry.address());
            }
        }
        leavingListener.accept(leaving);
    }

    @Override
    public Uni<Void> stop() {
        timers.cancelAll();
        hosts.close();
        return Uni.createFrom().voidItem();
    }

    @Override
    public String self() {
        return identity.node();
    }

    @Override
    public boolean isLive(String incarnation) {
        return true;
    }

    @Override
    public int rank(String key) {
        return 0;
    }

    @Override
    public String controllerOf(Upstream engine) {
        return identity.node();
    }

    @Override
    public Set<String> regionPeers() {
        return Set.of();
    }

    @Override
    public boolean send(String node, Frame frame) {
        return false;
    }

    @Override
    public Optional<String> peerAhead(long revision) {
        return Optional.empty();
    }

    @Override
    public Map<String, Object> state() {
        return Map.of();
    }
}
