package dev.lavenderline.emulator;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.slots.Backlog;
import dev.lavenderline.serving.slots.BacklogItem;
import dev.lavenderline.serving.slots.Holding;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.LocalPlacement;
import dev.lavenderline.serving.slots.ReleaseReason;
import dev.lavenderline.serving.slots.SlotDecisionListener;
import dev.lavenderline.serving.slots.SlotRequest;
import dev.lavenderline.serving.slots.SlotScheduler;
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
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Nodes, their scheduler and the engines under virtual time. The decisions are those of the product's classes; this
 * class only delivers them with the latency of the network. While no scheduler responds, nodes place requests locally,
 * as the product does.
 *
 * <p>Not thread-safe.
 */
final class Fleet implements SlotDecisionListener {
    static final String SERVICE = "engines";

    /** Interval at which a node calls its scheduler without a change. */
    private static final double SCHEDULE_MILLIS = 20;

    /** Time until the removal of a lost engine is known. */
    private static final double REMOVAL_MILLIS = 1000;

    private final VirtualTime time;
    private final LoadPattern pattern;
    private final SlotScheduler.Options options;
    private final UpstreamDirectory directory;
    private final UpstreamHealth health;
    private final Map<String, Engine> engines = new HashMap<>();
    private final Map<String, LocalPlacement> placements = new HashMap<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final Map<Long, SlotWaiter> waiters = new HashMap<>();
    private final TreeSet<BacklogItem> backlog = new TreeSet<>(Comparator.comparingLong(BacklogItem::dueNanos)
            .thenComparing(item -> item.item().job())
            .thenComparingInt(item -> item.item().index()));
    private final List<Double> engineSpeeds;
    private ItemStarter items = (lease, upstream, item) -> {};
    private ItemStopper stopper = lease -> {};
    private Optional<SlotScheduler> scheduler = Optional.empty();
    private final SplittableRandom retryRandom = new SplittableRandom(0);
    private long nextLease;
    private int nextEngine;

    private record Grant(
            String node, String upstream, Optional<ItemRef> item, Optional<LocalPlacement.Placed> placedLocally) {}

    /** Receives the decision on an online request. */
    interface SlotWaiter {
        void granted(String upstream);

        void rejected(Duration retryAfter);
    }

    /** Starts a batch item on its node. */
    @FunctionalInterface
    interface ItemStarter {
        void run(long lease, String upstream, ItemRef item);
    }

    /** Preempts a batch item on its node. */
    @FunctionalInterface
    interface ItemStopper {
        void preempt(long lease);
    }

    Fleet(VirtualTime time, LoadPattern pattern, SlotScheduler.Options options, List<Double> engineSpeeds) {
        this.time = time;
        this.pattern = pattern;
        this.options = options;
        this.engineSpeeds = engineSpeeds;
        this.directory = new UpstreamDirectory(time);
        this.health = new UpstreamHealth(time);
        directory.recordStoreResponse();
        for (int i = 0; i < pattern.engines().count(); i++) {
            addEngine();
        }
        startScheduler();
        time.after(SCHEDULE_MILLIS, this::schedulePeriodically);
    }

    void onItems(ItemStarter starter, ItemStopper preemptor) {
        items = starter;
        stopper = preemptor;
    }

    private void addEngine() {
        String id = "engine-" + nextEngine;
        Engine engine = new Engine(time, pattern.engines(), engineSpeeds.get(nextEngine % engineSpeeds.size()));
        engines.put(id, engine);
        String domain = domain(nextEngine);
        nextEngine++;
        directory.put(new Upstream(
                id, SERVICE, "10.0.0.1", 80, domain, pattern.engines().slots(), false, "1"));
    }

    private String domain(int number) {
        return "domain-" + number % pattern.failureDomains();
    }

    private static String nodeName(int node) {
        return "node-" + node;
    }

    private void startScheduler() {
        SlotScheduler started = new SlotScheduler(
                time, directory, health, new SharedBacklog(), this, EventLog.NONE, retryRandom::nextDouble, options);
        for (int node = 0; node < pattern.nodes(); node++) {
            List<Holding> holdings = new ArrayList<>();
            String name = nodeName(node);
            grants.forEach((lease, grant) -> {
                if (grant.node().equals(name) && grant.placedLocally().isEmpty()) {
                    holdings.add(new Holding(lease, grant.upstream(), grant.item()));
                }
            });
            started.joined(name, domain(node), 1, holdings);
        }
        scheduler = Optional.of(started);
    }

    private void schedulePeriodically() {
        scheduler.ifPresent(SlotScheduler::schedule);
        time.after(SCHEDULE_MILLIS, this::schedulePeriodically);
    }

    private final class SharedBacklog implements Backlog {
        @Override
        public void visit(Predicate<BacklogItem> visitor) {
            for (BacklogItem item : List.copyOf(backlog)) {
                if (!visitor.test(item)) {
                    return;
                }
            }
        }

        @Override
        public boolean shared() {
            return !pattern.workspaces().isEmpty();
        }
    }

    /** Applies a fault now. */
    void fail(LoadPattern.Fault fault) {
        switch (fault.kind()) {
            case SCHEDULER_LOST -> {
                scheduler = Optional.empty();
                List<Long> unanswered = List.copyOf(waiters.keySet());
                time.after(fault.forSeconds() * 1000, this::startScheduler);
                unanswered.forEach(lease -> Optional.ofNullable(waiters.remove(lease))
                        .ifPresent(waiter -> waiter.rejected(options.minRetryAfter())));
            }
            case ENGINES_LOST -> {
                List<String> lost =
                        engines.keySet().stream().sorted().limit(fault.count()).toList();
                for (String id : lost) {
                    engines.remove(id).lose();
                    time.after(REMOVAL_MILLIS, () -> directory.remove(id));
                    time.after(fault.forSeconds() * 1000, this::addEngine);
                }
            }
            case ENGINES_LIMITED ->
                engines.values().stream()
                        .limit(fault.count())
                        .forEach(engine -> engine.limit(fault.perSecond(), fault.forSeconds() * 1000));
        }
    }

