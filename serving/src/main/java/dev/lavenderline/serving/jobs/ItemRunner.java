package dev.lavenderline.serving.jobs;

import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.online.CallContext;
import dev.lavenderline.serving.online.ContinuationEnd;
import dev.lavenderline.serving.online.EventSequence;
import dev.lavenderline.serving.online.EventStreamParser;
import dev.lavenderline.serving.online.ResponseListener;
import dev.lavenderline.serving.online.SendFailure;
import dev.lavenderline.serving.online.StreamEvent;
import dev.lavenderline.serving.online.UpstreamExchange;
import dev.lavenderline.serving.online.UpstreamRequest;
import dev.lavenderline.serving.slots.ItemExecutor;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.ReleaseReason;
import dev.lavenderline.serving.slots.RequestTraits;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.workspaces.Caller;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Runs the batch items assigned by the scheduler. Keeps the partial output of interrupted runs, from which a
 * later run continues.
 *
 * <p>Invariants: a partial output consists of events with consecutive ids, each from a run on the same service and
 * version that was asked to continue after the previous event; an item has at most one run on this node, and so has the
 * number of a lease. Not thread-safe; confined to the event loop.
 */
public final class ItemRunner implements ItemExecutor {
    private static final int UNPROCESSABLE_CONTENT = 422;
    private static final int OK = 200;
    private static final int INTERNAL_SERVER_ERROR = 500;

    /** Time without data after which a run is stopped; far above the 25 ms between events and the wait for a slot. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(1500);

    /**
     * Time without progress after which a run is stopped although bytes arrive: without the response's head, a complete
     * event or, for another status, the end. A slow engine takes a few hundred milliseconds for an event.
     */
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(10);

    /** Size of an output, in bytes, above which a run is broken off; a read returns at most as much. */
    private static final int MAX_OUTPUT_BYTES = 1024 * 1024;

    /** Memory that an event takes besides its data, in bytes; bounds the number of empty events. */
    private static final int EVENT_OVERHEAD_BYTES = 64;

    /** Size of the body of an error response, in bytes, above which a run is broken off. */
    private static final int MAX_ERROR_BYTES = 64 * 1024;

    /** Time limit on reading an item's content, for which its slot is idle. */
    private static final Duration CONTENT_TIMEOUT = Duration.ofMillis(400);

    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(500);

    private final CallContext context;
    private final JobLedger ledger;
    private final JobStore store;
    private final BooleanSupplier workspacesEnabled;
    private final Map<Long, Run> runs = new HashMap<>();
    private final Map<ItemRef, PartialOutput> partialOutputs = new HashMap<>();

    /** The events that an item has generated so far, all on upstreams of the same service and software version. */
    private static final class PartialOutput {
        final ServiceVersion version;
        final List<String> events = new ArrayList<>();
        final ContinuationEnd continuationEnd = new ContinuationEnd();
        OptionalLong lastEventId = OptionalLong.empty();
        long bytes;

        PartialOutput(ServiceVersion version) {
            this.version = version;
        }
    }

    /**
     * Creates a runner.
     *
     * @param workspacesEnabled returns whether workspaces are configured
     */
    public ItemRunner(CallContext context, JobLedger ledger, JobStore store, BooleanSupplier workspacesEnabled) {
        this.context = context;
        this.workspacesEnabled = workspacesEnabled;
        this.ledger = ledger;
        this.store = store;
        ledger.onResult(this::removePartialOutput);
        ledger.onCancelled(this::cancelJob);
    }

    private void removePartialOutput(ItemResult result) {
        partialOutputs.remove(new ItemRef(result.getJob(), result.getItem()));
    }

    private void cancelJob(Job job) {
        List.copyOf(runs.values()).stream()
                .filter(run -> run.ref.job().equals(job.id()))
                .forEach(run -> run.stop(ReleaseReason.CANCELLED, false));
        partialOutputs.keySet().removeIf(ref -> ref.job().equals(job.id()));
    }

    /** Returns the number of items that are running on this node. */
    public int running() {
        return runs.size();
    }

