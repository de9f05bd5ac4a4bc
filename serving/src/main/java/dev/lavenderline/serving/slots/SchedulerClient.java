package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.slots.Granted;
import dev.lavenderline.proto.slots.Rejected;
import dev.lavenderline.proto.slots.RunItem;
import dev.lavenderline.proto.slots.SlotFrame;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import dev.lavenderline.serving.workspaces.QuotaClient;
import dev.lavenderline.serving.workspaces.Workspaces;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Connects this node to the scheduler that it uses and fails over to another one when that does not respond. The hello
 * on each connection reports the slots that the node holds. While there is no scheduler, {@link LocalPlacement} places
 * online requests and no items start. Requests are held for the first {@link #MAX_SEARCH_WAIT} of the search for the
 * next one.
 *
 * <p>A preferred scheduler is used only after it has answered a ping, so that the scheduler in use is not left for a
 * dead node that is still registered.
 *
 * <p>Invariant: each request gets exactly one decision, even if the scheduler changes in between. Not thread-safe;
 * confined to the event loop.
 */
public final class SchedulerClient implements SlotClient, SlotDecisionListener, SchedulerElection.Listener {
    /** Time between two attempts to resolve the origins of streams. */
    private static final Duration ORIGIN_INTERVAL = Duration.ofMillis(150);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /**
     * Time without a scheduler for which requests are held while the next one is sought. Longer than it takes to
     * connect to a live node in another region and ping it, and below common latency targets of 300 ms: several
     * registered nodes may be gone, each of which takes up to 1 s to be found unresponsive.
     */
    static final Duration MAX_SEARCH_WAIT = Duration.ofMillis(250);

    private final NodeEntry self;
    private final SchedulerElection election;
    private final SlotScheduler scheduler;
    private final StreamVersions streamVersions;
    private final OriginLookup origins;
    private final CrashingPrompts prompts;
    private final UpstreamDirectory directory;
    private final QuotaConnection quotas;
    private final SlotServer server;
    private final LocalPlacement placement;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final Context context;
    private final NetClient netClient;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, Holding> heldSlots = new HashMap<>();
    private final Map<Long, LocalPlacement.Placed> localPlacements = new HashMap<>();

    private ItemExecutor executor;
    private Connection current;
    private boolean searchWaitOver;
    private Timers.Timer searchTimer = () -> {};
    private boolean draining;
    private List<NodeEntry> registeredNodes = List.of();
    private int nodeCount = 1;
    private boolean nodesKnown;
    private long nextLease;
    private ConfigExchange config;

    private record Pending(SlotRequest request, Listener listener, long sinceNanos) {}

    private final class Connection implements SchedulerElection.Link {
        final NodeEntry target;
        NetSocket socket;
        ConfigExchange.Link configLink;
        boolean active;
        boolean closed;

        Connection(NodeEntry target) {
            this.target = target;
        }

        boolean local() {
            return target.name().equals(self.name());
        }

        @Override
        public NodeEntry target() {
            return target;
        }

        @Override
        public void open() {
            netClient
                    .connect(target.port(), target.host())
                    .onSuccess(this::connected)
                    .onFailure(failure -> lost(failure.getMessage()));
        }

        private void lost(String reason) {
            if (!closed) {
                election.lost(this, reason);
            }
        }

        void connected(NetSocket opened) {
            if (closed) {
                opened.close();
                return;
            }
            socket = opened;
            configLink = config.connect(socket::write);
            socket.handler(new SlotFrames.Decoder(this::handle, problem -> {
                log.event(ServingEvent.FRAME_MALFORMED, "peer", target.name(), "message", problem);
                lost(problem);
            }));
            socket.closeHandler(end -> lost("connection closed"));
            socket.exceptionHandler(failure -> lost(failure.getMessage()));
            election.connected(this);
        }

        @Override
        public void ping() {
            if (active) {
                quotas.report();
            }
            socket.write(configLink.ping(ticker.nanos(), election.report()));
        }

        void activate() {
            if (!local()) {
                // Orders this hello behind that of a connection to the same scheduler, see HelloOrder.
                ping();
            }
            active = true;
            Connection previous = current;
            current = this;
            endSearch();
            if (previous != null) {
                previous.leave();
            }
            if (local()) {
                scheduler.joined(self.name(), self.failureDomain(), self.capacity(), List.copyOf(heldSlots.values()));
                quotas.connectedLocally();
            } else {
                socket.write(SlotFrames.hello(
                        self,
                        heldSlots.values(),
                        streamVersions.groups(),
                        directory.notices(),
                        quotas.usage(),
                        directory.servedVersions()));
                quotas.connected(socket::write);
                prompts.recentCrashes()
                        .forEach(crash -> socket.write(SlotFrames.requestCrashed(
                                new RequestTraits(crash.parts(), crash::request),
                                crash.upstream(),
                                prompts.age(crash))));
            }
            log.event(ServingEvent.SCHEDULER_CHANGED, "scheduler", target.name(), "holdings", heldSlots.size());
            List.copyOf(pending.values()).forEach(entry -> send(entry.request()));
        }

        void send(SlotRequest request) {
            if (local()) {
                scheduler.acquire(request);
            } else {
                socket.write(SlotFrames.acquire(request));
            }
        }

        /** Handles a frame; a failure costs that frame, not those after it. */
        void handle(SlotFrame frame) {
            FailureGuard.run(log, () -> frame(frame), "peer", target.name(), "frame", frame.getBodyCase());
        }

        void frame(SlotFrame frame) {
            if (closed) {
                return;
            }
            election.frameReceived(this);
            switch (frame.getBodyCase()) {
                case HELLO -> VersionFrames.read(frame.getHello(), directory.servedVersions());
                case PONG -> {
                    configLink.pongReceived(frame.getPong());
                    if (active) {
                        quotas.acknowledged(frame.getPong().getSequence());
                    }
                    election.responded(
                            this,
                            Duration.ofMillis(frame.getPong().getStoreAgeMs()),
                            SightingFrames.read(frame.getPong().getSightingsList()));
                }
                case SIGHTINGS ->
                    election.received(SightingFrames.read(frame.getSightings().getSightingsList()));
                case CONFIG_REQUEST -> configLink.requested(frame.getConfigRequest());
                case CONFIG_RECORD -> configLink.received(frame.getConfigRecord());
                case GRANTED -> decided(this, () -> granted(frame.getGranted()));
                case REJECTED -> decided(this, () -> rejected(frame.getRejected()));
                case QUOTA_DECISION -> quotas.decided(frame.getQuotaDecision());
                case LIMITED_WORKSPACES ->
                    quotas.limited(frame.getLimitedWorkspaces().getWorkspacesList());
                case RUN_ITEM -> decided(this, () -> run(frame.getRunItem()));
                case PREEMPT ->
                    decided(this, () -> executor.preempt(frame.getPreempt().getLease()));
                case REQUEST_SUSPECTED ->
                    prompts.suspect(frame.getRequestSuspected().getRequest());
                case PROMPT_REJECTED ->
                    prompts.reject(Set.copyOf(frame.getPromptRejected().getPartsList()));
                case UPSTREAM_NOTICE -> directory.note(SlotFrames.upstreamNotice(frame.getUpstreamNotice()));
                case STREAMS_BEGAN -> streamVersions.record(SlotFrames.streams(frame.getStreamsBegan()));
                default ->
                    log.event(ServingEvent.FRAME_MALFORMED, "peer", target.name(), "message", frame.getBodyCase());
            }
        }

        /**
         * Handles a grant. One that continues a stream is not used if this node knows another version of the upstream
         * than the scheduler, which has decided on the version; the scheduler is then asked for another upstream.
         */
        void granted(Granted grant) {
            Pending entry = pending.get(grant.getLease());
            boolean continues = entry != null && entry.request().origin().isPresent();
            boolean otherVersion = directory
                    .find(grant.getUpstream())
                    .map(upstream ->
                            !grant.getVersion().isEmpty() && !upstream.version().equals(grant.getVersion()))
                    .orElse(false);
            if (!continues || !otherVersion) {
                SchedulerClient.this.granted(grant.getLease(), grant.getUpstream());
                return;
            }
            release(grant.getLease(), ReleaseReason.CANCELLED, 0);
            acquire(entry.request().excluding(grant.getUpstream()), entry.listener());
        }

        /** Ends the use of this scheduler in favor of another one. */
        void leave() {
            if (local()) {
                scheduler.moved(self.name());
            } else {
                socket.write(SlotFrames.leaving());
            }
            close();
        }

        @Override
        public void close() {
            closed = true;
            if (local() && active) {
                scheduler.left(self.name());
            } else if (socket != null) {
                socket.close();
            }
        }
    }

    public SchedulerClient(
            Vertx vertx,
            NodeEntry self,
            SlotScheduler scheduler,
            SlotServer server,
            LocalPlacement placement,
            Ticker ticker,
            Timers timers,
            EventLog log,
            Supplier<Duration> jobStateAge,
            CrashingPrompts prompts,
            UpstreamDirectory directory,
            QuotaServer quotaServer,
            Supplier<Workspaces> workspaces) {
        this.quotas = new QuotaConnection(
                self.name(), new QuotaClient(ticker, workspaces, this::nodeCount), quotaServer, timers);
        this.prompts = prompts;
        this.directory = directory;
        this.self = self;
        this.election = new SchedulerElection(
                self.name(), Connection::new, jobStateAge, server::joinedNodes, this, ticker, timers);
        this.scheduler = scheduler;
        this.streamVersions = scheduler.streamVersions();
        this.origins = new OriginLookup(streamVersions, scheduler.resumptions());
        this.server = server;
        this.placement = placement;
        placement.shareLimits(this::nodeCount);
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.context = vertx.getOrCreateContext();
        this.netClient = vertx.createNetClient(
                new NetClientOptions().setTcpNoDelay(true).setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
        // Starts at the wall clock, so that lease numbers of an earlier process of this node are not reused. Bit 62 is
        // left to item leases, which the scheduler numbers.
        this.nextLease = ticker.now().toEpochMilli() << 20 & 0x3fff_ffff_ffff_ffffL;
        this.config = ConfigExchange.none(ticker);
    }

    /** Sets the exchange of configurations with the scheduler's node; call it before {@link #start}. */
    void exchangeConfig(ConfigExchange exchange) {
        config = exchange;
    }

    /** Starts selecting and checking the scheduler; items run on the executor. */
    public void start(ItemExecutor itemExecutor) {
        executor = itemExecutor;
        election.start();
        timers.every(ORIGIN_INTERVAL, this::resolveOrigins);
    }

    /** Returns what this node tells other nodes of those that respond, and learns from them. */
    SightingExchange sightings() {
        return election;
    }

    /** Replaces the registered nodes. */
    public void replaceNodes(Collection<NodeEntry> registered) {
        nodesKnown = true;
        registeredNodes = List.copyOf(registered);
        nodeCount = Math.max(1, registered.size());
        offerNodes();
    }

    private void offerNodes() {
        election.replaceNodes(draining ? otherNodes() : registeredNodes, nodeCount);
    }

    private List<NodeEntry> otherNodes() {
        return registeredNodes.stream()
                .filter(node -> !node.name().equals(self.name()))
                .toList();
    }

    /** Returns the names of the registered nodes in the order in which their schedulers are preferred. */
    List<String> preferredNodes() {
        return election.preferredNodes();
    }

    /** Returns the number of registered nodes; empty if they have not been read. */
    OptionalInt registeredCount() {
        return nodesKnown ? OptionalInt.of(nodeCount) : OptionalInt.empty();
    }

    /** Returns the number of registered nodes, one while they have not been read. */
    public int nodeCount() {
        return nodeCount;
    }

    /** Returns the name of the node whose scheduler is in use, or empty while there is none. */
    public Optional<String> schedulerName() {
        return Optional.ofNullable(current).map(connection -> connection.target.name());
    }

    @Override
    public void searchStarted() {
        searchTimer.cancel();
        searchWaitOver = false;
        searchTimer = timers.after(MAX_SEARCH_WAIT, () -> {
            searchWaitOver = true;
            placePendingLocally();
        });
    }

    private void endSearch() {
        searchWaitOver = false;
        searchTimer.cancel();
    }

    private void placePendingLocally() {
        List.copyOf(pending.values()).forEach(this::placeLocally);
    }

    @Override
    public void selected(NodeEntry scheduler, Optional<SchedulerElection.Link> link) {
        Connection connection = link.filter(Connection.class::isInstance)
                .map(Connection.class::cast)
                .orElseGet(() -> new Connection(scheduler));
        connection.activate();
    }

    @Override
    public void schedulerLost(String reason) {
        log.event(
                ServingEvent.SCHEDULER_LOST,
                "scheduler",
                current.target.name(),
                "reason",
                reason,
                "waiting",
                pending.size());
        current = null;
        quotas.disconnected();
        placement.schedulerLost();
    }

    @Override
    public void preferredSeen(List<NodeSighting> report) {
        server.sendSightings(report);
    }

    /**
     * Declines further items because the process is shutting down, and uses another node's scheduler if this node's
     * was in use; requests and items in progress are not affected.
     */
    public void drain() {
        draining = true;
        offerNodes();
    }

    @Override
    public long newLease() {
        return nextLease++;
    }

    @Override
    public void acquire(SlotRequest request, Listener listener) {
        Pending entry = new Pending(request, listener, ticker.nanos());
        pending.put(request.lease(), entry);
        if (current != null) {
            current.send(request);
        } else if (!election.asking() || searchWaitOver) {
            context.runOnContext(now -> {
                if (pending.containsKey(request.lease())) {
                    placeLocally(entry);
                }
            });
        }
    }

    private void placeLocally(Pending entry) {
        SlotRequest request = entry.request();
        Optional<ServiceVersion> served =
                request.origin().flatMap(origin -> streamVersions.resolve(request.service(), origin));
        if (request.origin().isPresent() && served.isEmpty()) {
            // Stays pending until the next scheduler is found, which may know where the stream began.
            streamVersions.seek(request.service(), request.origin().get());
            return;
        }
        long lease = request.lease();
        pending.remove(lease);
        boolean continuable = request.origin().isEmpty()
                || served.filter(request.origin().get()::continuableOn).isPresent();
        Optional<LocalPlacement.Placed> placed = continuable && quotas.mayRun(request)
                ? placement.pick(
                        served.map(ServiceVersion::service).orElse(request.service()),
                        request.excluded(),
                        served.map(ServiceVersion::version))
                : Optional.empty();
        if (placed.isEmpty()) {
            entry.listener().rejected(Duration.ofSeconds(1));
            return;
        }
        quotas.run(request);
        scheduler.resumptions().continued(request);
        String upstream = placed.get().upstream().id();
        localPlacements.put(lease, placed.get());
        heldSlots.put(lease, new Holding(lease, upstream, Optional.empty()));
        entry.listener().granted(upstream);
    }

    @Override
    public void admit(String workspace, QuotaClient.Listener listener) {
        quotas.admit(workspace, listener);
    }

    /** Sets what counts admissions and rejections by quotas, by the name of the metric. */
    public void countQuotas(Consumer<String> counter) {
        quotas.countWith(counter);
    }

    @Override
    public void release(long lease, ReleaseReason reason, int keptEvents) {
        pending.remove(lease);
        heldSlots.remove(lease);
        LocalPlacement.Placed placed = localPlacements.remove(lease);
        if (placed != null) {
            placement.requestEnded(placed, reason);
        }
        if (current == null) {
            return;
        }
        if (current.local()) {
            context.runOnContext(now -> scheduler.released(self.name(), lease, reason, keptEvents));
        } else {
            current.socket.write(SlotFrames.release(lease, reason, keptEvents));
        }
    }

    @Override
    public void streamBegan(List<String> names, ServiceVersion served) {
        StreamVersions.Group began = new StreamVersions.Group(served, names);
        streamVersions.record(began);
        if (current == null) {
            return;
        }
        if (current.local()) {
            server.replicate(began);
        } else {
            current.socket.write(SlotFrames.streamsBegan(began));
        }
    }

    @Override
    public void requestCompleted(RequestTraits traits) {
        if (prompts.completed(traits) && remoteScheduler()) {
            current.socket.write(SlotFrames.requestCompleted(traits));
        }
    }

    @Override
    public void requestCrashed(RequestTraits traits, String upstream) {
        log.event(
                ServingEvent.UPSTREAM_CRASHED,
                "upstream",
                upstream,
                "parts",
                CrashingPrompts.hex(traits.sharedParts()),
                "request",
                Long.toHexString(traits.hash()));
        prompts.crashed(traits, upstream, Duration.ZERO);
        if (remoteScheduler()) {
            current.socket.write(SlotFrames.requestCrashed(traits, upstream, Duration.ZERO));
        } else {
            server.sendSuspect(traits.hash());
        }
    }

    private boolean remoteScheduler() {
        return current != null && !current.local();
    }

    @Override
    public Optional<Duration> rejectedFor(RequestTraits traits) {
        return prompts.rejectedFor(traits);
    }

    @Override
    public void findVersion(String service, StreamOrigin origin, Consumer<Optional<ServiceVersion>> listener) {
        origins.find(service, origin, listener);
    }

    /** Resolves origins again that need to be known as of now; call it after each read of the list of upstreams. */
    void resolveOrigins() {
        origins.retry();
        if (current == null && (!election.asking() || searchWaitOver)) {
            placePendingLocally();
        }
    }

    @Override
    public void upstreamNotice(UpstreamNotice notice) {
        if (remoteScheduler()) {
            current.socket.write(SlotFrames.upstreamNotice(notice));
        } else {
            server.sendNotice(notice);
        }
    }

    @Override
    public void suspect(String upstream) {
        if (current == null) {
            return;
        }
        if (current.local()) {
            scheduler.suspected(upstream);
        } else {
            Buffer frame = SlotFrames.suspect(upstream);
            current.socket.write(frame);
        }
    }

    /**
     * Carries out a decision of a scheduler after the current task, unless another scheduler is in use by then: that
     * one has been told what the node holds without this decision, and decides anew.
     */
    private void decided(Connection connection, Runnable decision) {
        context.runOnContext(now -> {
            if (connection == current) {
                decision.run();
            }
        });
    }

    /** Carries out a decision of this node's scheduler. */
    private void decidedLocally(Runnable decision) {
        Connection connection = current;
        if (connection != null && connection.local()) {
            decided(connection, decision);
        }
    }

    @Override
    public void granted(String node, long lease, String upstream) {
        decidedLocally(() -> granted(lease, upstream));
    }

    private void granted(long lease, String upstream) {
        Pending entry = pending.remove(lease);
        if (entry == null) {
            // The request was withdrawn.
            if (!heldSlots.containsKey(lease)) {
                release(lease, ReleaseReason.CANCELLED, 0);
            }
            return;
        }
        heldSlots.put(lease, new Holding(lease, upstream, Optional.empty()));
        quotas.granted(entry.request());
        entry.listener().granted(upstream);
    }

    @Override
    public void rejected(String node, long lease, Duration retryAfter) {
        decidedLocally(() -> rejected(lease, retryAfter));
    }

    private void rejected(Rejected rejection) {
        Duration retryAfter = Duration.ofMillis(rejection.getRetryAfterMs());
        if (rejection.getOverQuota()) {
            overQuota(rejection.getLease(), retryAfter);
        } else {
            rejected(rejection.getLease(), retryAfter);
        }
    }

    private void rejected(long lease, Duration retryAfter) {
        Pending entry = pending.remove(lease);
        if (entry != null) {
            entry.listener().rejected(retryAfter);
        }
    }

    @Override
    public void overQuota(String node, long lease, Duration retryAfter) {
        decidedLocally(() -> overQuota(lease, retryAfter));
    }

    private void overQuota(long lease, Duration retryAfter) {
        Pending entry = pending.remove(lease);
        if (entry != null) {
            quotas.rejected();
            entry.listener().overQuota(retryAfter);
        }
    }

    @Override
    public void run(String node, long lease, String upstream, ItemRef item) {
        decidedLocally(() -> run(lease, upstream, item));
    }

    private void run(RunItem order) {
        run(order.getLease(), order.getUpstream(), new ItemRef(order.getJob(), order.getItem()));
    }

    private void run(long lease, String upstream, ItemRef item) {
        if (draining) {
            release(lease, ReleaseReason.NODE_DECLINED, 0);
            return;
        }
        heldSlots.put(lease, new Holding(lease, upstream, Optional.of(item)));
        Runnable start = () -> executor.run(lease, upstream, item);
        if (!FailureGuard.run(log, start, "job", item.job(), "index", item.index())) {
            release(lease, ReleaseReason.NODE_DECLINED, 0);
        }
    }

    @Override
    public void preempt(String node, long lease) {
        decidedLocally(() -> executor.preempt(lease));
    }

    /** Returns the slots that this node holds. */
    public List<Holding> holdings() {
        return new ArrayList<>(heldSlots.values());
    }
}
