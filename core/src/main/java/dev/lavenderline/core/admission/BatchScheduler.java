package dev.lavenderline.core.admission;

import static java.util.Objects.requireNonNull;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.SlotGrant;
import dev.lavenderline.proto.peer.SlotRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Starts and cancels the items of the batch jobs that this node owns, within the slots granted by controllers.
 *
 * <p>Invariants: an item is in flight on at most one engine; an item of an open job is queued, backing off, in flight
 * or done. At most one item of this node awaits its first token on an engine, and at most half of a deployment's
 * engines in a region (rounded up) have such an item, so that online requests find an engine without a batch prefill.
 * When a grant expires, its items are cancelled and requeued as after a revocation.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * scheduler.open(job, doneItems);
 * scheduler.requests().forEach(request -> send(controllerOf(request.getUpstream()), request));
 * scheduler.tick().forEach(this::run);
 * }</pre>
 */
public final class BatchScheduler {
    private static final int MAX_ATTEMPTS = 5;
    private static final long ITEM_BACKOFF_BASE_NANOS = 500_000_000L;
    private static final long ITEM_BACKOFF_MAX_NANOS = 30_000_000_000L;
    private static final long ENGINE_BACKOFF_BASE_NANOS = 500_000_000L;
    private static final long ENGINE_BACKOFF_MAX_NANOS = 8_000_000_000L;
    /** A job is at risk if it and the jobs with earlier deadlines need more than this fraction of its time left. */
    private static final double AT_RISK_TIME_SHARE = 0.9;
    /** Observation time below which a completion rate is not meaningful. */
    private static final double MIN_OBSERVED_SECONDS = 10;

    private final Ticker ticker;
    private final String region;
    private final UniformRandomProvider random;
    private final Backoff itemBackoff;
    private final Backoff engineBackoff;
    private final Map<String, OpenJob> jobs = new LinkedHashMap<>();
    private final Map<String, EngineLease> engines = new HashMap<>();
    private final Map<ItemRef, RunningItem> running = new HashMap<>();
    private final Map<String, CompletionRate> rates = new HashMap<>();
    private final Set<RunningItem> toCancel = new HashSet<>();
    private final SlotRequestPacer requestPacer = new SlotRequestPacer();
    private final JobOrder order = new JobOrder(this::weight);
    private FleetConfig config = FleetConfig.EMPTY;
    private Set<String> excludedAddresses = Set.of();
    private boolean mayStart = true;

    /**
     * @param region region of this node, whose engines are preferred
     * @param random source of jitter
     */
    public BatchScheduler(String region, Ticker ticker, UniformRandomProvider random) {
        this.region = requireNonNull(region, "region");
        this.ticker = requireNonNull(ticker, "ticker");
        this.random = requireNonNull(random, "random");
        this.itemBackoff = new Backoff(ITEM_BACKOFF_BASE_NANOS, ITEM_BACKOFF_MAX_NANOS, random);
        this.engineBackoff = new Backoff(ENGINE_BACKOFF_BASE_NANOS, ENGINE_BACKOFF_MAX_NANOS, random);
    }

    /** Replaces the configuration; engines that disappeared get no new items. */
    public void configure(FleetConfig newConfig) {
        config = requireNonNull(newConfig, "newConfig");
        long now = ticker.nanos();
        for (Upstream upstream : config.upstreams().values()) {
            if (upstream.kind() == Upstream.Kind.ENGINE) {
                engines.computeIfAbsent(upstream.name(), name -> new EngineLease(upstream, now))
                        .configure(upstream);
            }
        }
        engines.values()
                .removeIf(engine -> !configured(engine) && engine.running().isEmpty());
    }

    /** Replaces the addresses of leaving upstreams, each a host or {@code host:port}; these get no new items. */
    public void setExcludedAddresses(Set<String> addresses) {
        excludedAddresses = Set.copyOf(addresses);
    }

    /** Allows or forbids new starts; items in flight are not affected. */
    public void mayStart(boolean allowed) {
        mayStart = allowed;
    }

    /**
     * Opens a job; a job that is open already is not changed.
     *
     * @param done indexes of the items that have a result
     */
    public void open(BatchJob job, BitSet done) {
        long now = ticker.nanos();
        if (!jobs.containsKey(job.id())) {
            OpenJob opened = new OpenJob(job, new JobItems(job.items(), done), now);
            jobs.put(job.id(), opened);
            adoptRunning(opened);
        }
        rates.computeIfAbsent(job.deployment(), deployment -> new CompletionRate(now));
    }

    /** Takes over items still in flight from an earlier period in which this node owned the job. */
    private void adoptRunning(OpenJob job) {
        for (RunningItem item : running.values()) {
            if (item.ref.jobId().equals(job.id()) && job.items.adopt(item.ref.index())) {
                item.job = job;
                toCancel.remove(item);
            }
        }
    }