    /** Cancels all runs; called when the process stops. */
    public void stopAll() {
        List.copyOf(runs.values()).forEach(run -> run.stop(ReleaseReason.NODE_DECLINED, false));
    }

    @Override
    public void run(long lease, String upstreamId, ItemRef ref) {
        Optional<Job> job = ledger.find(ref.job());
        Optional<JobItem> item = job.flatMap(known -> known.item(ref.index()));
        Optional<Upstream> upstream = context.directory().find(upstreamId);
        if (context.directory().drainingOrRemoved(upstreamId)) {
            logDeclined(ref, upstreamId, "upstream is leaving");
            context.slots().release(lease, ReleaseReason.UPSTREAM_GONE, keptEvents(ref));
            return;
        }
        if (item.isEmpty() || upstream.isEmpty()) {
            logDeclined(ref, upstreamId, item.isEmpty() ? "job is unknown" : "upstream is unknown");
            store.refresh(ref.job());
            context.slots().release(lease, ReleaseReason.ITEM_UNKNOWN, 0);
            return;
        }
        if (store.resultSubmitted(ref)) {
            logDeclined(ref, upstreamId, "result waits for the store");
            context.slots().release(lease, ReleaseReason.ITEM_FAILED, 0);
            return;
        }
        if (!job.get().open() || job.get().hasResult(ref.index())) {
            logDeclined(ref, upstreamId, "item is already settled");
            context.slots().release(lease, ReleaseReason.CANCELLED, 0);
            return;
        }
        stopEarlierRuns(lease, ref);
        Run run = new Run(lease, ref, job.get(), item.get(), upstream.get());
        runs.put(lease, run);
        run.start();
    }

    /**
     * Stops the runs of an item that is about to start again, and the run whose lease has the number of the new one.
     * After a change of the scheduler, the next one may not know of a run that its predecessor ordered; two runs would
     * both add their events to the partial output.
     */
    private void stopEarlierRuns(long lease, ItemRef ref) {
        List.copyOf(runs.values()).stream()
                .filter(run -> run.ref.equals(ref) || run.lease == lease)
                .forEach(run -> run.giveWayTo(lease));
    }

    private void logDeclined(ItemRef ref, String upstream, String cause) {
        context.metrics().count("lavenderline_items_declined");
        context.log()
                .event(
                        ServingEvent.ITEM_DECLINED,
                        "job",
                        ref.job(),
                        "index",
                        ref.index(),
                        "upstream",
                        upstream,
                        "cause",
                        cause);
    }

    private int keptEvents(ItemRef ref) {
        PartialOutput output = partialOutputs.get(ref);
        return output == null ? 0 : output.events.size();
    }

    @Override
    public void preempt(long lease) {
        Run run = runs.get(lease);
        if (run != null) {
            run.stop(ReleaseReason.CANCELLED, true);
        }
    }

    private final class Run implements ResponseListener {
        final long lease;
        final ItemRef ref;
        final Job job;

        /** Without its content, which is read when the run starts. */
        final JobItem item;

        final Upstream upstream;
        final PartialOutput output;
        final EventStreamParser parser = new EventStreamParser(this::addEvent);
        final long startNanos = context.ticker().nanos();
        final EventSequence sequence;
        final int resumedEvents;
        long lastReceivedNanos = startNanos;
        long lastProgressNanos = startNanos;
        RequestTraits traits = RequestTraits.ofParts(List.of());
        int errorBytes;
        int status;
        UpstreamExchange exchange;
        Timers.Timer idleTimer = () -> {};

        Run(long lease, ItemRef ref, Job job, JobItem item, Upstream upstream) {
            this.lease = lease;
            this.ref = ref;
            this.job = job;
            this.item = item;
            this.upstream = upstream;
            this.output = partialOutputs.compute(
                    ref,
                    (key, kept) -> kept != null && kept.version.equals(ServiceVersion.of(upstream))
                            ? kept
                            : new PartialOutput(ServiceVersion.of(upstream)));
            this.sequence = new EventSequence(output.lastEventId);
            this.resumedEvents = output.events.size();
        }

