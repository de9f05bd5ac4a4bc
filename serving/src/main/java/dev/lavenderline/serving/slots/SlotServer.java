package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.overload.ConnectionLimits;
import dev.lavenderline.core.overload.FrameGuard;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ListenerGuard;
import dev.lavenderline.proto.slots.PromptEnded;
import dev.lavenderline.proto.slots.SlotFrame;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Serves this node's scheduler to other nodes over TCP and to the node itself.
 *
 * <p>Invariant: only the connection of a node's latest hello is in use. Not thread-safe; confined to the event
 * loop.
 */
public final class SlotServer implements SlotDecisionListener {
    /** A connection without a frame for this long is closed; nodes ping several times a second. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(2500);

    private static final ConnectionLimits CONNECTION_LIMITS =
            new ConnectionLimits(SlotFrames.MAX_FRAME_BYTES, IDLE_TIMEOUT, IDLE_TIMEOUT, IDLE_TIMEOUT);

    /** Connections of callers that a node may have for each one of another node. */
    private static final int CALLERS_PER_PEER = 2;

    /** Time for which the origins of streams are collected before they are copied; bounds the number of frames. */
    private static final Duration REPLICATION_DELAY = Duration.ofMillis(50);

    /** Nodes that get copies of the origins of streams, besides the scheduler and the node that reports them. */
    private static final int REPLICAS = 2;

    private final Vertx vertx;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final Supplier<Duration> jobStateAge;
    private final CrashingPrompts prompts;
    private final UpstreamDirectory directory;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<ServiceVersion, List<String>> unreplicatedStreams = new HashMap<>();
    private Supplier<List<String>> preferredNodes = List::of;
    private SightingExchange sightings = SightingExchange.NONE;
    private SlotScheduler scheduler;
    private QuotaServer quotas;
    private String selfName = "";
    private SlotDecisionListener localListener;
    private NetServer server;
    private ConfigExchange config;
    private ListenerGuard listenerGuard;

    private final class Peer {
        final NetSocket socket;
        final FrameGuard guard;
        String node = "";
        String failureDomain = "";
        long lastPingNanos;
        final ConfigExchange.Link configLink;
        long lastFrameNanos = ticker.nanos();

        Peer(NetSocket socket, FrameGuard guard) {
            this.socket = socket;
            this.guard = guard;
            this.configLink = config.connect(socket::write);
            SlotFrames.Decoder decoder = new SlotFrames.Decoder(this::handle, problem -> {
                log.event(ServingEvent.FRAME_MALFORMED, "peer", node, "message", problem);
                socket.close();
            });
            socket.handler(chunk -> {
                if (guard.buffered(decoder.pendingBytes() + chunk.length())) {
                    decoder.handle(chunk);
                    guard.buffered(decoder.pendingBytes());
                }
            });
            socket.closeHandler(closed -> {
                guard.closed();
                leave(this, "connection closed");
            });
            socket.exceptionHandler(failure -> leave(this, failure.getMessage()));
        }

        /** Returns whether the node has left, or uses another connection. */
        boolean replaced() {
            return !node.isEmpty() && peers.get(node) != this;
        }

        /** Handles a frame; a failure costs that frame, not those after it. */
        void handle(SlotFrame frame) {
            FailureGuard.run(log, () -> frame(frame), "peer", node, "frame", frame.getBodyCase());
        }

        void frame(SlotFrame frame) {
            if (replaced()) {
                return;
            }
            lastFrameNanos = ticker.nanos();
            switch (frame.getBodyCase()) {
                case HELLO -> join(this, frame);
                case QUOTA_REPORT -> quotas.report(node, QuotaFrames.admissions(frame.getQuotaReport()));
                case QUOTA_REQUEST ->
                    socket.write(QuotaFrames.decision(
                            frame.getQuotaRequest().getId(),
                            quotas.decide(node, frame.getQuotaRequest().getWorkspace())));
                case PING -> {
                    lastPingNanos = frame.getPing().getSequence();
                    quotas.pinged(node);
                    sightings.received(SightingFrames.read(frame.getPing().getSightingsList()));
                    socket.write(configLink.pong(frame.getPing(), jobStateAge.get(), sightings.report()));
                }
                case CONFIG_REQUEST -> configLink.requested(frame.getConfigRequest());
                case CONFIG_RECORD -> configLink.received(frame.getConfigRecord());
                case ACQUIRE -> scheduler.acquire(SlotFrames.request(node, frame.getAcquire(), lastFrameNanos));
                case RELEASE ->
                    scheduler.released(
                            node,
                            frame.getRelease().getLease(),
                            SlotFrames.releaseReason(frame.getRelease().getOutcome()),
                            frame.getRelease().getEvents());
                case LEAVING -> scheduler.moved(node);
                case STREAMS_BEGAN -> {
                    StreamVersions.Group began = SlotFrames.streams(frame.getStreamsBegan());
                    scheduler.streamVersions().record(began);
                    replicate(began);
                }
                case PROMPT_ENDED -> promptEnded(frame.getPromptEnded());
                case UPSTREAM_NOTICE -> noticeReported(this, SlotFrames.upstreamNotice(frame.getUpstreamNotice()));
                case SUSPECT -> scheduler.suspected(frame.getSuspect().getUpstream());
                default -> log.event(ServingEvent.FRAME_MALFORMED, "peer", node, "message", frame.getBodyCase());
            }
        }
    }