    /** Closes a job; the next tick cancels its items in flight. */
    public void close(String jobId) {
        OpenJob job = jobs.remove(jobId);
        if (job == null) {
            return;
        }
        for (RunningItem item : running.values()) {
            if (item.job == job) {
                toCancel.add(item);
            }
        }
        order.retainOnly(jobs.values());
    }

    /** Marks an item as done whose result was recorded elsewhere, for example in an earlier owner's last record. */
    public void completedElsewhere(ItemRef ref) {
        OpenJob job = jobs.get(ref.jobId());
        if (job == null || !job.items.valid(ref.index())) {
            return;
        }
        RunningItem item = running.get(ref);
        if (item != null) {
            toCancel.add(item);
        }
        job.items.markDone(ref.index());
    }

    /** Requeues a finished item whose result was dropped before it was recorded. */
    public void reopen(ItemRef ref) {
        OpenJob job = jobs.get(ref.jobId());
        if (job != null && job.items.valid(ref.index()) && !running.containsKey(ref)) {
            job.items.reopen(ref.index());
        }
    }

    /** Records a grant, which takes effect at the next tick. */
    public void grant(SlotGrant grant) {
        EngineLease engine = engines.get(grant.getUpstream());
        if (engine != null) {
            engine.grant(grant, ticker.nanos());
        }
    }

    /**
     * Records the number of online requests of this node and its peers in flight on an engine. Call {@link #tick} at
     * once: it cancels items if the number grew by more than the headroom.
     */
    public void onlineChanged(String upstream, int inFlight) {
        EngineLease engine = engines.get(upstream);
        if (engine != null) {
            engine.onlineChanged(inFlight, ticker.nanos());
        }
    }

    /** Returns the slot requests to send now, each to the controller of its engine. */
    public List<SlotRequest> requests() {
        long now = ticker.nanos();
        Map<String, DeploymentDemand> demands = demands(now);
        List<SlotRequest> due = new ArrayList<>();
        for (EngineLease engine : engines.values()) {
            DeploymentDemand demand = demands.getOrDefault(engine.config().group(), DeploymentDemand.NONE);
            int held = engine.heldSlots();
            // A leaving engine gets no new items, but those in flight may finish.
            int more = acceptsItems(engine) ? demand.additionalSlots(engine) : 0;
            int wanted = Math.max(held, Math.min(engine.config().maxConcurrent(), held + more));
            if (wanted == 0 && held == 0 && !requestPacer.isOpen(engine.name())) {
                continue;
            }
            SlotRequest request = SlotRequest.newBuilder()
                    .setUpstream(engine.name())
                    .setWanted(wanted)
                    .setHeld(held)
                    .setDeadlineInMs(demand.deadlineInMs)
                    .build();
            if (requestPacer.due(request, now)) {
                requestPacer.sent(request, now);
                due.add(request);
            }
        }
        return due;
    }

    private Map<String, DeploymentDemand> demands(long now) {
        Map<String, DeploymentDemand> demands = new HashMap<>();
        for (OpenJob job : jobs.values()) {
            if (job.items.remaining() == 0 || expired(job)) {
                continue;
            }
            demands.computeIfAbsent(job.job.deployment(), this::emptyDemand)
                    .add(job, millisLeft(job), atRisk(job, now));
        }
        return demands;
    }

    private DeploymentDemand emptyDemand(String deployment) {
        int local = 0;
        int all = 0;
        for (EngineLease engine : engines.values()) {
            if (engine.config().group().equals(deployment) && acceptsItems(engine)) {
                all++;
                local += local(engine) ? 1 : 0;
            }
        }
        return new DeploymentDemand(region, local, all);
    }

    /** Cancels items in excess of the usable slots and starts items on free ones. */
    public List<BatchAction> tick() {
        long now = ticker.nanos();
        List<BatchAction> actions = new ArrayList<>();
        for (RunningItem item : toCancel) {
            cancel(item, actions);
        }
        toCancel.clear();
        for (EngineLease engine : engines.values()) {
            cancelExcess(engine, actions, now);
        }
        if (!mayStart || jobs.isEmpty()) {
            return actions;
        }
        List<EngineLease> free = new ArrayList<>();
        for (EngineLease engine : engines.values()) {
            if (mayStartOn(engine, now)) {
                free.add(engine);
            }
        }
        shuffle(free);
        Map<EnginePool, Integer> excess = prefillExcess();
        for (EngineLease engine : free) {
            EnginePool pool = EnginePool.of(engine);
            if (excess.get(pool) < 0 && start(engine, actions, now)) {
                excess.merge(pool, 2, Integer::sum);
            }
        }
        return actions;
    }