        void start() {
            idleTimer = context.timers().after(CONTENT_TIMEOUT, () -> contentNotRead("no response yet"));
            store.item(job, ref.index())
                    .onSuccess(this::sendUnlessItFails)
                    .onFailure(failure -> contentNotRead(failure.getMessage()));
        }

        private void contentNotRead(String cause) {
            finish(ReleaseReason.CONTENT_UNREADABLE, true, cause);
        }

        /** Sends the item; ends the run if that throws, as nothing else would release its slot. */
        private void sendUnlessItFails(JobItem content) {
            if (!FailureGuard.run(context.log(), () -> send(content), "job", ref.job(), "index", ref.index())) {
                stop(ReleaseReason.CONTENT_UNREADABLE, true);
            }
        }

        private void send(JobItem content) {
            if (runs.get(lease) != this) {
                return;
            }
            idleTimer.cancel();
            if (!job.open() || job.hasResult(ref.index())) {
                finish(ReleaseReason.CANCELLED, false, "item is already settled");
                return;
            }
            if (context.directory().drainingOrRemoved(upstream.id())) {
                finish(ReleaseReason.UPSTREAM_GONE, true, "upstream is leaving");
                return;
            }
            traits = RequestTraits.ofParts(context.wire().sharedParts(content));
            lastReceivedNanos = context.ticker().nanos();
            lastProgressNanos = lastReceivedNanos;
            context.log()
                    .event(
                            ServingEvent.ITEM_STARTED,
                            "job",
                            ref.job(),
                            "item",
                            item.getId(),
                            "upstream",
                            upstream.id(),
                            "version",
                            upstream.version(),
                            "after",
                            resumedEvents);
            Caller caller = Caller.ofJob(job.workspace(), workspacesEnabled.getAsBoolean());
            MultiMap headers =
                    context.wire().itemHeaders(content, job.host(), upstream.id(), output.lastEventId, caller);
            UpstreamRequest request = new UpstreamRequest(
                    item.getId(),
                    HttpMethod.POST,
                    content.getPath(),
                    headers,
                    Buffer.buffer(content.getBody().toByteArray()));
            idleTimer = context.timers().every(IDLE_CHECK_INTERVAL, this::checkIdle);
            exchange = context.connections().send(upstream, request, context.wire(), this);
        }

        private void checkIdle() {
            long now = context.ticker().nanos();
            if (now - lastReceivedNanos > IDLE_TIMEOUT.toNanos()) {
                context.connections().upstreamSilent(upstream);
                stop(ReleaseReason.UPSTREAM_UNREACHABLE, true);
            } else if (now - lastProgressNanos > PROGRESS_TIMEOUT.toNanos()) {
                breakOff("no progress");
            }
        }

        /** Ends a run whose response breaks the protocol; the events before that are kept. */
        private void breakOff(String cause) {
            exchange.cancel();
            finish(ReleaseReason.ANSWER_LOST, true, cause);
        }

        /** Ends the run without a result. */
        void stop(ReleaseReason reason, boolean keepOutput) {
            if (exchange != null) {
                exchange.cancel();
            }
            finish(reason, keepOutput, "stopped");
        }

        /** Stops the run in favor of a later one; a lease that has the same number is that of the later run. */
        void giveWayTo(long laterLease) {
            if (exchange != null) {
                exchange.cancel();
            }
            OptionalInt keptEvents = end(ReleaseReason.CANCELLED, true, "another run starts");
            if (lease != laterLease) {
                keptEvents.ifPresent(kept -> context.slots().release(lease, ReleaseReason.CANCELLED, kept));
            }
        }

        private void finish(ReleaseReason reason, boolean keepOutput, String outcome) {
            end(reason, keepOutput, outcome).ifPresent(kept -> context.slots().release(lease, reason, kept));
        }

