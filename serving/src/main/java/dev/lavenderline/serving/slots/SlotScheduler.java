package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.slots.LeaseTable.Lease;
import dev.lavenderline.serving.slots.LeaseTable.NodeState;
import dev.lavenderline.serving.slots.LeaseTable.Occupancy;
import dev.lavenderline.serving.upstreams.RequestRates;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.TrialHolder;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import dev.lavenderline.serving.upstreams.UpstreamSearch;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Places online requests and batch items on the slots of engines.
 *
 * <p>Handles online load that varies between a third and twice its mean every few seconds, while batch items that run
 * for seconds use the remaining slots. An online request takes a free slot, else the slot of an item, which is
 * preempted and resumed later. When online requests alone fill the engines, a few queue at each engine and the rest
 * here, in the order of {@link WaitingRequests}; a request that cannot meet its target is rejected immediately. When
 * items arrive faster than engines can run them, those that can still complete by their due time go before late ones.
 *
 * <p>Invariants: an item has at most one lease; an upstream never gets more online requests than its slots and {@link
 * Options#queuedPerUpstream}, or {@link #PLAIN_SERVICE_QUEUE} for each slot of a plain service; one with a limit gets
 * no more than {@link RequestRates} allows. Not thread-safe; confined to the event loop.
 */
public final class SlotScheduler {
    /** Initial estimate of the hold time of an online request. */
    private static final double INITIAL_ONLINE_SECONDS = 0.7;

    /** Time between two checks for slow upstreams. */
    private static final Duration SLOW_CHECK_INTERVAL = Duration.ofMillis(100);

    /**
     * Items per unit of capacity added to the load of nodes in other failure domains, because their items cause traffic
     * between regions.
     */
    private static final double REMOTE_ITEM_LOAD = 2;

    /** Items per unit of capacity subtracted from the load of the node that accepted a job, which saves a read. */
    private static final double CONTENT_KEPT_ITEM_LOAD = 3;

    /** Part of a service's requests that may be on upstreams that have failed while others have room. */
    private static final double MAX_TRIAL_SHARE = 0.1;

    /** Online requests for each slot that an upstream of a plain service may have beyond its slots. */
    private static final int PLAIN_SERVICE_QUEUE = 2;

    private final Ticker ticker;
    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Backlog backlog;
    private final SlotDecisionListener decisions;
    private final EventLog log;
    private final Options options;

    private final LeaseTable leases = new LeaseTable();
    private final ItemProgress progress;
    private final ItemRanking ranking;
    private final ItemOrder itemOrder;
    private final DecliningNodes decliningNodes;
    private final MovedSlots movedSlots;
    private final WaitingRequests waiting;
    private final HoldTimeEstimate onlineHoldTimes = new HoldTimeEstimate(INITIAL_ONLINE_SECONDS);
    private final ItemTimeEstimate itemTimes = new ItemTimeEstimate();
    private final PrefixCacheIndex prefixCache = new PrefixCacheIndex();
    private final SlowUpstreamDetector slowUpstreams;
    private final RequestRates rates;
    private final DomainOverflow overflow;
    private final StreamVersions streamVersions;
    private final ResumptionCounts resumptions;
    private long lastSlowCheckNanos;
    private BooleanSupplier mayStartItems = () -> true;
    private BooleanSupplier mustStopItems = () -> false;
    private BooleanSupplier mayLearnOrigins = () -> false;
    private Predicate<String> plainService = service -> false;
    private ToLongFunction<String> memoryTokens = service -> 0;
    private PlacementCost placementCost = new PlacementCost(Topology.ofRegions(Map.of()));
    private RequestCharges charges = RequestCharges.NONE;
    private long activeSinceNanos;
    private final ItemLeaseNumbers itemLeases;
    private final UpstreamSearch upstreamSearch;
    private Consumer<Upstream> connectionCheck = upstream -> {};

    /**
     * Limits of the scheduler.
     *
     * @param queuedPerUpstream online requests that an upstream may have beyond its slots; they use the next free slot
     *     without a round trip to the scheduler
     * @param reservePercent percentage of the slots of a service that items leave free for online requests
     * @param firstEventTime time from the grant of a slot to the first response event
     * @param itemRetryDelay delay until a failed item is run again
     * @param resultTimeout time for which a completed item without a recorded result is not run again
     * @param minRetryAfter shortest retry delay of a rejected caller
     * @param retryAfterJitter upper bound of the random delay added, so that rejected callers do not retry at once
     */
    public record Options(
            int queuedPerUpstream,
            int reservePercent,
            Duration firstEventTime,
            Duration itemRetryDelay,
            Duration resultTimeout,
            Duration minRetryAfter,
            Duration retryAfterJitter) {
        /** Returns the default limits, see docs/measurements.md. */
        public static Options defaults() {
            return new Options(
                    1,
                    5,
                    Duration.ofMillis(60),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1000));
        }
    }

    public SlotScheduler(
            Ticker ticker,
            UpstreamDirectory directory,
            UpstreamHealth health,
            Backlog backlog,
            SlotDecisionListener decisions,
            EventLog log,
            DoubleSupplier random,
            Options options) {
        this.ticker = ticker;
        this.directory = directory;
        this.health = health;
        this.backlog = backlog;
        this.decisions = decisions;
        this.log = log;
        this.options = options;
        this.waiting = new WaitingRequests(ticker, random, options);
        this.progress = new ItemProgress(ticker);
        this.ranking = new ItemRanking(ticker, progress, itemTimes);
        this.itemOrder = new ItemOrder(ticker, backlog, ranking::rank, this::startable);
        this.decliningNodes = new DecliningNodes(ticker);
        this.movedSlots = new MovedSlots(ticker);
        this.slowUpstreams = new SlowUpstreamDetector(ticker);
        this.rates = new RequestRates(ticker, directory, () -> 1);
        this.overflow = new DomainOverflow(ticker);
        this.streamVersions = new StreamVersions(ticker, directory);
        this.resumptions = new ResumptionCounts(ticker, log, streamVersions);
        this.lastSlowCheckNanos = ticker.nanos();
        this.itemLeases = new ItemLeaseNumbers(ticker);
        this.upstreamSearch = new UpstreamSearch(ticker);
    }

    /** Sets the condition for starting items. */
    void startItemsWhile(BooleanSupplier condition) {
        mayStartItems = condition;
    }

    /** Sets what opens a connection to an upstream and calls {@link #accepted} if it is accepted. */
    void checkConnectionsWith(Consumer<Upstream> check) {
        connectionCheck = check;
    }

    /** Records that an upstream accepts connections. */
    void accepted(Upstream upstream) {
        health.accepted(upstream.id());
    }

    /** Sets the condition for preempting all running items. */
    void stopItemsWhile(BooleanSupplier condition) {
        mustStopItems = condition;
    }

    /** Sets the condition for holding requests of streams whose origin may still be reported by nodes that join. */
    void learnOriginsWhile(BooleanSupplier condition) {
        mayLearnOrigins = condition;
    }

    /** Sets which services are plain, so that their requests are short. */
    public void plainServices(Predicate<String> condition) {
        plainService = condition;
    }

    /** Sets the tokens that an engine of a service keeps in memory, 0 if that is not known. */
    public void engineMemory(ToLongFunction<String> tokens) {
        memoryTokens = tokens;
    }

    /** Sets the distances between failure domains, and the price of traffic between them. */
    public void topology(Topology topology) {
        placementCost = new PlacementCost(topology);
    }

    /** Sets what charges requests to the quotas of their workspaces; it also has to receive the decisions. */
    void chargeTo(RequestCharges quotas) {
        charges = quotas;
    }

    /** Returns where recent streams began. */
    StreamVersions streamVersions() {
        return streamVersions;
    }

    /** Returns the counts of resumed streams, of this scheduler and of the requests that the node places itself. */
    ResumptionCounts resumptions() {
        return resumptions;
    }

    /** Returns the time since the scheduler last went from no nodes to one. */
    Duration activeFor() {
        return Duration.ofNanos(ticker.nanos() - activeSinceNanos);
    }

    /** Adds a node that uses this scheduler, with the slots that it holds; replaces earlier state of the node. */
    public void joined(String name, String failureDomain, double capacity, List<Holding> holdings) {
        left(name);
        if (nodeCount() == 0) {
            activeSinceNanos = ticker.nanos();
            rates.restart();
        }
        movedSlots.nodeJoined(name);
        NodeState node = leases.addNode(name, failureDomain, capacity);
        for (Holding holding : holdings) {
            leases.add(new Lease(
                    node,
                    holding.lease(),
                    holding.upstream(),
                    holding.item(),
                    ticker.nanos(),
                    Long.MAX_VALUE,
                    0,
                    "",
                    0,
                    true));
        }
    }

    /** Removes a node that uses another scheduler now and goes on with what it runs. */
    public void moved(String name) {
        movedSlots.nodeMoved(name, leases.holdings(name));
        left(name);
    }

    /** Removes a node that is gone. */
    public void left(String name) {
        if (leases.removeNode(name)) {
            health.nodeLeft(name);
            waiting.removeIf(request -> request.node().equals(name));
            progress.nodeLeft(name);
            decliningNodes.nodeLeft(name);
            charges.nodeLeft(name);
        }
    }

    /** Returns the number of nodes that use this scheduler. */
    public int nodeCount() {
        return leases.nodes().size();
    }

    /** Returns the names of the nodes that use this scheduler. */
    public Set<String> nodeNames() {
        return leases.nodes().stream().map(node -> node.name).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the number of online requests that wait for a slot. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Grants a slot for the request, queues it, or rejects it if it would wait too long or its node has not joined. */
    public void acquire(SlotRequest request) {
        if (leases.node(request.node()).isEmpty()) {
            reject(request, options.minRetryAfter());
            return;
        }
        if (tooLarge(request)) {
            reject(request, options.minRetryAfter());
            return;
        }
        if (!charges.admit(request)) {
            return;
        }
        if (request.origin().isPresent()) {
            acquireForStartedStream(request);
            return;
        }
        if (waiting.othersWaitBefore(request)) {
            placeWaitingRequests();
        }
        if (!tryPlace(request)) {
            waiting.offer(request, slotsPerSecond(request.service())).ifPresent(delay -> reject(request, delay));
        }
    }

    private void reject(SlotRequest request, Duration retryDelay) {
        decisions.rejected(request.node(), request.lease(), retryDelay);
    }

    private boolean tooLarge(SlotRequest request) {
        return EngineMemory.tooLarge(memoryTokens.applyAsLong(request.service()), request.neededTokens(false));
    }

    /** Queues a request for the rest of a stream until its deadline, unless no upstream may continue the stream. */
    private void acquireForStartedStream(SlotRequest received) {
        SlotRequest request = resolveOrigin(received);
        if (!mayContinue(request)) {
            rejectStartedStream(request);
        } else if (tryPlace(request)) {
            resumptions.continued(received);
        } else {
            waiting.add(request);
        }
    }

    private SlotRequest resolveOrigin(SlotRequest request) {
        if (!request.originUnknown()) {
            return request;
        }
        return streamVersions
                .resolve(request.service(), request.origin().orElseThrow())
                .map(request::withOrigin)
                .orElse(request);
    }

    /** Returns whether an upstream that may continue the stream of a request is there, or may be found. */
    private boolean mayContinue(SlotRequest request) {
        if (request.originUnknown()) {
            return streamVersions.seek(request.service(), request.origin().get()) || mayLearnOrigins.getAsBoolean();
        }
        StreamOrigin origin = request.origin().orElseThrow();
        return origin.served().filter(origin::continuableOn).isPresent()
                && directory.open(request.service()).stream().anyMatch(upstream -> eligible(upstream, request));
    }

    private void rejectStartedStream(SlotRequest request) {
        StreamOrigin origin = request.origin().orElseThrow();
        log.event(
                ServingEvent.STREAM_NOT_CONTINUED,
                "peer",
                request.node(),
                "service",
                request.service(),
                "resumes",
                origin.attempt().orElse(null),
                "version",
                origin.served().map(ServiceVersion::version).orElse(null),
                "cause",
                resumptions.refused(request.service(), origin));
        reject(request, options.minRetryAfter());
    }

    /**
     * Returns the rate at which slots of a service become free for online requests, 0 if no upstream can be used now.
     */
    private double slotsPerSecond(String service) {
        return directory.open(service).stream()
                .filter(upstream -> health.usable(upstream.id()))
                .mapToDouble(this::slotsPerSecond)
                .sum();
    }

    /** Returns the rate at which slots of an upstream become free for online requests, or its limit if lower. */
    private double slotsPerSecond(Upstream upstream) {
        double meanSeconds = onlineHoldTimes.meanSeconds(upstream.service());
        OptionalDouble limit = rates.highestRate(upstream);
        if (limit.isPresent()) {
            return Math.min(limit.getAsDouble(), upstream.slots() / meanSeconds);
        }
        int occupied =
                Math.min(upstream.slots(), leases.occupancy(upstream.id()).total());
        return occupied / meanSeconds;
    }

    private boolean tryPlace(SlotRequest request) {
        NodeState node = leases.node(request.node()).orElseThrow();
        Upstream best = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        double meanHoldSeconds = onlineHoldTimes.meanSeconds(request.service());
        List<Upstream> open = directory.open(request.service());
        boolean mayTry = request.excluded().isEmpty() && trialsAreFew(open);
        for (Upstream upstream : open) {
            if (!hasCapacity(upstream, request)) {
                continue;
            }
            double cost = placementCost
                    .estimate(
                            candidate(upstream, request, mayTry),
                            node.failureDomain,
                            request.sharedTokens(),
                            meanHoldSeconds)
                    .total();
            if (cost < lowestCost) {
                best = upstream;
                lowestCost = cost;
            }
        }
        if (best == null) {
            return false;
        }
        if (leases.occupancy(best.id()).total() >= best.slots()) {
            preemptionCandidate(best.id()).ifPresent(this::preempt);
        }
        freeMemory(best, request);
        reportOverflow(request.service(), node.failureDomain, best.failureDomain());
        grant(request, node, best);
        return true;
    }

    /** Preempts the items beside which a request does not fit into the memory of an engine. */
    private void freeMemory(Upstream upstream, SlotRequest request) {
        Occupancy occupancy = leases.occupancy(upstream.id());
        long capacity = memoryTokens.applyAsLong(upstream.service());
        long needed = request.neededTokens(prefixCached(upstream, request));
        while (!occupancy.itemLeases().isEmpty() && !EngineMemory.fits(capacity, occupancy.tokens(), needed)) {
            preemptionCandidate(upstream.id()).ifPresent(this::preempt);
        }
    }

    private void reportOverflow(String service, String from, String to) {
        overflow.placed(from, to)
                .ifPresent(change -> log.event(
                        ServingEvent.DOMAIN_OVERFLOW,
                        "failureDomain",
                        from,
                        "service",
                        service,
                        "state",
                        change.overflows() ? "begins" : "ends",
                        "share",
                        change.share()));
    }

    /** Returns whether a request may be sent to an upstream once that has room. */
    private static boolean eligible(Upstream upstream, SlotRequest request) {
        if (request.excluded().contains(upstream.id())) {
            return false;
        }
        return request.origin().isEmpty()
                || request.origin().flatMap(StreamOrigin::served).equals(Optional.of(ServiceVersion.of(upstream)));
    }

    private boolean hasCapacity(Upstream upstream, SlotRequest request) {
        return eligible(upstream, request)
                && hasRoom(upstream)
                && EngineMemory.fits(
                        memoryTokens.applyAsLong(upstream.service()),
                        leases.occupancy(upstream.id()).onlineTokens(),
                        request.neededTokens(prefixCached(upstream, request)));
    }

    private boolean hasRoom(Upstream upstream) {
        if (!health.usable(upstream.id()) || !rates.mayTake(upstream)) {
            return false;
        }
        int queued = health.suspected(upstream.id()) ? 0 : queuedRequests(upstream);
        return leases.occupancy(upstream.id()).onlineCount() < upstream.slots() + queued;
    }

    private int queuedRequests(Upstream upstream) {
        return plainService.test(upstream.service())
                ? PLAIN_SERVICE_QUEUE * upstream.slots()
                : options.queuedPerUpstream();
    }

    /**
     * Returns whether few of a service's requests are on upstreams that have failed and not responded since. With many
     * such upstreams, which are idle, most requests would otherwise be sent to one after the other of them. One request
     * at a time may always be.
     */
    private boolean trialsAreFew(List<Upstream> service) {
        int all = 0;
        int trials = 0;
        for (Upstream upstream : service) {
            int online = leases.occupancy(upstream.id()).onlineCount();
            all += online;
            trials += failed(upstream) ? online : 0;
        }
        return trials == 0 || trials + 1 <= MAX_TRIAL_SHARE * (all + 1);
    }

    /**
     * Returns what is known of an upstream when a request is placed.
     *
     * @param mayTry whether the request may be sent to an upstream that has failed although others have room
     */
    private PlacementCost.Candidate candidate(Upstream upstream, SlotRequest request, boolean mayTry) {
        Occupancy occupancy = leases.occupancy(upstream.id());
        return new PlacementCost.Candidate(
                upstream.failureDomain(),
                upstream.slots(),
                occupancy.onlineCount(),
                occupancy.total() - occupancy.onlineCount(),
                prefixCached(upstream, request),
                slowUpstreams.slow(upstream.id()),
                failed(upstream) && !(mayTry && mayBeTried(upstream)),
                !mayTry && failed(upstream) || !request.excluded().isEmpty() && !health.provenLately(upstream.id()),
                rates.usedUp(upstream));
    }

    private boolean failed(Upstream upstream) {
        return failed(upstream.id());
    }

    private boolean failed(String upstream) {
        return health.suspected(upstream) || health.doubtful(upstream);
    }

    private boolean mayBeTried(Upstream upstream) {
        return !health.suspected(upstream.id()) || health.trialOverdue(upstream.id());
    }

    private boolean prefixCached(Upstream upstream, SlotRequest request) {
        return request.prefix() != 0 && prefixCache.mayHaveCached(request.prefix(), upstream.id());
    }

    private void grant(SlotRequest request, NodeState node, Upstream upstream) {
        int tokens = (int) Math.min(Integer.MAX_VALUE, request.neededTokens(prefixCached(upstream, request)));
        leases.add(new Lease(
                node,
                request.lease(),
                upstream.id(),
                Optional.empty(),
                ticker.nanos(),
                Long.MAX_VALUE,
                tokens,
                "",
                0,
                false));
        health.sent(upstream.id(), new TrialHolder(node.name, request.lease()));
        rates.sent(upstream);
        if (request.prefix() != 0) {
            prefixCache.record(request.prefix(), upstream.id());
        }
        decisions.granted(node.name, request.lease(), upstream.id());
    }

    /**
     * Returns the lease of the item to preempt: of the least urgent priority, one past its due time, else the one due
     * last. Even an item of the most urgent priority gives way, as it has seconds to run again and a stream has not.
     */
    private Optional<Lease> preemptionCandidate(String upstream) {
        long now = ticker.nanos();
        return leases.occupancy(upstream).itemLeases().stream()
                .max(Comparator.comparingInt(Lease::priority)
                        .thenComparing(lease -> lease.dueNanos() - now < 0)
                        .thenComparingLong(Lease::dueNanos)
                        .thenComparingLong(Lease::startNanos));
    }

    private void preempt(Lease lease) {
        leases.freePreemptedSlot(lease);
        decisions.preempt(lease.node().name, lease.number());
    }

    /**
     * Handles the release of a slot or the withdrawal of a waiting request.
     *
     * @param keptEvents output events of an item that the node keeps; if there are any, the item resumes there
     */
    public void released(String nodeName, long number, ReleaseReason reason, int keptEvents) {
        waiting.withdraw(nodeName, number);
        charges.released(nodeName, number);
        Optional<Lease> found = leases.find(nodeName, number);
        if (found.isEmpty()) {
            return;
        }
        Lease lease = found.get();
        leases.remove(lease);
        recordHealth(lease, reason);
        recordHoldTime(lease, reason);
        lease.item().ifPresent(item -> itemReleased(item, lease, reason, keptEvents));
        schedule();
    }

    private void recordHoldTime(Lease lease, ReleaseReason reason) {
        if (reason != ReleaseReason.COMPLETED || lease.partialRun() || slowUpstreams.slow(lease.upstream())) {
            return;
        }
        long heldNanos = ticker.nanos() - lease.startNanos();
        directory.find(lease.upstream()).map(Upstream::service).ifPresent(service -> {
            if (lease.item().isPresent()) {
                itemTimes.record(service, lease.tokens(), heldNanos);
            } else {
                if (!limited(lease.upstream())) {
                    waiting.slotReleased(service);
                }
                onlineHoldTimes.record(service, heldNanos);
            }
        });
    }

    private void itemReleased(ItemRef item, Lease lease, ReleaseReason reason, int keptEvents) {
        String node = lease.node().name;
        boolean declined = reason == ReleaseReason.ITEM_UNKNOWN
                || reason == ReleaseReason.CONTENT_UNREADABLE
                || reason == ReleaseReason.NODE_DECLINED;
        boolean ran = reason == ReleaseReason.COMPLETED || reason == ReleaseReason.ITEM_FAILED || keptEvents > 0;
        if (ran && !declined) {
            decliningNodes.ran(node, lease.startNanos());
        }
        if (reason != ReleaseReason.COMPLETED && backlog.shared()) {
            directory
                    .find(lease.upstream())
                    .map(upstream -> itemTimes.tokensLeft(upstream.service(), lease.tokens(), ranFor(item, lease)))
                    .ifPresent(notRun -> itemOrder.charge(lease.workspace(), -notRun));
        }
        Optional<ItemProgress.PartialOutput> kept = keptEvents == 0
                ? Optional.empty()
                : Optional.of(new ItemProgress.PartialOutput(
                        node, directory.find(lease.upstream()).map(Upstream::version), ranFor(item, lease)));
        if (declined) {
            progress.declined(item);
        }
        progress.runUnreached(item, reason == ReleaseReason.UPSTREAM_UNREACHABLE);
        switch (reason) {
            case COMPLETED -> progress.runCompleted(item, node, options.resultTimeout());
            case ITEM_UNKNOWN, NODE_DECLINED -> progress.runInterrupted(item, kept, declinedItemDelay(lease));
            case CONTENT_UNREADABLE -> {
                decliningNodes.declined(node, lease.startNanos());
                progress.contentUnreadable(item);
                progress.runInterrupted(item, kept, options.itemRetryDelay());
            }
            case CANCELLED -> progress.runInterrupted(item, kept, Duration.ZERO);
            case ITEM_FAILED -> {
                progress.runFailed(item, node);
                progress.runInterrupted(item, kept, options.itemRetryDelay());
            }
            default -> progress.runInterrupted(item, kept, options.itemRetryDelay());
        }
    }

    /** Returns the time for which the runs that generated the partial output of an item held slots. */
    private Duration ranFor(ItemRef item, Lease lease) {
        Duration thisRun = Duration.ofNanos(ticker.nanos() - lease.startNanos());
        if (!lease.partialRun()) {
            return thisRun;
        }
        return progress.partialOutput(item)
                .map(ItemProgress.PartialOutput::ranFor)
                .orElse(Duration.ZERO)
                .plus(thisRun);
    }

    /**
     * Records a decline and returns the delay until the item is run again: none if another node may know its job. An
     * item declined by a node that was avoided already is delayed, so that it does not return there in a loop.
     */
    private Duration declinedItemDelay(Lease lease) {
        boolean unexpected = decliningNodes.declined(lease.node().name, lease.startNanos());
        boolean otherNodes = leases.nodes().stream().anyMatch(node -> !decliningNodes.avoided(node.name));
        return unexpected && otherNodes ? Duration.ZERO : options.itemRetryDelay();
    }

    private void recordHealth(Lease lease, ReleaseReason reason) {
        String upstream = lease.upstream();
        TrialHolder holder = new TrialHolder(lease.node().name, lease.number());
        Optional<Duration> ejection = Optional.empty();
        switch (reason) {
            case COMPLETED -> health.succeeded(upstream);
            case ANSWER_LOST, UPSTREAM_FAILED ->
                ejection = health.failed(upstream, holder, directory.openInSameService(upstream));
            case UPSTREAM_FULL -> {
                if (hasFreeSlot(upstream) && !limited(upstream)) {
                    ejection = health.failed(upstream, holder, directory.openInSameService(upstream));
                } else {
                    health.inconclusive(upstream, holder);
                }
            }
            case UPSTREAM_UNREACHABLE -> {
                ejection = health.unreachable(upstream);
                directory.find(upstream).map(Upstream::service).ifPresent(upstreamSearch::start);
            }
            case UPSTREAM_GONE -> ejection = Optional.of(health.ejectLeaving(upstream));
            default -> health.inconclusive(upstream, holder);
        }
        ejection.ifPresent(
                delay -> log.event(ServingEvent.UPSTREAM_EJECTED, "upstream", upstream, "cause", reason, "ms", delay));
    }

    private boolean limited(String id) {
        return directory
                .find(id)
                .map(directory::limit)
                .orElse(OptionalDouble.empty())
                .isPresent();
    }

    private boolean hasFreeSlot(String id) {
        return directory
                .find(id)
                .map(upstream -> leases.occupancy(id).total() < upstream.slots())
                .orElse(false);
    }

    /** Handles a report that an upstream has stopped responding while a request is in progress there. */
    public void suspected(String upstream) {
        if (health.suspected(upstream)) {
            return;
        }
        health.unreachable(upstream)
                .ifPresent(delay ->
                        log.event(ServingEvent.UPSTREAM_EJECTED, "upstream", upstream, "cause", "silent", "ms", delay));
    }

    /** Records that an item has a result. */
    public void resultRecorded(ItemRef item) {
        progress.resultRecorded(item);
        itemOrder.ended(item);
    }

    /** Preempts the running items of a cancelled job. */
    public void jobCancelled(String job) {
        itemOrder.changed();
        leases.activeItemLeases().stream()
                .filter(lease -> lease.item().orElseThrow().job().equals(job))
                .forEach(this::preempt);
    }

    /** Places waiting requests and items. Call it after changes and every few tens of milliseconds. */
    public void schedule() {
        markSlowUpstreams();
        upstreamSearch
                .toCheck(directory::open, health::provenLately, this::failed)
                .forEach(connectionCheck);
        placeWaitingRequests();
        if (nodeCount() == 0) {
            return;
        }
        if (mustStopItems.getAsBoolean()) {
            leases.activeItemLeases().forEach(this::preempt);
        } else if (mayStartItems.getAsBoolean()) {
            startItems();
        }
    }

    private void markSlowUpstreams() {
        long now = ticker.nanos();
        if (now - lastSlowCheckNanos < SLOW_CHECK_INTERVAL.toNanos()) {
            return;
        }
        lastSlowCheckNanos = now;
        for (String service : onlineHoldTimes.services()) {
            List<Upstream> open = directory.open(service);
            for (Upstream upstream : open) {
                if (slowUpstreams.mayMarkAnother(open)
                        && slowUpstreams.markIfSlow(
                                upstream,
                                leases.occupancy(upstream.id()).onlineLeases(),
                                onlineHoldTimes.meanSeconds(service))) {
                    log.event(
                            ServingEvent.UPSTREAM_SLOW,
                            "upstream",
                            upstream.id(),
                            "requests",
                            leases.occupancy(upstream.id()).onlineCount(),
                            "meanSeconds",
                            onlineHoldTimes.meanSeconds(service),
                            "ms",
                            SlowUpstreamDetector.AVOIDANCE_PERIOD);
                    List.copyOf(leases.occupancy(upstream.id()).itemLeases()).forEach(this::preempt);
                }
            }
        }
    }

    private void placeWaitingRequests() {
        if (waiting.isEmpty()) {
            return;
        }
        waiting.removeExpired()
                .forEach(request ->
                        reject(request, waiting.retryDelay(request.service(), slotsPerSecond(request.service()))));
        waiting.removeIf(request -> request.origin().isPresent() && !mayContinue(resolveOrigin(request)))
                .forEach(request -> rejectStartedStream(resolveOrigin(request)));
        waiting.place(service -> directory.open(service).stream().anyMatch(this::hasRoom), this::placeWaiting);
    }

    private boolean placeWaiting(SlotRequest request) {
        if (!tryPlace(resolveOrigin(request))) {
            return false;
        }
        if (request.origin().isPresent()) {
            resumptions.continued(request);
        }
        return true;
    }

    private void startItems() {
        movedSlots.expire();
        if (directory.all().stream().noneMatch(upstream -> itemCapacity(upstream) > 0)) {
            return;
        }
        Map<String, Integer> capacities = new HashMap<>();
        itemOrder.start(
                services -> services.stream()
                        .anyMatch(service -> capacities.computeIfAbsent(service, this::itemCapacity) > 0),
                item -> startOnAvailableService(item, capacities));
    }

    private boolean startable(BacklogItem item) {
        return !leases.hasLease(item.item()) && !movedSlots.holds(item.item()) && progress.startable(item.item());
    }

    private boolean startOnAvailableService(BacklogItem item, Map<String, Integer> capacities) {
        for (String service : item.services().keySet()) {
            int left = capacities.computeIfAbsent(service, this::itemCapacity);
            if (left > 0 && tryStart(item, service)) {
                capacities.put(service, left - 1);
                return true;
            }
        }
        return false;
    }

    /** Returns the number of further items that a service can run; online requests that wait for it come first. */
    private int itemCapacity(String service) {
        if (waiting.waitFor(service)) {
            return 0;
        }
        int free = 0;
        int slots = 0;
        int trials = 0;
        for (Upstream upstream : directory.open(service)) {
            if (mayTryWithItem(upstream)) {
                trials += Math.min(1, Math.max(0, itemCapacity(upstream)));
            } else if (mayRunItems(upstream)) {
                slots += upstream.slots();
                free += Math.max(0, itemCapacity(upstream));
            }
        }
        return Math.max(0, free - slots * options.reservePercent() / 100) + trials;
    }

    private int freeForItems(Upstream upstream) {
        return upstream.slots() - leases.occupancy(upstream.id()).total() - movedSlots.count(upstream.id());
    }

    /** Returns the number of further items that an upstream can run now. */
    private int itemCapacity(Upstream upstream) {
        return Math.min(freeForItems(upstream), rates.itemsThatMayStart(upstream));
    }

    private boolean mayRunItems(Upstream upstream) {
        return !health.suspected(upstream.id()) && !slowUpstreams.slow(upstream.id());
    }

    /**
     * Returns whether an item may be the trial of an ejected upstream. Online requests come first, as their results are
     * known sooner, but there may be none.
     */
    private boolean mayTryWithItem(Upstream upstream) {
        return health.itemTrialOverdue(upstream.id());
    }

    /**
     * Returns an ejected upstream of a service that an item has to try, else the one with the most free slots of those
     * that are most probably reachable; empty if none is free for the item. An item makes no second trial in a row
     * while another upstream is free.
     */
    private Optional<Upstream> freestForItems(String service, BacklogItem item, Predicate<Upstream> condition) {
        boolean unreached = progress.unreached(item.item());
        Upstream best = null;
        int bestFree = 0;
        int bestDoubt = Integer.MAX_VALUE;
        for (Upstream upstream : directory.open(service)) {
            boolean trial = mayTryWithItem(upstream);
            int free = freeForItems(upstream);
            if (free <= 0
                    || rates.itemsThatMayStart(upstream) <= 0
                    || !EngineMemory.fits(
                            memoryTokens.applyAsLong(service),
                            leases.occupancy(upstream.id()).tokens(),
                            item.tokens())
                    || !(trial || mayRunItems(upstream))
                    || !condition.test(upstream)) {
                continue;
            }
            if (trial && !unreached) {
                return Optional.of(upstream);
            }
            int doubt = doubt(upstream, trial, unreached);
            if (doubt < bestDoubt || doubt == bestDoubt && free > bestFree) {
                best = upstream;
                bestFree = free;
                bestDoubt = doubt;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns how doubtful it is that an upstream is reachable, 0 for the least.
     *
     * @param unreached whether another upstream has just been unreachable, so that this one may have been lost with it
     */
    private int doubt(Upstream upstream, boolean trial, boolean unreached) {
        if (trial) {
            return 3;
        }
        if (health.doubtful(upstream.id())) {
            return 2;
        }
        return unreached && !health.provenLately(upstream.id()) ? 1 : 0;
    }

    /** Starts an item, on the software version that generated its partial output if that has a free slot. */
    private boolean tryStart(BacklogItem item, String service) {
        Optional<Upstream> resumable = progress.partialOutput(item.item())
                .flatMap(ItemProgress.PartialOutput::version)
                .flatMap(version -> freestForItems(
                        service, item, upstream -> upstream.version().equals(version)));
        Optional<Upstream> freest = resumable.or(() -> freestForItems(service, item, upstream -> true));
        if (freest.isEmpty()) {
            return false;
        }
        Upstream best = freest.get();
        NodeState node = chooseNode(item, best.failureDomain());
        boolean resumed = resumable.isPresent();
        Lease lease = new Lease(
                node,
                itemLeases.next(number -> leases.find(node.name, number).isPresent()),
                best.id(),
                Optional.of(item.item()),
                ticker.nanos(),
                item.dueNanos(),
                item.tokens(),
                item.workspace(),
                item.priority(),
                resumed);
        leases.add(lease);
        if (backlog.shared()) {
            Duration ran = progress.partialOutput(item.item())
                    .map(ItemProgress.PartialOutput::ranFor)
                    .orElse(Duration.ZERO);
            itemOrder.charge(item.workspace(), itemTimes.tokensLeft(service, item.tokens(), ran));
        }
        health.itemSent(best.id(), new TrialHolder(node.name, lease.number()));
        rates.sent(best);
        decisions.run(node.name, lease.number(), best.id(), item.item());
        return true;
    }

    /**
     * Returns the node with the item's partial output, else the one on which its last run failed, as that counts the
     * failures even while the store does not respond, else the least loaded one, preferably in the failure domain or
     * the one that accepted the job. A node that declined items recently counts as loaded by many more. An item whose
     * content could not be read goes to the node that accepted its job, as that may have it in memory.
     */
    private NodeState chooseNode(BacklogItem item, String failureDomain) {
        Optional<NodeState> partialOutput =
                progress.partialOutput(item.item()).flatMap(output -> leases.node(output.node()));
        if (partialOutput.isPresent()) {
            return partialOutput.get();
        }
        Optional<NodeState> failedNode = progress.failedNode(item.item()).flatMap(leases::node);
        if (failedNode.isPresent()) {
            return failedNode.get();
        }
        Optional<NodeState> acceptedBy = leases.node(item.acceptedBy());
        if (acceptedBy.isPresent() && progress.unreadable(item.item())) {
            return acceptedBy.get();
        }
        return leases.nodes().stream()
                .min(Comparator.comparingDouble((NodeState node) -> node.itemLoad()
                                + (node.failureDomain.equals(failureDomain) ? 0 : REMOTE_ITEM_LOAD)
                                - (node.name.equals(item.acceptedBy()) ? CONTENT_KEPT_ITEM_LOAD : 0)
                                + decliningNodes.extraItemLoad(node.name))
                        .thenComparing(node -> node.name))
                .orElseThrow();
    }
}
