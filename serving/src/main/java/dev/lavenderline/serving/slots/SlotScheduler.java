package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Places online requests and batch items on the slots of engines.
 *
 * <p>Answers the load pattern in which online load swings between a third and twice its mean every few seconds while
 * batch items that run for seconds fill the rest: an online request takes a free slot, else the slot of an item, which
 * is cancelled and resumed later. When online requests alone fill the engines, a few queue there and the rest here, in
 * the order of their targets; a request that can't meet its target is rejected at once.
 *
 * <p>Invariants: a lease is on one upstream; an item has at most one lease; preempted leases do not count as occupied.
 * Not thread-safe; confined to the event loop.
 */
public final class SlotScheduler {
    private final Ticker ticker;
    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Backlog backlog;
    private final SlotOutput output;
    private final EventLog log;
    private final DoubleSupplier random;
    private final Options options;

    private final Map<String, NodeState> nodes = new HashMap<>();
    private final Map<String, Occupancy> occupancies = new HashMap<>();
    private final Map<ItemRef, Lease> running = new HashMap<>();
    private final Map<ItemRef, Settling> settling = new HashMap<>();
    private final Map<ItemRef, Long> notBefore = new HashMap<>();
    private final Map<ItemRef, String> parked = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final HoldEstimate holds;
    private final PrefixPlaces prefixes = new PrefixPlaces();
    private BooleanSupplier itemsAllowed = () -> true;
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

    private static final class NodeState {
        final String name;
        String failureDomain;
        double capacity;
        final Map<Long, Lease> leases = new HashMap<>();
        int items;

        NodeState(String name) {
            this.name = name;
        }

        double itemLoad() {
            return items / capacity;
        }
    }

    private static final class Lease {
        final NodeState node;
        final long number;
        final String upstream;
        final Optional<ItemRef> item;
        final long startNanos;
        final long dueNanos;
        boolean preempted;

        Lease(NodeState node, long number, String upstream, Optional<ItemRef> item, long startNanos, long dueNanos) {
            this.node = node;
            this.number = number;
            this.upstream = upstream;
            this.item = item;
            this.startNanos = startNanos;
            this.dueNanos = dueNanos;
        }
    }

    private static final class Occupancy {
        int online;
        final Set<Lease> items = new HashSet<>();

        int total() {
            return online + items.size();
        }
    }

    private record Waiting(SlotRequest request, long sinceNanos, long targetNanos, long deadlineNanos) {}