    /** Returns twice the pending prefills minus the engines of each pool; a negative number allows another start. */
    private Map<EnginePool, Integer> prefillExcess() {
        Map<EnginePool, Integer> excess = new HashMap<>();
        for (EngineLease engine : engines.values()) {
            excess.merge(EnginePool.of(engine), 2 * engine.pendingPrefills() - 1, Integer::sum);
        }
        return excess;
    }

    /** Interchangeable engines: those of one deployment in one region. */
    private record EnginePool(String deployment, String region) {
        static EnginePool of(EngineLease engine) {
            return new EnginePool(engine.config().group(), engine.config().region());
        }
    }

    private void cancelExcess(EngineLease engine, List<BatchAction> actions, long now) {
        if (engine.running().isEmpty()) {
            return;
        }
        int usable = engine.usableSlots(now);
        for (int held = engine.heldSlots(); held > usable; held--) {
            cancel(engine.lastStarted(), actions);
        }
    }

    private static void cancel(RunningItem item, List<BatchAction> actions) {
        if (!item.cancelling) {
            item.cancelling = true;
            actions.add(new BatchAction.Cancel(item.ref, item.engine.name()));
        }
    }

    private boolean mayStartOn(EngineLease engine, long now) {
        return acceptsItems(engine)
                && engine.pendingPrefills() == 0
                && engine.startAllowed(now)
                && engine.heldSlots() < engine.usableSlots(now);
    }

    private boolean start(EngineLease engine, List<BatchAction> actions, long now) {
        boolean allowRetry = !engine.hasPreviouslyFailedItem();
        // Engines of other regions run only items of jobs at risk while this region has engines.
        boolean avoided = !local(engine) && hasLocal(engine.config().group());
        OpenJob job = order.next(
                jobs.values(),
                candidate -> candidate.job.deployment().equals(engine.config().group())
                        && candidate.items.hasReady(allowRetry, now)
                        && !expired(candidate)
                        && (!avoided || atRisk(candidate, now)));
        if (job == null) {
            return false;
        }
        int index = job.items.take(allowRetry, now);
        if (index < 0) {
            return false;
        }
        ItemRef ref = new ItemRef(job.id(), index);
        int failed = job.items.failedAttempts(index);
        RunningItem item = new RunningItem(ref, job, engine, failed > 0);
        running.put(ref, item);
        engine.started(item);
        order.started(job);
        actions.add(new BatchAction.Start(ref, engine.name(), failed + 1));
        return true;
    }