    /**
     * Creates a server.
     *
     * @param jobStateAge returns the time since this node last read all jobs from the store
     */
    public SlotServer(
            Vertx vertx,
            Ticker ticker,
            Timers timers,
            EventLog log,
            Supplier<Duration> jobStateAge,
            CrashingPrompts prompts,
            UpstreamDirectory directory) {
        this.prompts = prompts;
        this.directory = directory;
        prompts.onDecision(this::sendRejectedPrompt);
        this.timers = timers;
        this.jobStateAge = jobStateAge;
        this.vertx = vertx;
        this.ticker = ticker;
        this.log = log;
        this.config = ConfigExchange.none(ticker);
        guard(HoldingAccount.unbounded(ticker));
    }

    /** Sets the account that bounds what other nodes make this one hold; call it before {@link #listen}. */
    final void guard(HoldingAccount account) {
        listenerGuard = new ListenerGuard(
                "peers", account, account.limits().connections() / CALLERS_PER_PEER, () -> CONNECTION_LIMITS);
    }

    /** Sets the exchange of configurations with the nodes that use this scheduler; call it before {@link #listen}. */
    void exchangeConfig(ConfigExchange exchange) {
        config = exchange;
    }

    /** Sets the scheduler and the listener for this node's own decisions; call it before {@link #listen}. */
    void attach(
            SlotScheduler scheduler,
            String selfName,
            SlotDecisionListener localListener,
            Supplier<List<String>> preferredNodes) {
        this.preferredNodes = preferredNodes;
        this.scheduler = scheduler;
        this.selfName = selfName;
        this.localListener = localListener;
    }

    /** Sets the exchange of what is seen of other nodes; call it before {@link #listen}. */
    void exchangeSightings(SightingExchange exchange) {
        sightings = exchange;
    }

    /** Returns the names of the other nodes that use this node's scheduler. */
    Set<String> joinedNodes() {
        return Set.copyOf(peers.keySet());
    }

    /** Tells the nodes that use this node's scheduler which nodes have been seen. */
    void sendSightings(List<NodeSighting> seen) {
        Buffer frame = SightingFrames.frame(seen);
        peers.values().forEach(peer -> peer.socket.write(frame));
    }

    /** Sets the quotas to keep; call it before {@link #listen}. */
    void keep(QuotaServer quotasOfNodes) {
        quotas = quotasOfNodes;
        quotas.onLimitedChange(
                limited -> peers.values().forEach(peer -> peer.socket.write(QuotaFrames.limited(limited))));
    }

    /** Starts accepting connections; returns the port. */
    Future<Integer> listen(String host, int port) {
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server.connectHandler(socket -> listenerGuard.accepted(socket).ifPresent(guard -> new Peer(socket, guard)));
        timers.every(Duration.ofMillis(500), this::closeIdle);
        return server.listen(port, host).map(NetServer::actualPort);
    }

    private void closeIdle() {
        listenerGuard.enforceTimes();
        long now = ticker.nanos();
        for (Peer peer : List.copyOf(peers.values())) {
            if (now - peer.lastFrameNanos > IDLE_TIMEOUT.toNanos()) {
                leave(peer, "silent");
                peer.socket.close();
            }
        }
    }

    private void join(Peer peer, SlotFrame frame) {
        peer.node = frame.getHello().getNode();
        peer.guard.introduced();
        Peer previous = peers.get(peer.node);
        if (previous != null && HelloOrder.late(peer.lastPingNanos, previous.lastPingNanos)) {
            peer.socket.close();
            return;
        }
        peers.put(peer.node, peer);
        if (previous != null && previous != peer) {
            previous.socket.close();
        }
        peer.failureDomain = frame.getHello().getZone();
        frame.getHello()
                .getStreamsList()
                .forEach(group -> scheduler.streamVersions().record(SlotFrames.streams(group)));
        VersionFrames.read(frame.getHello(), directory.servedVersions());
        peer.socket.write(SlotFrames.reply(selfName, directory.servedVersions()));
        List<Holding> holdings = SlotFrames.holdings(frame.getHello());
        scheduler.joined(peer.node, frame.getHello().getZone(), frame.getHello().getCapacityMilli() / 1000.0, holdings);
        quotas.joined(peer.node, QuotaFrames.usage(frame.getHello()));
        peer.socket.write(QuotaFrames.limited(quotas.limited()));
        log.event(ServingEvent.NODE_JOINED, "peer", peer.node, "holdings", holdings.size());
        prompts.rejected().forEach(parts -> peer.socket.write(SlotFrames.promptRejected(parts)));
        prompts.recentCrashes().forEach(crash -> peer.socket.write(SlotFrames.requestSuspected(crash.request())));
        directory.notices().forEach(notice -> peer.socket.write(SlotFrames.upstreamNotice(notice)));
        frame.getHello().getNoticesList().forEach(notice -> noticeReported(peer, SlotFrames.upstreamNotice(notice)));
    }

