package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.slots.LeaseTable.Lease;
import dev.lavenderline.serving.slots.LeaseTable.NodeState;
import dev.lavenderline.serving.slots.LeaseTable.Occupancy;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Places online requests and batch items on the slots of engines.
 *
 * <p>Answers the load pattern in which online load swings between a third and twice its mean every few seconds while
 * batch items that run for seconds fill the rest: an online request takes a free slot, else the slot of an item, which
 * is cancelled and resumed later. When online requests alone fill the engines, a few queue there and the rest here, in
 * the order of their targets; a request that can't meet its target is rejected at once. When items come faster than
 * engines can run them, those that can still be done in time go before those that are late anyway.
 *
 * <p>Invariants: an item has at most one lease; an upstream never gets more online requests than its slots and a few. Not thread-safe; confined to the event loop.
 */
public final class SlotScheduler {
    /** Time for which an online request holds a slot, until some have been seen. */
    private static final double ONLINE_SECONDS = 0.7;

    /** Weights of a placement: a free slot goes before an item's slot, and that before a place in a queue. */
    private static final double FREE_SLOT = 200;

    private static final double SLOT_OF_ITEM = 100;
    private static final double QUEUED = 10;

    /** Weight of each slot that would stay free, which spreads requests over upstreams. */
    private static final double HEADROOM = 0.5;

    /** Weight of a short way: up to six slots more are taken in the node's own failure domain. */
    private static final double SAME_FAILURE_DOMAIN = 3;

    /** Weight of a shared part of the prompt that need not be read again, about 3 ms of an engine's time. */
    private static final double PREFIX_HELD = 2;

    /** Weight against an upstream that has its trial after an ejection. */
    private static final double SUSPECTED = 50;

    /** Weight against a slow upstream: the slot of an item elsewhere goes before a free slot there. */
    private static final double SLOW = 120;

    /** Time between two looks at the age of what is in progress. */
    private static final Duration SLOW_CHECK = Duration.ofMillis(100);

    /** Items for each unit of capacity that a distant node has to have less; the way costs bytes between regions. */
    private static final double DISTANT_ITEMS = 2;

    /** Late items that are looked at in one round; far more than slots become free in one. */
    private static final int MOST_LATE = 200;

    /** Time for which an item holds a slot, until some have been seen. */
    private static final double ITEM_SECONDS = 4;

    private final Ticker ticker;
    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Backlog backlog;
    private final SlotOutput output;
    private final EventLog log;
    private final DoubleSupplier random;
    private final Options options;

    private final LeaseTable leases = new LeaseTable();
    private final ItemProgress progress;
    private final List<Waiting> waiting = new ArrayList<>();
    private final HoldEstimate holds = new HoldEstimate(ONLINE_SECONDS);
    private final HoldEstimate itemHolds = new HoldEstimate(ITEM_SECONDS);
    private final PrefixPlaces prefixes = new PrefixPlaces();
    private final SlowUpstreams slowUpstreams;
    private long slowCheckNanos;
    private BooleanSupplier startItems = () -> true;
    private BooleanSupplier stopItems = () -> false;
    private long activeSinceNanos;
    private long nextItemLease;