    private void shuffle(List<EngineLease> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    /** Records an item's first token, after which another item may start on the engine. */
    public void firstToken(ItemRef ref) {
        RunningItem item = running.get(ref);
        if (item != null) {
            item.hasFirstToken = true;
            item.engine.answered();
        }
    }

    /**
     * Records a complete answer.
     *
     * @return whether the answer counts; false if the job was closed or the item has a result already
     */
    public boolean finished(ItemRef ref) {
        RunningItem item = removeRunning(ref);
        if (item == null) {
            return false;
        }
        item.engine.answered();
        if (jobs.get(ref.jobId()) != item.job || !item.job.items.markDone(ref.index())) {
            return false;
        }
        rates.get(item.job.job.deployment()).completed(ticker.nanos());
        return true;
    }

    /** Records an attempt that ended without a complete answer and returns what happens to the item. */
    public ItemResolution failed(ItemRef ref, AttemptFailure failure) {
        long now = ticker.nanos();
        RunningItem item = removeRunning(ref);
        if (item == null) {
            return ItemResolution.IGNORED;
        }
        if (failure != AttemptFailure.CANCELLED && failure != AttemptFailure.REFUSED) {
            item.engine.failed(engineBackoff, now);
        }
        JobItems items = item.job.items;
        int index = ref.index();
        if (jobs.get(ref.jobId()) != item.job || !items.isRunning(index)) {
            return ItemResolution.IGNORED;
        }
        switch (failure) {
            case CANCELLED -> {
                order.requeued(item.job);
                items.requeue(index);
            }
            case REFUSED -> {
                items.markDone(index);
                return ItemResolution.REFUSED;
            }
            case KILLED, TIMED_OUT -> {
                int attempts = items.countFailedAttempt(index);
                if (attempts >= MAX_ATTEMPTS) {
                    items.markDone(index);
                    return ItemResolution.ATTEMPTS_EXHAUSTED;
                }
                items.backOff(index, now + itemBackoff.delayNanos(attempts));
            }
            case REJECTED, NOT_SENT -> items.backOff(index, now + itemBackoff.delayNanos(1));
        }
        return ItemResolution.RETRY;
    }

    private RunningItem removeRunning(ItemRef ref) {
        RunningItem item = running.remove(ref);
        if (item != null) {
            item.engine.ended(item, ticker.nanos());
            toCancel.remove(item);
        }
        return item;
    }

    /** Returns whether a job would miss its deadline at the present completion rate; false if it is not open. */
    public boolean atRisk(String jobId) {
        OpenJob job = jobs.get(jobId);
        return job != null && atRisk(job, ticker.nanos());
    }

    private boolean atRisk(OpenJob job, long now) {
        if (job.items.remaining() == 0) {
            return false;
        }
        double secondsLeft = millisLeft(job) / 1000.0;
        CompletionRate rate = rates.get(job.job.deployment());
        double observed = Math.min(rate.observedSeconds(now), (now - job.openedNanos) / 1e9);
        if (observed < MIN_OBSERVED_SECONDS) {
            return secondsLeft < MIN_OBSERVED_SECONDS;
        }
        long ahead = 0;
        for (OpenJob other : jobs.values()) {
            boolean before = !other.job.deadline().isAfter(job.job.deadline());
            ahead += before && other.job.deployment().equals(job.job.deployment()) ? other.items.remaining() : 0;
        }
        return ahead > AT_RISK_TIME_SHARE * secondsLeft * rate.perSecond(now);
    }

    private long millisLeft(OpenJob job) {
        return Math.max(0, Duration.between(ticker.now(), job.job.deadline()).toMillis());
    }

    private boolean expired(OpenJob job) {
        return !ticker.now().isBefore(job.job.deadline());
    }

    private boolean local(EngineLease engine) {
        return engine.config().region().equals(region);
    }

    private boolean hasLocal(String deployment) {
        for (EngineLease engine : engines.values()) {
            if (engine.config().group().equals(deployment) && local(engine) && acceptsItems(engine)) {
                return true;
            }
        }
        return false;
    }

    private boolean acceptsItems(EngineLease engine) {
        Upstream upstream = engine.config();
        return configured(engine)
                && !excludedAddresses.contains(upstream.address())
                && !excludedAddresses.contains(upstream.host());
    }

    private boolean configured(EngineLease engine) {
        return config.upstreams().containsKey(engine.name());
    }

    private int weight(String workspace) {
        var known = config.workspaces().get(workspace);
        return known == null ? 1 : Math.max(1, known.weight());
    }

    /** Returns the state for the state dump. */
    public BatchView view() {
        long now = ticker.nanos();
        List<BatchView.JobView> jobViews = new ArrayList<>();
        for (OpenJob job : jobs.values()) {
            jobViews.add(new BatchView.JobView(
                    job.id(),
                    job.job.workspace(),
                    job.job.deployment(),
                    job.job.deadline(),
                    job.items.queued(),
                    job.items.backingOff(),
                    job.items.running(),
                    job.items.done(),
                    atRisk(job, now)));
        }
        return new BatchView(jobViews, engineViews(engines.values(), now));
    }

    private List<BatchView.EngineView> engineViews(Collection<EngineLease> leases, long now) {
        List<BatchView.EngineView> views = new ArrayList<>();
        for (EngineLease engine : leases) {
            if (engine.running().isEmpty() && !requestPacer.isOpen(engine.name())) {
                continue;
            }
            views.add(new BatchView.EngineView(
                    engine.name(),
                    engine.grantedSlots(now),
                    engine.usableSlots(now),
                    engine.heldSlots(),
                    engine.pendingPrefills(),
                    Duration.ofNanos(engine.pausedNanos(now))));
        }
        views.sort(Comparator.comparing(BatchView.EngineView::upstream));
        return views;
    }

    /** Unfinished items of one deployment that are not in flight. */
    private static final class DeploymentDemand {
        private static final DeploymentDemand NONE = new DeploymentDemand("", 0, 0);

        private final String region;
        private final int localEngines;
        private final int allEngines;
        private long pending;
        private long pendingAtRisk;
        private long deadlineInMs;

        DeploymentDemand(String region, int localEngines, int allEngines) {
            this.region = region;
            this.localEngines = localEngines;
            this.allEngines = allEngines;
        }

        void add(OpenJob job, long millisLeft, boolean atRisk) {
            int waiting = job.items.remaining() - job.items.running();
            deadlineInMs = pending == 0 ? millisLeft : Math.min(deadlineInMs, millisLeft);
            pending += waiting;
            pendingAtRisk += atRisk ? waiting : 0;
        }

        /** Returns the additional slots to request of an engine. */
        int additionalSlots(EngineLease engine) {
            boolean local = engine.config().region().equals(region);
            if (localEngines == 0) {
                return share(pending, allEngines);
            }
            return local ? share(pending, localEngines) : share(pendingAtRisk, allEngines);
        }

        private static int share(long items, int among) {
            return among == 0 ? 0 : (int) Math.min(Integer.MAX_VALUE / 2, (items + among - 1) / among);
        }
    }
}