    /** Requests a slot for an online request; returns the lease number. */
    long acquire(Draws.Request drawn, Duration toTarget, Duration toDeadline, boolean retry, SlotWaiter waiter) {
        int node = drawn.node();
        long lease = nextLease++;
        if (scheduler.isEmpty()) {
            placeLocally(node, lease, waiter);
            return lease;
        }
        waiters.put(lease, waiter);
        SlotRequest request = new SlotRequest(
                nodeName(node),
                lease,
                SERVICE,
                toTarget,
                toDeadline,
                Set.of(),
                drawn.prefix(),
                retry,
                Optional.empty(),
                drawn.sender().workspace(),
                drawn.sender().priority(),
                false,
                0,
                0,
                0);
        time.after(pattern.schedulerDelayMillis(), () -> {
            if (waiters.containsKey(lease)) {
                scheduler.ifPresent(current -> current.acquire(request));
            }
        });
        return lease;
    }

    private void placeLocally(int node, long lease, SlotWaiter waiter) {
        LocalPlacement placement = placements.computeIfAbsent(
                nodeName(node), name -> new LocalPlacement(time, directory, health, domain(node), () -> 0.5));
        Optional<LocalPlacement.Placed> picked = placement.pick(SERVICE, Set.of(), Optional.empty());
        if (picked.isEmpty()) {
            waiter.rejected(options.minRetryAfter());
            return;
        }
        String upstream = picked.get().upstream().id();
        grants.put(lease, new Grant(nodeName(node), upstream, Optional.empty(), picked));
        waiter.granted(upstream);
    }

    /** Releases a slot, or withdraws a request for one. */
    void release(int node, long lease, ReleaseReason reason, int keptEvents) {
        waiters.remove(lease);
        Grant grant = grants.remove(lease);
        if (grant != null && grant.placedLocally().isPresent()) {
            placements.get(grant.node()).requestEnded(grant.placedLocally().get(), reason);
            return;
        }
        String name = grant == null ? nodeName(node) : grant.node();
        time.after(
                pattern.schedulerDelayMillis(),
                () -> scheduler.ifPresent(current -> current.released(name, lease, reason, keptEvents)));
    }

    /** Sends a request to an engine; it is broken if the engine is gone. */
    void send(String upstream, Engine.Run run) {
        time.after(pattern.engineDelayMillis(), () -> {
            Engine engine = engines.get(upstream);
            if (engine == null) {
                run.listener.broken();
            } else {
                Optional<Upstream> sentTo = directory.find(upstream);
                long sentNanos = time.nanos();
                run.onHead(() ->
                        sentTo.ifPresent(target -> directory.noteResponse(target, false, engine.limit(), sentNanos)));
                engine.submit(run);
            }
        });
    }

    /** Returns the most requests in a window at an engine that named a limit, see {@link Engine}. */
    int mostLimitedArrivals(double settleMillis, double windowMillis) {
        return engines.values().stream()
                .mapToInt(engine -> engine.mostLimitedArrivals(settleMillis, windowMillis))
                .max()
                .orElse(0);
    }

    /** Closes the connection of a request. */
    void cancel(String upstream, Engine.Run run) {
        time.after(
                pattern.engineDelayMillis(),
                () -> Optional.ofNullable(engines.get(upstream)).ifPresent(engine -> engine.cancel(run)));
    }

    /** Returns the events of a run that have reached its node. */
    int events(String upstream, Engine.Run run) {
        return Optional.ofNullable(engines.get(upstream))
                .map(engine -> engine.events(run))
                .orElse(0);
    }

    void submitted(BacklogItem item) {
        backlog.add(item);
    }

    void resultRecorded(BacklogItem item) {
        backlog.remove(item);
        scheduler.ifPresent(current -> current.resultRecorded(item.item()));
    }

    /** Returns the shared prompt tokens that the engines have read. */
    long prefilledSharedTokens() {
        return engines.values().stream()
                .mapToLong(Engine::prefilledSharedTokens)
                .sum();
    }

    /** Returns the node of a granted lease. */
    Optional<String> node(long lease) {
        return Optional.ofNullable(grants.get(lease)).map(Grant::node);
    }

    @Override
    public void granted(String node, long lease, String upstream) {
        time.after(pattern.schedulerDelayMillis(), () -> {
            SlotWaiter waiter = waiters.remove(lease);
            if (waiter != null) {
                grants.put(lease, new Grant(node, upstream, Optional.empty(), Optional.empty()));
                waiter.granted(upstream);
            }
        });
    }

    @Override
    public void rejected(String node, long lease, Duration retryAfter) {
        time.after(
                pattern.schedulerDelayMillis(),
                () -> Optional.ofNullable(waiters.remove(lease)).ifPresent(waiter -> waiter.rejected(retryAfter)));
    }

    @Override
    public void run(String node, long lease, String upstream, ItemRef item) {
        time.after(pattern.schedulerDelayMillis(), () -> {
            grants.put(lease, new Grant(node, upstream, Optional.of(item), Optional.empty()));
            items.run(lease, upstream, item);
        });
    }

    @Override
    public void preempt(String node, long lease) {
        time.after(pattern.schedulerDelayMillis(), () -> stopper.preempt(lease));
    }
}
