package dev.lavenderline.serving.jobs;

import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.online.AnswerListener;
import dev.lavenderline.serving.online.CallContext;
import dev.lavenderline.serving.online.EventStreamParser;
import dev.lavenderline.serving.online.SendFailure;
import dev.lavenderline.serving.online.StreamEvent;
import dev.lavenderline.serving.online.UpstreamCall;
import dev.lavenderline.serving.online.UpstreamExchange;
import dev.lavenderline.serving.slots.ItemExecutor;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.LeaseEnd;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Runs items that the scheduler assigned and keeps the text of cancelled runs, from which a later run continues.
 *
 * <p>Invariant: a text consists of events with consecutive ids, each from a run that was asked to continue after the one
 * before. Not thread-safe; confined to the event loop.
 */
public final class ItemRunner implements ItemExecutor {
    private static final int UNPROCESSABLE = 422;
    private static final int SUCCESS = 200;
    private static final int FAILED = 500;

    /** Silence after which a run is given up: far above the pause between events, 25 ms, and a wait for a slot. */
    private static final Duration SILENCE = Duration.ofMillis(1500);

    private static final Duration SILENCE_CHECK = Duration.ofMillis(500);

    private final CallContext context;
    private final JobLedger ledger;
    private final JobStore store;
    private final Map<Long, Run> runs = new HashMap<>();
    private final Map<ItemRef, Text> texts = new HashMap<>();

    /** What an item has generated so far. */
    private static final class Text {
        final List<String> events = new ArrayList<>();
        OptionalLong lastEvent = OptionalLong.empty();
    }

    public ItemRunner(CallContext context, JobLedger ledger, JobStore store) {
        this.context = context;
        this.ledger = ledger;
        this.store = store;
        ledger.onResult(this::settled);
        ledger.onEnded(this::ended);
    }

    private void settled(ItemResult result) {
        texts.remove(new ItemRef(result.getJob(), result.getItem()));
    }

    private void ended(Job job) {
        List.copyOf(runs.values()).stream()
                .filter(run -> run.item.job().equals(job.id()))
                .forEach(run -> run.stop(LeaseEnd.CANCELLED, false));
        texts.keySet().removeIf(item -> item.job().equals(job.id()));
    }

    /** Returns the number of items that run here. */
    public int running() {
        return runs.size();
    }

    /** Cancels all runs because the process stops. */
    public void stopAll() {
        List.copyOf(runs.values()).forEach(run -> run.stop(LeaseEnd.NODE_DECLINED, false));
    }

    @Override
    public void run(long lease, String upstreamId, ItemRef ref) {
        Optional<Job> job = ledger.find(ref.job());
        Optional<JobItem> item = job.flatMap(known -> known.item(ref.index()));
        Optional<Upstream> upstream = context.directory().find(upstreamId);
        if (context.directory().leaving(upstreamId)) {
            context.slots().release(lease, LeaseEnd.UPSTREAM_GONE, kept(ref));
            return;
        }
        if (item.isEmpty() || upstream.isEmpty()) {
            store.refresh(ref.job());
            context.slots().release(lease, LeaseEnd.ITEM_UNKNOWN, 0);
            return;
        }
        if (!job.get().open() || job.get().hasResult(ref.index())) {
            context.slots().release(lease, LeaseEnd.CANCELLED, 0);
            return;
        }
        Run run = new Run(lease, ref, job.get(), item.get(), upstream.get());
        runs.put(lease, run);
        run.start();
    }

    private int kept(ItemRef item) {
        Text text = texts.get(item);
        return text == null ? 0 : text.events.size();
    }

    @Override
    public void preempt(long lease) {
        Run run = runs.get(lease);
        if (run != null) {
            run.stop(LeaseEnd.CANCELLED, true);
        }
    }

    private final class Run implements AnswerListener {
        final long lease;
        final ItemRef item;
        final Job job;
        final JobItem content;
        final Upstream upstream;
        final Text text;
        final EventStreamParser parser = new EventStreamParser(this::event);
        final long startNanos = context.ticker().nanos();
        final int continued;
        long heardNanos = startNanos;
        int status;
        boolean outOfOrder;
        UpstreamExchange exchange;
        Timers.Timer silence;