    /**
     * Limits of the scheduler.
     *
     * @param queuedPerUpstream online requests beyond its slots that an upstream may have; they use a slot that becomes
     *     free without a round trip through the scheduler
     * @param reservePercent share of the slots of a service that items leave free for the next online requests
     * @param firstEvent time from a slot to the first event
     * @param itemRetry time until an item that failed is run again
     * @param settleLimit time for which a finished item without a result in the ledger is not run again
     * @param comeBack shortest time after which a rejected caller may come back
     * @param comeBackSpread time over which rejected callers are spread, so that they do not return together
     */
    public record Options(
            int queuedPerUpstream,
            int reservePercent,
            Duration firstEvent,
            Duration itemRetry,
            Duration settleLimit,
            Duration comeBack,
            Duration comeBackSpread) {
        /** Returns the values that the measured rounds led to (docs/measurements.md). */
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

    private record Waiting(SlotRequest request, long targetNanos, long deadlineNanos) {}

    public SlotScheduler(
            Ticker ticker,
            UpstreamDirectory directory,
            UpstreamHealth health,
            Backlog backlog,
            SlotOutput output,
            EventLog log,
            DoubleSupplier random,
            Options options) {
        this.ticker = ticker;
        this.directory = directory;
        this.health = health;
        this.backlog = backlog;
        this.output = output;
        this.log = log;
        this.random = random;
        this.options = options;
        this.progress = new ItemProgress(ticker);
        this.slowUpstreams = new SlowUpstreams(ticker);
        this.slowCheckNanos = ticker.nanos();
        // Leases of items that another scheduler gave out before must not collide with those of this one.
        this.nextItemLease = (1L << 62) | (ticker.nanos() & 0x0fff_ffff_ffff_ffffL);
    }

    /** Sets a condition for starting items. */
    void startItemsWhile(BooleanSupplier condition) {
        startItems = condition;
    }

    /** Sets a condition in which running items are cancelled. */
    void stopItemsWhile(BooleanSupplier condition) {
        stopItems = condition;
    }

    /** Returns the time since the first of the nodes that use this scheduler joined. */
    Duration activeFor() {
        return Duration.ofNanos(ticker.nanos() - activeSinceNanos);
    }

    /** A node uses this scheduler; replaces everything that was known of it. */
    public void joined(String name, String failureDomain, double capacity, List<Holding> holdings) {
        left(name);
        if (nodeCount() == 0) {
            activeSinceNanos = ticker.nanos();
        }
        NodeState node = leases.join(name, failureDomain, capacity);
        for (Holding holding : holdings) {
            leases.add(new Lease(
                    node, holding.lease(), holding.upstream(), holding.item(), ticker.nanos(), Long.MAX_VALUE, true));
        }
    }

    /** A node does not use this scheduler any more or is gone. */
    public void left(String name) {
        if (leases.leave(name)) {
            waiting.removeIf(some -> some.request().node().equals(name));
            progress.nodeLeft(name);
        }
    }

    /** Returns the number of nodes that use this scheduler. */
    public int nodeCount() {
        return leases.nodes().size();
    }

    /** Returns the number of online requests that wait for a slot. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Handles a request of a node that has joined. */
    public void acquire(SlotRequest request) {
        if (leases.node(request.node()).isEmpty()) {
            output.rejected(request.node(), request.lease(), options.comeBack());
            return;
        }
        if (place(request)) {
            return;
        }
        Duration wait = expectedWait(request.service());
        Duration allowed = request.returning()
                ? request.deadlineLeft()
                : request.targetLeft().minus(options.firstEvent());
        if (wait.compareTo(allowed) > 0) {
            output.rejected(request.node(), request.lease(), retryAfter(wait));
            return;
        }
        long now = ticker.nanos();
        waiting.add(new Waiting(
                request,
                now + request.targetLeft().toNanos(),
                now + request.deadlineLeft().toNanos()));
    }

    private Duration retryAfter(Duration wait) {
        long spread = (long) (options.comeBackSpread().toMillis() * random.getAsDouble());
        Duration earliest = wait.compareTo(options.comeBack()) > 0 ? wait : options.comeBack();
        return earliest.plusMillis(spread);
    }

    /** Returns the time until a request that arrives now gets a slot if it waits behind the others. */
    private Duration expectedWait(String service) {
        int occupied = 0;
        for (Upstream upstream : directory.open(service)) {
            if (health.usable(upstream.id())) {
                occupied += Math.min(upstream.slots(), leases.on(upstream.id()).total());
            }
        }
        if (occupied == 0) {
            return Duration.ofDays(1);
        }
        long ahead = waiting.stream()
                .filter(some -> some.request().service().equals(service))
                .count();
        double seconds = (ahead + 1) * holds.seconds(service) / occupied;
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private boolean place(SlotRequest request) {
        NodeState node = leases.node(request.node()).orElseThrow();
        Upstream best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (Upstream upstream : directory.open(request.service())) {
            if (!hasRoom(upstream, request)) {
                continue;
            }
            double score = score(upstream, node, request);
            if (score > bestScore) {
                best = upstream;
                bestScore = score;
            }
        }
        if (best == null) {
            return false;
        }
        if (leases.on(best.id()).total() >= best.slots()) {
            victim(best.id()).ifPresent(this::preempt);
        }
        grant(request, node, best);
        return true;
    }

    private boolean hasRoom(Upstream upstream, SlotRequest request) {
        if (request.excluded().contains(upstream.id()) || !health.usable(upstream.id())) {
            return false;
        }
        int queued = health.suspected(upstream.id()) ? 0 : options.queuedPerUpstream();
        return leases.on(upstream.id()).online() < upstream.slots() + queued;
    }

    /** Prefers a free slot, then the slot of an item, then a place in the upstream's queue. */
    private double score(Upstream upstream, NodeState node, SlotRequest request) {
        Occupancy occupancy = leases.on(upstream.id());
        int free = upstream.slots() - occupancy.total();
        int withoutItems = upstream.slots() - occupancy.online();
        double score;
        if (free > 0) {
            score = FREE_SLOT + HEADROOM * free;
        } else if (withoutItems > 0) {
            score = SLOT_OF_ITEM + HEADROOM * withoutItems;
        } else {
            score = QUEUED * withoutItems;
        }
        if (upstream.failureDomain().equals(node.failureDomain)) {
            score += SAME_FAILURE_DOMAIN;
        }
        if (request.prefix() != 0 && prefixes.holds(request.prefix(), upstream.id())) {
            score += PREFIX_HELD;
        }
        if (slowUpstreams.slow(upstream.id())) {
            score -= SLOW;
        }
        return health.suspected(upstream.id()) ? score - SUSPECTED : score;
    }

    private void grant(SlotRequest request, NodeState node, Upstream upstream) {
        leases.add(new Lease(
                node, request.lease(), upstream.id(), Optional.empty(), ticker.nanos(), Long.MAX_VALUE, false));
        health.sent(upstream.id());
        if (request.prefix() != 0) {
            prefixes.record(request.prefix(), upstream.id());
        }
        output.granted(node.name, request.lease(), upstream.id());
    }

    /** Chooses an item that is late already, else the one that is due last. */
    private Optional<Lease> victim(String upstream) {
        long now = ticker.nanos();
        return leases.on(upstream).items().stream()
                .max(Comparator.comparing((Lease lease) -> lease.dueNanos() - now < 0)
                        .thenComparingLong(Lease::dueNanos)
                        .thenComparingLong(Lease::startNanos));
    }

    private void preempt(Lease lease) {
        leases.preempted(lease);
        output.preempt(lease.node().name, lease.number());
    }

    /**
     * A node gives a slot back or withdraws a request that waits.
     *
     * @param keptEvents events of an item that the node keeps, so that it should continue there
     */
    public void released(String nodeName, long number, LeaseEnd end, int keptEvents) {
        waiting.removeIf(some ->
                some.request().lease() == number && some.request().node().equals(nodeName));
        Optional<Lease> found = leases.find(nodeName, number);
        if (found.isEmpty()) {
            return;
        }
        Lease lease = found.get();
        leases.drop(lease);
        recordHealth(lease, end);
        recordHold(lease, end);
        lease.item().ifPresent(item -> itemReleased(item, nodeName, end, keptEvents));
        schedule();
    }

    private void recordHold(Lease lease, LeaseEnd end) {
        if (end != LeaseEnd.COMPLETED || lease.continued() || slowUpstreams.slow(lease.upstream())) {
            return;
        }
        HoldEstimate estimate = lease.item().isPresent() ? itemHolds : holds;
        directory
                .find(lease.upstream())
                .ifPresent(upstream -> estimate.record(upstream.service(), ticker.nanos() - lease.startNanos()));
    }

    private void itemReleased(ItemRef item, String node, LeaseEnd end, int keptEvents) {
        switch (end) {
            case COMPLETED -> progress.finished(item, node, options.settleLimit());
            case CANCELLED, NODE_DECLINED -> progress.stopped(item, node, keptEvents, Duration.ZERO);
            default -> progress.stopped(item, node, keptEvents, options.itemRetry());
        }
    }

    private void recordHealth(Lease lease, LeaseEnd end) {
        String upstream = lease.upstream();
        Optional<Duration> ejection = Optional.empty();
        switch (end) {
            case COMPLETED -> health.succeeded(upstream);
            case ANSWER_LOST, UPSTREAM_FAILED -> ejection = health.failed(upstream, directory.serviceOf(upstream));
            case UPSTREAM_FULL -> {
                if (hasFreeSlot(upstream)) {
                    ejection = health.failed(upstream, directory.serviceOf(upstream));
                } else {
                    health.unknown(upstream);
                }
            }
            case UPSTREAM_UNREACHABLE -> ejection = health.unreachable(upstream);
            case UPSTREAM_GONE -> ejection = Optional.of(health.leaving(upstream));
            default -> health.unknown(upstream);
        }
        ejection.ifPresent(
                delay -> log.event(ServingEvent.UPSTREAM_EJECTED, "upstream", upstream, "cause", end, "ms", delay));
    }

    private boolean hasFreeSlot(String id) {
        return directory
                .find(id)
                .map(upstream -> leases.on(id).total() < upstream.slots())
                .orElse(false);
    }

    /** A node reports that an upstream is silent while a request is still open there. */
    public void suspected(String upstream) {
        if (health.suspected(upstream)) {
            return;
        }
        health.unreachable(upstream)
                .ifPresent(delay ->
                        log.event(ServingEvent.UPSTREAM_EJECTED, "upstream", upstream, "cause", "silent", "ms", delay));
    }

    /** An item has a result. */
    public void settled(ItemRef item) {
        progress.settled(item);
    }

    /** Stops the runs of a job that has ended. */
    public void jobEnded(String job) {
        leases.items().stream()
                .filter(lease -> lease.item().orElseThrow().job().equals(job))
                .forEach(this::preempt);
    }

    /** Serves what waits. Call it after changes and every few tens of milliseconds. */
    public void schedule() {
        findSlowUpstreams();
        serveWaiting();
        if (nodeCount() == 0) {
            return;
        }
        if (stopItems.getAsBoolean()) {
            leases.items().forEach(this::preempt);
        } else if (waiting.isEmpty() && startItems.getAsBoolean()) {
            runItems();
        }
    }

    private void findSlowUpstreams() {
        long now = ticker.nanos();
        if (now - slowCheckNanos < SLOW_CHECK.toNanos()) {
            return;
        }
        slowCheckNanos = now;
        for (String service : holds.services()) {
            List<Upstream> open = directory.open(service);
            for (Upstream upstream : open) {
                if (slowUpstreams.halfRemains(open)
                        && slowUpstreams.check(
                                upstream, leases.on(upstream.id()).onlineLeases(), holds.seconds(service))) {
                    log.event(
                            ServingEvent.UPSTREAM_SLOW,
                            "upstream",
                            upstream.id(),
                            "requests",
                            leases.on(upstream.id()).online(),
                            "meanSeconds",
                            holds.seconds(service),
                            "ms",
                            SlowUpstreams.AVOIDED);
                    List.copyOf(leases.on(upstream.id()).items()).forEach(this::preempt);
                }
            }
        }
    }

    private void serveWaiting() {
        if (waiting.isEmpty()) {
            return;
        }
        long now = ticker.nanos();
        List<Waiting> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparing((Waiting some) -> some.targetNanos() - now < 0)
                .thenComparingLong(Waiting::targetNanos));
        for (Waiting some : order) {
            if (some.deadlineNanos() - now <= 0) {
                waiting.remove(some);
                output.rejected(some.request().node(), some.request().lease(), options.comeBack());
            } else if (place(some.request())) {
                waiting.remove(some);
            }
        }
    }

    private void runItems() {
        Map<String, Integer> room = new HashMap<>();
        List<BacklogItem> late = new ArrayList<>();
        backlog.visit(item -> {
            if (leases.runs(item.item()) || !progress.startable(item.item())) {
                return true;
            }
            if (late(item)) {
                late.add(item);
                return late.size() < MOST_LATE;
            }
            startWhereRoomIs(item, room);
            return room.values().stream().anyMatch(left -> left > 0);
        });
        late.forEach(item -> startWhereRoomIs(item, room));
    }

    /** Returns whether an item can't be done in time; one that has text already needs less than a whole run. */
    private boolean late(BacklogItem item) {
        long left = item.dueNanos() - ticker.nanos();
        if (progress.keeper(item.item()).isPresent()) {
            return left < 0;
        }
        double needed = item.services().keySet().stream()
                .mapToDouble(itemHolds::seconds)
                .min()
                .orElse(0);
        return left < needed * 1e9;
    }

    private void startWhereRoomIs(BacklogItem item, Map<String, Integer> room) {
        for (String service : item.services().keySet()) {
            int left = room.computeIfAbsent(service, this::itemRoom);
            if (left > 0 && start(item, service)) {
                room.put(service, left - 1);
                return;
            }
        }
    }

    /** Returns how many items a service can take beside those that run. */
    private int itemRoom(String service) {
        int free = 0;
        int slots = 0;
        for (Upstream upstream : directory.open(service)) {
            if (takesItems(upstream)) {
                slots += upstream.slots();
                free += Math.max(0, upstream.slots() - leases.on(upstream.id()).total());
            }
        }
        return free - slots * options.reservePercent() / 100;
    }

    private boolean takesItems(Upstream upstream) {
        return health.usable(upstream.id()) && !health.suspected(upstream.id()) && !slowUpstreams.slow(upstream.id());
    }

    private boolean start(BacklogItem item, String service) {
        Upstream best = null;
        int bestFree = 0;
        for (Upstream upstream : directory.open(service)) {
            int free = upstream.slots() - leases.on(upstream.id()).total();
            if (free > bestFree && takesItems(upstream)) {
                best = upstream;
                bestFree = free;
            }
        }
        if (best == null) {
            return false;
        }
        NodeState node = executor(item.item(), best.failureDomain());
        boolean continued = progress.keeper(item.item()).isPresent();
        Lease lease = new Lease(
                node, nextItemLease++, best.id(), Optional.of(item.item()), ticker.nanos(), item.dueNanos(), continued);
        leases.add(lease);
        output.run(node.name, lease.number(), best.id(), item.item());
        return true;
    }

    /** Chooses the node that has the item's text, else the least loaded one, near the upstream if loads are alike. */
    private NodeState executor(ItemRef item, String failureDomain) {
        return progress.keeper(item)
                .flatMap(leases::node)
                .orElseGet(() -> leases.nodes().stream()
                        .min(Comparator.comparingDouble((NodeState node) -> node.itemLoad()
                                        + (node.failureDomain.equals(failureDomain) ? 0 : DISTANT_ITEMS))
                                .thenComparing(node -> node.name))
                        .orElseThrow());
    }
}
