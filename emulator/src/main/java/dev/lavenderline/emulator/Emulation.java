package dev.lavenderline.emulator;

import dev.lavenderline.serving.slots.BacklogItem;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.ReleaseReason;
import dev.lavenderline.serving.slots.SlotScheduler;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Plays the load of a pattern against a fleet: callers that retry when they are told to, and batch jobs.
 *
 * <p>Not thread-safe.
 */
final class Emulation {
    static final String ITEMS = "batch items";

    /** Longest time without an event before the first one, after which callers abandon a stream. */
    private static final double CALLER_PATIENCE_MILLIS = 2000;

    /** Part of the time left that a caller waits at most before it retries. */
    private static final double MAX_RETRY_WAIT = 1.0 / 3;

    /** Time from the end of an item's run until its result can be read. */
    private static final double RECORD_MILLIS = 20;

    /** Time after the first request to a limited engine from which the limit counts. */
    static final double LIMIT_SETTLE_MILLIS = 3000;

    /** Time over which the requests to a limited engine are counted. */
    static final double LIMIT_WINDOW_MILLIS = 4000;

    private final LoadPattern pattern;
    private final VirtualTime time = new VirtualTime();
    private final Fleet fleet;
    private final Outcome outcome = new Outcome();
    private final Map<ItemRef, BatchItem> openItems = new HashMap<>();
    private final Map<Long, ItemRun> itemRuns = new HashMap<>();

    private Emulation(LoadPattern pattern, SlotScheduler.Options options, Draws draws) {
        this.pattern = pattern;
        this.fleet = new Fleet(time, pattern, options, draws.engineSpeeds());
        fleet.onItems(this::runItem, this::preemptItem);
        draws.requests().forEach(request -> time.after(request.atMillis(), () -> new OnlineCall(request).attempt()));
        draws.items().forEach(item -> time.after(item.atMillis(), () -> submit(item)));
        pattern.faults().forEach(fault -> time.after(fault.atSeconds() * 1000, () -> fleet.fail(fault)));
    }

    /** Plays a pattern to its end and returns what happened. */
    static Outcome run(LoadPattern pattern, SlotScheduler.Options options, Draws draws) {
        Emulation emulation = new Emulation(pattern, options, draws);
        emulation.time.runUntil(1000 * (pattern.durationSeconds() + pattern.drainSeconds()));
        emulation.openItems.values().forEach(item -> {
            emulation.outcome.kind(ITEMS).failed(item.drawn.outputTokens());
            emulation.outcome.items(item.drawn.sender()).unserved++;
        });
        emulation.outcome.mostLimitedArrivals =
                emulation.fleet.mostLimitedArrivals(LIMIT_SETTLE_MILLIS, LIMIT_WINDOW_MILLIS);
        emulation.outcome.prefilledSharedTokens = emulation.fleet.prefilledSharedTokens();
        return emulation.outcome;
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }

    private final class OnlineCall {
        final Draws.Request request;
        final double deadlineMillis;

        /** When the last attempt of the caller reached its node, which sets the latency target from there. */
        double arrivalMillis;

        int retriesLeft;
        boolean retry;
        boolean done;

        OnlineCall(Draws.Request request) {
            this.request = request;
            this.arrivalMillis = request.atMillis();
            this.deadlineMillis = request.atMillis() + request.kind().deadlineMillis();
            this.retriesLeft = request.kind().retries();
        }

        Outcome.Kind kind() {
            return outcome.kind(request.kind().name());
        }

        void attempt() {
            double now = time.millis();
            double toTarget = arrivalMillis + request.kind().targetMillis() - now;
            Attempt attempt = new Attempt(this);
            attempt.lease = fleet.acquire(request, millis(toTarget), millis(deadlineMillis - now), retry, attempt);
            time.after(Math.min(CALLER_PATIENCE_MILLIS, deadlineMillis - now), attempt::abandonWithoutEvent);
            time.after(deadlineMillis - now, attempt::abandon);
        }

        void rejected(Duration retryAfter) {
            double wait = retryAfter.toNanos() / 1e6;
            double left = deadlineMillis - time.millis();
            if (retriesLeft == 0 || wait > left * MAX_RETRY_WAIT) {
                end(() -> {
                    kind().refused(request.outputTokens());
                    outcome.online(request.sender()).unserved++;
                });
                return;
            }
            retriesLeft--;
            retry = true;
            time.after(wait, () -> {
                arrivalMillis = time.millis();
                attempt();
            });
        }

        void served(double firstEventMillis) {
            double took = firstEventMillis - request.atMillis();
            boolean inTime = took <= request.kind().targetMillis();
            end(() -> {
                if (inTime) {
                    kind().inTime(request.outputTokens(), took, request.atMillis());
                    outcome.online(request.sender()).inTime++;
                } else {
                    kind().late(request.outputTokens(), took);
                    outcome.online(request.sender()).late++;
                }
            });
        }

        void failed() {
            end(() -> {
                kind().failed(request.outputTokens());
                outcome.online(request.sender()).unserved++;
            });
        }

        private void end(Runnable record) {
            if (!done) {
                done = true;
                record.run();
            }
        }
    }

    /** One attempt of a caller. */
    private final class Attempt implements Fleet.SlotWaiter, Engine.Listener {
        final OnlineCall call;
        long lease = -1;
        String upstream = "";
        Engine.Run run;
        double grantedMillis;
        double firstEventMillis = Double.NaN;
        boolean ended;

        Attempt(OnlineCall call) {
            this.call = call;
        }