        Run(long lease, ItemRef item, Job job, JobItem content, Upstream upstream) {
            this.lease = lease;
            this.item = item;
            this.job = job;
            this.content = content;
            this.upstream = upstream;
            this.text = texts.computeIfAbsent(item, ref -> new Text());
            this.continued = text.events.size();
        }

        void start() {
            context.log()
                    .event(
                            ServingEvent.ITEM_STARTED,
                            "job",
                            item.job(),
                            "item",
                            content.getId(),
                            "upstream",
                            upstream.id(),
                            "after",
                            continued);
            MultiMap headers = context.wire().itemHeaders(content, job.host(), upstream.id(), text.lastEvent);
            UpstreamCall call = new UpstreamCall(
                    content.getId(),
                    HttpMethod.POST,
                    content.getPath(),
                    headers,
                    Buffer.buffer(content.getBody().toByteArray()));
            silence = context.timers().every(SILENCE_CHECK, this::checkSilence);
            exchange = context.connections().send(upstream, call, context.wire(), this);
        }

        private void checkSilence() {
            if (context.ticker().nanos() - heardNanos > SILENCE.toNanos()) {
                stop(LeaseEnd.UPSTREAM_UNREACHABLE, true);
            }
        }

        /** Ends the run without a result. */
        void stop(LeaseEnd end, boolean keepText) {
            if (exchange != null) {
                exchange.cancel();
            }
            finish(end, keepText, "stopped");
        }

        private void finish(LeaseEnd end, boolean keepText, String outcome) {
            if (!runs.remove(lease, this)) {
                return;
            }
            silence.cancel();
            int kept = keepText ? text.events.size() : 0;
            if (!keepText || kept == 0) {
                texts.remove(item, text);
            }
            context.metrics().count("lavenderline_item_runs");
            context.log()
                    .event(
                            ServingEvent.ITEM_ENDED,
                            "job",
                            item.job(),
                            "item",
                            content.getId(),
                            "upstream",
                            upstream.id(),
                            "end",
                            end,
                            "outcome",
                            outcome,
                            "events",
                            text.events.size(),
                            "continuedAfter",
                            continued,
                            "ms",
                            (context.ticker().nanos() - startNanos) / 1_000_000);
            context.slots().release(lease, end, kept);
        }

        private void event(StreamEvent event) {
            if (outOfOrder) {
                return;
            }
            boolean follows = text.lastEvent.isEmpty()
                    || event.id().isEmpty()
                    || event.id().getAsLong() == text.lastEvent.getAsLong() + 1;
            if (!follows) {
                outOfOrder = true;
                return;
            }
            text.events.add(event.data());
            text.lastEvent = event.id().isPresent() ? event.id() : text.lastEvent;
        }

        @Override
        public void head(int code, MultiMap headers) {
            heardNanos = context.ticker().nanos();
            status = code;
        }

        @Override
        public void data(Buffer piece) {
            heardNanos = context.ticker().nanos();
            if (status != SUCCESS) {
                return;
            }
            parser.feed(piece);
            if (outOfOrder) {
                exchange.cancel();
                finish(LeaseEnd.ANSWER_LOST, true, "events out of order");
            }
        }

        @Override
        public void end() {
            if (status == UNPROCESSABLE) {
                store.addResult(item, false, "");
                finish(LeaseEnd.COMPLETED, false, "can't be done");
            } else if (status == FAILED) {
                failed();
            } else if (status != SUCCESS) {
                finish(LeaseEnd.ANSWER_LOST, true, "status " + status);
            } else if (parser.partial()) {
                finish(LeaseEnd.ANSWER_LOST, true, "stream ends within an event");
            } else {
                store.addResult(item, true, String.join("\n", text.events));
                finish(LeaseEnd.COMPLETED, false, "completed");
            }
        }

        private void failed() {
            int failures = job.failures(item.index()) + 1;
            if (failures >= job.attempts()) {
                store.addResult(item, false, "");
            } else {
                store.addFailure(item);
            }
            finish(LeaseEnd.ITEM_FAILED, false, "status " + status + ", failure " + failures);
        }

        @Override
        public void failed(SendFailure failure, String message) {
            finish(failure.leaseEnd(), true, failure + " " + message);
        }
    }
}