        /** Ends the run but for its lease; returns the number of events that are kept, empty if it had ended before. */
        private OptionalInt end(ReleaseReason reason, boolean keepOutput, String outcome) {
            if (!runs.remove(lease, this)) {
                return OptionalInt.empty();
            }
            idleTimer.cancel();
            int keptEvents = keepOutput && sequence.continuable() ? output.events.size() : 0;
            if (keptEvents == 0) {
                partialOutputs.remove(ref, output);
            }
            context.metrics().count("lavenderline_item_runs");
            context.log()
                    .event(
                            ServingEvent.ITEM_ENDED,
                            "job",
                            ref.job(),
                            "item",
                            item.getId(),
                            "upstream",
                            upstream.id(),
                            "end",
                            reason,
                            "outcome",
                            outcome,
                            "events",
                            output.events.size(),
                            "continuedAfter",
                            resumedEvents,
                            "connectionRequests",
                            exchange == null ? null : exchange.connectionRequests(),
                            "closeDelimited",
                            exchange == null ? null : exchange.closeDelimited(),
                            "ms",
                            (context.ticker().nanos() - startNanos) / 1_000_000);
            return OptionalInt.of(keptEvents);
        }

        private void addEvent(StreamEvent event) {
            if (!sequence.accepts(event)) {
                return;
            }
            lastProgressNanos = context.ticker().nanos();
            output.bytes += event.data().length() + EVENT_OVERHEAD_BYTES;
            if (event.controlOnly()) {
                return;
            }
            output.events.add(event.data());
            output.lastEventId = sequence.lastId();
        }

        @Override
        public void headers(int code, MultiMap headers) {
            lastReceivedNanos = context.ticker().nanos();
            lastProgressNanos = lastReceivedNanos;
            status = code;
        }

        @Override
        public void chunk(Buffer chunk) {
            lastReceivedNanos = context.ticker().nanos();
            if (status != OK) {
                errorBytes += chunk.length();
                if (errorBytes > MAX_ERROR_BYTES) {
                    breakOff("error response is too long");
                }
                return;
            }
            boolean withinLimit = parser.feed(chunk);
            if (sequence.broken()) {
                breakOff("events out of order");
            } else if (!withinLimit) {
                breakOff("event is too long");
            } else if (output.bytes > MAX_OUTPUT_BYTES) {
                exchange.cancel();
                finish(ReleaseReason.ANSWER_LOST, false, "output is too long");
            }
        }

        @Override
        public void end() {
            if (status == UNPROCESSABLE_CONTENT) {
                store.addResult(ref, false, "");
                finish(ReleaseReason.COMPLETED, false, "rejected as unprocessable");
            } else if (status == INTERNAL_SERVER_ERROR) {
                recordItemFailure();
            } else if (status != OK) {
                finish(ReleaseReason.ANSWER_LOST, true, "status " + status);
            } else {
                sequence.truncation(
                                parser.hasPartialEvent(),
                                exchange.closeDelimited(),
                                upstream.id(),
                                output.continuationEnd)
                        .ifPresentOrElse(this::streamTruncated, this::completed);
            }
        }

        private void streamTruncated(String cause) {
            finish(ReleaseReason.ANSWER_LOST, true, cause);
        }

        private void completed() {
            if (output.events.isEmpty()) {
                // An item has at least one event, so a response without any is not its output.
                streamTruncated("stream ended without an event");
                return;
            }
            context.slots().requestCompleted(traits);
            store.addResult(ref, true, String.join("\n", output.events));
            finish(ReleaseReason.COMPLETED, false, "completed");
        }

        private void recordItemFailure() {
            int failures = store.failures(ref) + 1;
            String outcome = "status " + status + ", failure " + failures;
            if (failures >= job.maxAttempts()) {
                store.addResult(ref, false, "");
                finish(ReleaseReason.COMPLETED, false, outcome);
            } else {
                store.addFailure(ref);
                finish(ReleaseReason.ITEM_FAILED, false, outcome);
            }
        }

        @Override
        public void failed(SendFailure failure, String message) {
            finish(failure.releaseReason(), true, failure + " " + message);
        }
    }
}
