package dev.lavenderline.node.jobs;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.admission.BatchScheduler;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkEvent;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.http.BatchApi;
import dev.lavenderline.http.UpstreamClient;
import dev.lavenderline.log.LogService;
import dev.lavenderline.log.RecordReader;
import dev.lavenderline.node.cluster.Cluster;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.node.supervisor.Component;
import dev.lavenderline.node.supervisor.GuardedTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * The batch component of a node: the API for callers, job claims and the execution of items.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class Jobs implements Component {
    private static final Duration FLUSH_PERIOD = Duration.ofMillis(50);
    private static final Duration CLAIM_CHECK_PERIOD = Duration.ofMillis(200);
    private static final Duration DEADLINE_CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration MAX_REPUBLISH_PERIOD = Duration.ofMinutes(1);
    private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

    private final LogStream<WorkLedger> work;
    private final JobService service;
    private final JobClaims claims;
    private final JobRunner runner;
    private final Republisher republisher;
    private final GuardedTimers timers;
    private final Options options;

    /**
     * Settings of the batch component.
     *
     * @param incarnation id of this run of the node
     * @param region region of the host
     * @param logTimeout longest wait for the acknowledgement of a record
     * @param logRetention how long the log keeps a record
     * @param firstTokenTimeout longest time until an item's first token
     * @param stallTimeout longest time between two tokens of an item
     */
    public record Options(
            String incarnation,
            String region,
            Duration logTimeout,
            Duration logRetention,
            Duration firstTokenTimeout,
            Duration stallTimeout) {}

    public Jobs(
            Vertx vertx,
            LogStream<WorkLedger> work,
            LogService log,
            RecordReader reader,
            BatchScheduler scheduler,
            UpstreamClient client,
            Cluster cluster,
            Supplier<FleetConfig> config,
            BiConsumer<String, Integer> inFlightListener,
            Options options,
            GuardedTimers timers,
            Ticker ticker) {
        this.work = work;
        this.timers = timers;
        this.options = options;
        JobContent content = new JobContent(reader);
        this.service = new JobService(
                work,
                content,
                config,
                new JobService.Settings(options.region(), options.logTimeout()),
                vertx,
                timers,
                ticker);
        this.claims = new JobClaims(
                work,
                options.incarnation(),
                cluster::isLive,
                // Nodes of the region that accepted a job claim it first, because a holder prefers engines of its own
                // region.
                job -> cluster.rank(job.id(), job.region()),
                options.logTimeout(),
                ticker);
        this.runner = new JobRunner(
                work,
                content,
                scheduler,
                new ItemExecutor(client, options.firstTokenTimeout(), options.stallTimeout(), ticker),
                claims,
                config,
                inFlightListener,
                new JobRunner.Settings(options.incarnation(), options.logTimeout()),
                ticker);
        this.republisher = new Republisher(
                work,
                log,
                content,
                options.incarnation(),
                cluster::isLive,
                cluster::rank,
                options.logRetention(),
                options.logTimeout(),
                ticker);
    }

    /** Returns the batch API for callers. */
    public BatchApi api() {
        return service;
    }

    /** Handles an event of the work ledger. */
    public void onEvent(WorkEvent event) {
        runner.onEvent(event);
    }

    /** Returns whether this node holds jobs or has items in flight. */
    public boolean isActive() {
        return runner.isActive();
    }

    /** Starts and cancels items; call about every 5 ms while active. */
    public void schedule() {
        runner.tick();
    }

    @Override
    public Uni<Void> start() {
        runner.start();
        timers.every(FLUSH_PERIOD, runner::flush);
        timers.every(CLAIM_CHECK_PERIOD, claims::check);
        timers.every(DEADLINE_CHECK_PERIOD, runner::closeExpired);
        timers.every(republishPeriod(), republisher::check);
        return Uni.createFrom().voidItem();
    }

    private Duration republishPeriod() {
        Duration period = options.logRetention().dividedBy(32);
        return period.compareTo(MAX_REPUBLISH_PERIOD) < 0 ? period : MAX_REPUBLISH_PERIOD;
    }

    /**
     * Stops starting items, waits until the results of those in flight are recorded, then releases this node's jobs.
     *
     * @param limit time after which items in flight are cancelled; the next holder runs them again
     */
    public Uni<Void> drain(Duration limit) {
        runner.drain();
        Uni<Void> idle = Uni.createFrom().emitter(emitter -> {
            Timers.Timer[] check = new Timers.Timer[1];
            Timers.Timer timeout = timers.after(limit, () -> {
                check[0].cancel();
                runner.stop();
                emitter.complete(null);
            });
            check[0] = timers.every(DRAIN_CHECK_PERIOD, () -> {
                if (runner.unfinished() == 0) {
                    check[0].cancel();
                    timeout.cancel();
                    emitter.complete(null);
                }
            });
        });
        return idle.chain(claims::release);
    }

    @Override
    public Uni<Void> stop() {
        timers.cancelAll();
        runner.stop();
        return Uni.createFrom().voidItem();
    }

    @Override
    public Map<String, Object> state() {
        List<Map<String, Object>> owned = new ArrayList<>();
        for (Job job : work.ledger().openJobs()) {
            if (job.holder().equals(options.incarnation())) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("id", job.id());
                entry.put("claim", job.claim());
                entry.put("items", job.items());
                entry.put("done", job.done());
                entry.put("failed", job.failed());
                entry.put("deadline", job.deadline().toString());
                owned.add(entry);
            }
        }
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("owned", owned);
        state.put("unfinished", runner.unfinished());
        state.put("republished", republisher.republished());
        state.put("open_jobs", work.ledger().openJobs().size());
        return state;
    }
}