        @Override
        public void granted(String id) {
            if (ended) {
                return;
            }
            upstream = id;
            grantedMillis = time.millis();
            Draws.Request request = call.request;
            LoadPattern.Online kind = request.kind();
            run = new Engine.Run(
                    request.prefix(),
                    kind.sharedTokens(),
                    kind.ownTokens(),
                    request.outputTokens(),
                    kind.tokensPerEvent(),
                    this);
            fleet.send(id, run);
        }

        @Override
        public void rejected(Duration retryAfter) {
            if (!ended) {
                ended = true;
                call.rejected(retryAfter);
            }
        }

        @Override
        public void firstEvent() {
            time.after(pattern.engineDelayMillis(), () -> firstEventMillis = time.millis());
        }

        @Override
        public void completed() {
            time.after(pattern.engineDelayMillis(), () -> {
                if (end(ReleaseReason.COMPLETED)) {
                    call.served(firstEventMillis);
                }
            });
        }

        @Override
        public void rejected() {
            if (end(ReleaseReason.UPSTREAM_FULL)) {
                call.attempt();
            }
        }

        @Override
        public void broken() {
            if (end(ReleaseReason.ANSWER_LOST)) {
                call.attempt();
            }
        }

        void abandonWithoutEvent() {
            if (Double.isNaN(firstEventMillis)) {
                abandon();
            }
        }

        void abandon() {
            if (ended) {
                return;
            }
            if (run != null) {
                fleet.cancel(upstream, run);
            }
            end(ReleaseReason.CANCELLED);
            call.failed();
        }

        private boolean end(ReleaseReason reason) {
            if (ended) {
                return false;
            }
            ended = true;
            fleet.release(call.request.node(), lease, reason, 0);
            outcome.onlineSlotMillis += run == null ? 0 : time.millis() - grantedMillis;
            return true;
        }
    }

    /** A batch item without a result; the node of its last run keeps the events generated so far. */
    private static final class BatchItem {
        final Draws.Item drawn;
        final BacklogItem backlogItem;
        String keptBy = "";
        int keptEvents;

        BatchItem(Draws.Item drawn, BacklogItem backlogItem) {
            this.drawn = drawn;
            this.backlogItem = backlogItem;
        }
    }

    private void submit(Draws.Item drawn) {
        ItemRef ref = new ItemRef("job-" + drawn.job(), drawn.index());
        BacklogItem item = new BacklogItem(
                ref,
                Map.of(Fleet.SERVICE, 1),
                (long) (drawn.dueMillis() * 1e6),
                "node-" + drawn.node(),
                pattern.batch().promptTokens() + drawn.outputTokens(),
                drawn.sender().workspace(),
                drawn.sender().priority());
        openItems.put(ref, new BatchItem(drawn, item));
        fleet.submitted(item);
    }

    private void runItem(long lease, String upstream, ItemRef ref) {
        BatchItem item = openItems.get(ref);
        if (item == null) {
            fleet.release(0, lease, ReleaseReason.CANCELLED, 0);
            return;
        }
        String node = fleet.node(lease).orElseThrow();
        int done = item.keptBy.equals(node) ? item.keptEvents : 0;
        int tokensPerEvent = pattern.batch().tokensPerEvent();
        ItemRun itemRun = new ItemRun(lease, upstream, node, item, done);
        itemRun.run = new Engine.Run(
                0,
                0,
                pattern.batch().promptTokens() + done * tokensPerEvent,
                item.drawn.outputTokens() - done * tokensPerEvent,
                tokensPerEvent,
                itemRun);
        itemRuns.put(lease, itemRun);
        outcome.itemRuns++;
        fleet.send(upstream, itemRun.run);
    }

    private void preemptItem(long lease) {
        ItemRun run = itemRuns.get(lease);
        if (run != null) {
            outcome.preemptions++;
            run.interrupt(ReleaseReason.CANCELLED);
        }
    }

    private final class ItemRun implements Engine.Listener {
        final long lease;
        final String upstream;
        final String node;
        final BatchItem item;
        final int resumedEvents;
        Engine.Run run;

        ItemRun(long lease, String upstream, String node, BatchItem item, int resumedEvents) {
            this.lease = lease;
            this.upstream = upstream;
            this.node = node;
            this.item = item;
            this.resumedEvents = resumedEvents;
        }

        void interrupt(ReleaseReason reason) {
            if (itemRuns.remove(lease) == null) {
                return;
            }
            int lastEvent = item.drawn.outputTokens() / pattern.batch().tokensPerEvent() - 1;
            item.keptEvents = Math.min(lastEvent, resumedEvents + fleet.events(upstream, run));
            item.keptBy = node;
            fleet.cancel(upstream, run);
            fleet.release(0, lease, reason, item.keptEvents);
        }

        @Override
        public void firstEvent() {}

        @Override
        public void completed() {
            time.after(pattern.engineDelayMillis(), () -> {
                if (itemRuns.remove(lease) == null) {
                    return;
                }
                fleet.release(0, lease, ReleaseReason.COMPLETED, 0);
                time.after(RECORD_MILLIS, this::record);
            });
        }

        private void record() {
            Draws.Item drawn = item.drawn;
            if (openItems.remove(item.backlogItem.item()) == null) {
                return;
            }
            fleet.resultRecorded(item.backlogItem);
            double took = time.millis() - drawn.atMillis();
            if (time.millis() <= drawn.dueMillis()) {
                outcome.kind(ITEMS).inTime(drawn.outputTokens(), took, time.millis());
                outcome.items(drawn.sender()).inTime++;
            } else {
                outcome.kind(ITEMS).late(drawn.outputTokens(), took);
                outcome.items(drawn.sender()).late++;
            }
        }

        @Override
        public void rejected() {
            interrupt(ReleaseReason.UPSTREAM_FULL);
        }

        @Override
        public void broken() {
            interrupt(ReleaseReason.ANSWER_LOST);
        }
    }
}