    private void noticeReported(Peer reporter, UpstreamNotice notice) {
        if (directory.note(notice)) {
            peers.values().stream()
                    .filter(peer -> peer != reporter)
                    .forEach(peer -> peer.socket.write(SlotFrames.upstreamNotice(notice)));
        }
    }

    /** Tells the nodes that use this scheduler what an upstream has said to this node. */
    void sendNotice(UpstreamNotice notice) {
        peers.values().forEach(peer -> peer.socket.write(SlotFrames.upstreamNotice(notice)));
    }

    private void promptEnded(PromptEnded ended) {
        RequestTraits traits = new RequestTraits(ended.getPartsList(), ended::getRequest);
        if (ended.getCrashedUpstream().isEmpty()) {
            prompts.completed(traits);
        } else {
            prompts.crashed(traits, ended.getCrashedUpstream(), Duration.ofMillis(ended.getAgeMs()));
            sendSuspect(ended.getRequest());
        }
    }

    /** Asks the nodes that use this scheduler to report the completions of a request. */
    void sendSuspect(long request) {
        if (request != RequestTraits.NO_HASH) {
            peers.values().forEach(peer -> peer.socket.write(SlotFrames.requestSuspected(request)));
        }
    }

    private void sendRejectedPrompt(Set<Long> parts) {
        peers.values().forEach(peer -> peer.socket.write(SlotFrames.promptRejected(parts)));
    }

    private void leave(Peer peer, String reason) {
        if (peers.remove(peer.node, peer)) {
            scheduler.left(peer.node);
            log.event(ServingEvent.NODE_LEFT, "peer", peer.node, "reason", reason);
        }
    }

    /** Copies the origins of streams to other nodes, in batches. */
    void replicate(StreamVersions.Group began) {
        if (unreplicatedStreams.isEmpty()) {
            timers.after(REPLICATION_DELAY, this::sendReplicas);
        }
        unreplicatedStreams
                .computeIfAbsent(began.served(), served -> new ArrayList<>())
                .addAll(began.names());
    }

    private void sendReplicas() {
        List<Buffer> frames = unreplicatedStreams.entrySet().stream()
                .map(group -> SlotFrames.streamsBegan(new StreamVersions.Group(group.getKey(), group.getValue())))
                .toList();
        unreplicatedStreams.clear();
        replicas().forEach(peer -> frames.forEach(peer.socket::write));
    }

    /**
     * Returns the nodes that get the copies: those whose schedulers are preferred, as one of them succeeds this one,
     * but in different failure domains if there are any.
     */
    private List<Peer> replicas() {
        List<Peer> preferred = preferredNodes.get().stream()
                .map(peers::get)
                .filter(Objects::nonNull)
                .toList();
        List<Peer> chosen = new ArrayList<>();
        for (Peer peer : preferred) {
            boolean newDomain = chosen.stream().noneMatch(other -> other.failureDomain.equals(peer.failureDomain));
            if (newDomain && chosen.size() < REPLICAS) {
                chosen.add(peer);
            }
        }
        for (Peer peer : preferred) {
            if (chosen.size() < REPLICAS && !chosen.contains(peer)) {
                chosen.add(peer);
            }
        }
        return chosen;
    }

    private void send(String node, Buffer frame) {
        Peer peer = peers.get(node);
        if (peer != null) {
            peer.socket.write(frame);
        }
    }

    @Override
    public void granted(String node, long lease, String upstream) {
        if (node.equals(selfName)) {
            localListener.granted(node, lease, upstream);
        } else {
            String version = directory.find(upstream).map(Upstream::version).orElse("");
            send(node, SlotFrames.granted(lease, upstream, version));
        }
    }

    @Override
    public void rejected(String node, long lease, Duration retryAfter) {
        if (node.equals(selfName)) {
            localListener.rejected(node, lease, retryAfter);
        } else {
            send(node, SlotFrames.rejected(lease, retryAfter));
        }
    }

    @Override
    public void overQuota(String node, long lease, Duration retryAfter) {
        if (node.equals(selfName)) {
            localListener.overQuota(node, lease, retryAfter);
        } else {
            send(node, QuotaFrames.overQuota(lease, retryAfter));
        }
    }

    @Override
    public void run(String node, long lease, String upstream, ItemRef item) {
        if (node.equals(selfName)) {
            localListener.run(node, lease, upstream, item);
        } else {
            send(node, SlotFrames.run(lease, upstream, item));
        }
    }

    @Override
    public void preempt(String node, long lease) {
        if (node.equals(selfName)) {
            localListener.preempt(node, lease);
        } else {
            send(node, SlotFrames.preempt(lease));
        }
    }
}