    private record Settling(String node, long untilNanos) {}

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
        this.holds = new HoldEstimate();
        // Leases of items that another scheduler gave out before must not collide with those of this one.
        this.nextItemLease = (1L << 62) | (ticker.nanos() & 0x0fff_ffff_ffff_ffffL);
    }

    /** Sets a condition for running items; while it does not hold, running items are cancelled. */
    void runItemsWhile(BooleanSupplier condition) {
        itemsAllowed = condition;
    }

    /** A node uses this scheduler; replaces everything that was known of it. */
    public void joined(String name, String failureDomain, double capacity, List<Holding> holdings) {
        left(name);
        NodeState node = new NodeState(name);
        node.failureDomain = failureDomain;
        node.capacity = Math.max(0.01, capacity);
        nodes.put(name, node);
        for (Holding holding : holdings) {
            add(new Lease(node, holding.lease(), holding.upstream(), holding.item(), ticker.nanos(), Long.MAX_VALUE));
        }
    }

    /** A node does not use this scheduler any more or is gone. */
    public void left(String name) {
        NodeState node = nodes.remove(name);
        if (node == null) {
            return;
        }
        waiting.removeIf(some -> some.request().node().equals(name));
        for (Lease lease : List.copyOf(node.leases.values())) {
            drop(lease);
        }
        settling.values().removeIf(some -> some.node().equals(name));
        parked.values().removeIf(name::equals);
    }

    /** Returns whether a node uses this scheduler. */
    public boolean knows(String node) {
        return nodes.containsKey(node);
    }

    /** Returns the number of nodes that use this scheduler. */
    public int nodeCount() {
        return nodes.size();
    }

    /** Returns the number of online requests that wait for a slot. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns the number of items that run. */
    public int runningItems() {
        return running.size();
    }

    /** Handles a request of a node that has joined. */
    public void acquire(SlotRequest request) {
        if (!nodes.containsKey(request.node())) {
            output.rejected(request.node(), request.lease(), options.comeBack());
            return;
        }
        if (place(request)) {
            return;
        }
        long now = ticker.nanos();
        Duration wait = expectedWait(request.service());
        Duration allowed = request.returning()
                ? request.deadlineLeft()
                : request.targetLeft().minus(options.firstEvent());
        if (wait.compareTo(allowed) > 0) {
            output.rejected(request.node(), request.lease(), retryAfter(wait));
            return;
        }
        waiting.add(new Waiting(
                request,
                now,
                now + request.targetLeft().toNanos(),
                now + request.deadlineLeft().toNanos()));
    }

    private Duration retryAfter(Duration wait) {
        long spread = (long) (options.comeBackSpread().toMillis() * random.getAsDouble());
        Duration earliest = wait.compareTo(options.comeBack()) > 0 ? wait : options.comeBack();
        return earliest.plusMillis(spread);
    }

    /** Returns the time until a request that arrives now gets a slot if it waits behind the others. */
    Duration expectedWait(String service) {
        int occupied = 0;
        for (Upstream upstream : directory.open(service)) {
            if (health.usable(upstream.id())) {
                occupied += Math.min(upstream.slots(), occupancy(upstream.id()).total());
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
        NodeState node = nodes.get(request.node());
        Upstream best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (Upstream upstream : directory.open(request.service())) {
            if (!candidate(upstream, request)) {
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
        int free = best.slots() - occupancy(best.id()).total();
        if (free <= 0) {
            victim(best.id()).ifPresent(this::preempt);
        }
        grant(request, node, best);
        return true;
    }

    private boolean candidate(Upstream upstream, SlotRequest request) {
        if (request.excluded().contains(upstream.id()) || !health.usable(upstream.id())) {
            return false;
        }
        Occupancy occupancy = occupancy(upstream.id());
        int room = upstream.slots() + options.queuedPerUpstream() - occupancy.online;
        if (health.suspected(upstream.id())) {
            return occupancy.online < upstream.slots();
        }
        return room > 0;
    }

    /** Prefers a free slot, then the slot of an item, then a place in the upstream's queue. */
    private double score(Upstream upstream, NodeState node, SlotRequest request) {
        Occupancy occupancy = occupancy(upstream.id());
        double score = 0;
        int free = upstream.slots() - occupancy.total();
        if (free > 0) {
            score = 200 + 0.5 * free;
        } else if (occupancy.online < upstream.slots()) {
            score = 100 + 0.5 * (upstream.slots() - occupancy.online);
        } else {
            score = -10.0 * (occupancy.online - upstream.slots());
        }
        if (upstream.failureDomain().equals(node.failureDomain)) {
            score += 3;
        }
        if (request.prefix() != 0 && prefixes.holds(request.prefix(), upstream.id())) {
            score += 2;
        }
        return health.suspected(upstream.id()) ? score - 50 : score;
    }

    private void grant(SlotRequest request, NodeState node, Upstream upstream) {
        add(new Lease(node, request.lease(), upstream.id(), Optional.empty(), ticker.nanos(), Long.MAX_VALUE));
        health.sent(upstream.id());
        if (request.prefix() != 0) {
            prefixes.record(request.prefix(), upstream.id());
        }
        output.granted(node.name, request.lease(), upstream.id());
    }

    private Optional<Lease> victim(String upstream) {
        return occupancy(upstream).items.stream()
                .max(Comparator.comparingLong((Lease lease) -> lease.dueNanos)
                        .thenComparingLong(lease -> lease.startNanos));
    }

    private void preempt(Lease lease) {
        lease.preempted = true;
        occupancy(lease.upstream).items.remove(lease);
        output.preempt(lease.node.name, lease.number);
    }

    private void add(Lease lease) {
        Lease before = lease.node.leases.put(lease.number, lease);
        if (before != null) {
            detach(before);
        }
        if (lease.item.isPresent()) {
            occupancy(lease.upstream).items.add(lease);
            running.put(lease.item.get(), lease);
            lease.node.items++;
        } else {
            occupancy(lease.upstream).online++;
        }
    }

    private void drop(Lease lease) {
        lease.node.leases.remove(lease.number);
        detach(lease);
    }

    private void detach(Lease lease) {
        if (lease.item.isEmpty()) {
            occupancy(lease.upstream).online--;
            return;
        }
        occupancy(lease.upstream).items.remove(lease);
        running.remove(lease.item.get(), lease);
        lease.node.items--;
    }

    private Occupancy occupancy(String upstream) {
        return occupancies.computeIfAbsent(upstream, id -> new Occupancy());
    }

    /**
     * A node gives a slot back or withdraws a request that waits.
     *
     * @param keptEvents events of an item that the node keeps, so that it should continue there
     */
    public void released(String nodeName, long number, LeaseEnd end, int keptEvents) {
        waiting.removeIf(some ->
                some.request().lease() == number && some.request().node().equals(nodeName));
        NodeState node = nodes.get(nodeName);
        Lease lease = node == null ? null : node.leases.get(number);
        if (lease == null) {
            return;
        }
        drop(lease);
        recordHealth(lease.upstream, end);
        if (lease.item.isPresent()) {
            itemReleased(lease.item.get(), nodeName, end, keptEvents);
        } else if (end == LeaseEnd.COMPLETED) {
            directory
                    .find(lease.upstream)
                    .ifPresent(upstream -> holds.record(upstream.service(), ticker.nanos() - lease.startNanos));
        }
        schedule();
    }

    private void itemReleased(ItemRef item, String node, LeaseEnd end, int keptEvents) {
        long now = ticker.nanos();
        if (keptEvents > 0) {
            parked.put(item, node);
        } else {
            parked.remove(item);
        }
        switch (end) {
            case COMPLETED ->
                settling.put(
                        item, new Settling(node, now + options.settleLimit().toNanos()));
            case CANCELLED, NODE_DECLINED -> notBefore.remove(item);
            default -> notBefore.put(item, now + options.itemRetry().toNanos());
        }
    }

    private void recordHealth(String upstream, LeaseEnd end) {
        Optional<Duration> ejection = Optional.empty();
        switch (end) {
            case COMPLETED -> health.succeeded(upstream);
            case ANSWER_LOST -> ejection = health.answerLost(upstream);
            case UPSTREAM_UNREACHABLE, UPSTREAM_GONE -> ejection = Optional.of(health.unreachable(upstream));
            default -> health.unknown(upstream);
        }
        ejection.ifPresent(
                delay -> log.event(ServingEvent.UPSTREAM_EJECTED, "upstream", upstream, "cause", end, "ms", delay));
    }

    /** A node reports that an upstream is silent while a request is still open there. */
    public void suspected(String upstream) {
        Duration delay = health.unreachable(upstream);
        log.event(ServingEvent.UPSTREAM_EJECTED, "upstream", upstream, "cause", "silent", "ms", delay);
    }

    /** An item has a result; nothing more has to be known of it. */
    public void settled(ItemRef item) {
        settling.remove(item);
        notBefore.remove(item);
        parked.remove(item);
    }

    /** Stops the runs of a job that has ended. */
    public void jobEnded(String job) {
        for (Lease lease : List.copyOf(running.values())) {
            if (lease.item.get().job().equals(job) && !lease.preempted) {
                preempt(lease);
            }
        }
    }

    /** Serves what waits. Call it after changes and every few tens of milliseconds. */
    public void schedule() {
        serveWaiting();
        if (!itemsAllowed.getAsBoolean()) {
            List.copyOf(running.values()).stream()
                    .filter(lease -> !lease.preempted)
                    .forEach(this::preempt);
            return;
        }
        if (waiting.isEmpty()) {
            runItems();
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
        if (nodes.isEmpty()) {
            return;
        }
        Map<String, Integer> room = new HashMap<>();
        long now = ticker.nanos();
        settling.values().removeIf(some -> now - some.untilNanos() > 0);
        backlog.visit(item -> {
            if (running.containsKey(item.item()) || settling.containsKey(item.item())) {
                return true;
            }
            Long earliest = notBefore.get(item.item());
            if (earliest != null && now - earliest < 0) {
                return true;
            }
            for (String service : item.services().keySet()) {
                int left = room.computeIfAbsent(service, this::itemRoom);
                if (left > 0 && start(item, service)) {
                    room.put(service, left - 1);
                    return true;
                }
            }
            return room.values().stream().anyMatch(left -> left > 0);
        });
    }

    /** Returns how many items a service can take beside those that run. */
    private int itemRoom(String service) {
        int free = 0;
        int slots = 0;
        for (Upstream upstream : directory.open(service)) {
            if (health.usable(upstream.id()) && !health.suspected(upstream.id())) {
                slots += upstream.slots();
                free += Math.max(0, upstream.slots() - occupancy(upstream.id()).total());
            }
        }
        return free - slots * options.reservePercent() / 100;
    }

    private boolean start(BacklogItem item, String service) {
        Upstream best = null;
        int bestFree = 0;
        for (Upstream upstream : directory.open(service)) {
            int free = upstream.slots() - occupancy(upstream.id()).total();
            if (free > bestFree && health.usable(upstream.id()) && !health.suspected(upstream.id())) {
                best = upstream;
                bestFree = free;
            }
        }
        if (best == null) {
            return false;
        }
        NodeState node = executor(item.item(), best.failureDomain());
        long number = nextItemLease++;
        add(new Lease(node, number, best.id(), Optional.of(item.item()), ticker.nanos(), item.dueNanos()));
        output.run(node.name, number, best.id(), item.item());
        return true;
    }

    /** Chooses the node that has the item's text, else the least loaded one, near the upstream if loads are alike. */
    private NodeState executor(ItemRef item, String failureDomain) {
        NodeState keeper = nodes.get(parked.getOrDefault(item, ""));
        if (keeper != null) {
            return keeper;
        }
        return nodes.values().stream()
                .min(Comparator.comparingDouble((NodeState node) ->
                                node.itemLoad() + (node.failureDomain.equals(failureDomain) ? 0 : 2))
                        .thenComparing(node -> node.name))
                .orElseThrow();
    }
}
