package dev.lavenderline.node.jobs;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.admission.AttemptFailure;
import dev.lavenderline.core.admission.BatchAction;
import dev.lavenderline.core.admission.BatchJob;
import dev.lavenderline.core.admission.BatchScheduler;
import dev.lavenderline.core.admission.ItemRef;
import dev.lavenderline.core.admission.ItemResolution;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.ledger.BatchFile;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkEvent;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.http.ModelRequest;
import dev.lavenderline.log.LogError;
import dev.lavenderline.node.NodeEvent;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.JobClosed;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Runs the items of the jobs that this node holds and records their results.
 *
 * <p>Invariants: the body of a request is written only while the last read of the tail of the stream {@code work} is at
 * most {@link #MAX_TAIL_AGE} old and this node holds the current claim of its job. This is checked once more after the
 * head is written, because the process may have been suspended since the item was chosen. A result is final only when
 * it is applied from the log. Not thread-safe; confined to the node's event loop.
 */
final class JobRunner {
    /** Largest age of the last tail read; unread records may hold a cancellation or a newer claim. */
    static final Duration MAX_TAIL_AGE = Duration.ofSeconds(1);

    private final LogStream<WorkLedger> work;
    private final JobContent content;
    private final BatchScheduler scheduler;
    private final ItemExecutor executor;
    private final ResultWriter resultWriter;
    private final JobClaims claims;
    private final Supplier<FleetConfig> config;
    private final BiConsumer<String, Integer> inFlightListener;
    private final Settings settings;
    private final Ticker ticker;
    private final Map<ItemRef, RunningItem> running = new HashMap<>();
    /** Answers of items preempted by online requests; few, because such items restart first. */
    private final Map<ItemRef, ItemExecutor.PartialAnswer> partialAnswers = new HashMap<>();

    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> closeRequestedAt = new HashMap<>();
    private final Set<String> openJobIds = new HashSet<>();
    private long startedRuns;
    private boolean draining;

    /**
     * Settings of the runner.
     *
     * @param incarnation id of this run of the node
     * @param logTimeout longest wait for the acknowledgement of a record
     */
    record Settings(String incarnation, Duration logTimeout) {}

    JobRunner(
            LogStream<WorkLedger> work,
            JobContent content,
            BatchScheduler scheduler,
            ItemExecutor executor,
            JobClaims claims,
            Supplier<FleetConfig> config,
            BiConsumer<String, Integer> inFlightListener,
            Settings settings,
            Ticker ticker) {
        this.work = work;
        this.content = content;
        this.scheduler = scheduler;
        this.executor = executor;
        this.claims = claims;
        this.config = config;
        this.inFlightListener = inFlightListener;
        this.settings = settings;
        this.ticker = ticker;
        this.resultWriter = new ResultWriter(work.writer(), this::rerunDropped);
    }

    /** Opens the jobs that this node holds; call once, after the log has been read to its end. */
    void start() {
        openHeldJobs();
    }

    /** Handles an event of the work ledger. */
    void onEvent(WorkEvent event) {
        if (event instanceof WorkEvent.JobClaimChanged changed) {
            claimChanged(changed);
        } else if (event instanceof WorkEvent.JobCancelled cancelled) {
            closeJob(cancelled.jobId());
        } else if (event instanceof WorkEvent.JobEnded ended) {
            logJobEnd(ended);
            closeJob(ended.jobId());
            claims.jobEnded(ended.jobId());
        } else if (event instanceof WorkEvent.ItemsDone done) {
            claims.resultRecorded(done.jobId());
            if (openJobIds.contains(done.jobId())) {
                done.indexes().forEach(index -> scheduler.completedElsewhere(new ItemRef(done.jobId(), index)));
            }
        } else if (event instanceof WorkEvent.Restored) {
            Set.copyOf(openJobIds).forEach(this::closeJob);
            openHeldJobs();
        }
    }

    private void openHeldJobs() {
        for (Job job : work.ledger().openJobs()) {
            if (job.holder().equals(settings.incarnation())) {
                openJob(job);
            }
        }
    }

    /** Logs the end of a job on the node that held it last. */
    private void logJobEnd(WorkEvent.JobEnded ended) {
        Optional<Job> found = work.ledger().job(ended.jobId());
        if (found.isEmpty() || !found.get().holder().equals(settings.incarnation())) {
            return;
        }
        Job job = found.get();
        int remaining = job.items() - job.done();
        switch (ended.state()) {
            case COMPLETED -> NodeEvent.JOB_COMPLETED.log(job.id(), job.items(), job.failed());
            case CANCELLED -> NodeEvent.JOB_CANCELLED.log(job.id(), remaining, job.items());
            case EXPIRED -> NodeEvent.JOB_CLOSED.log(job.id(), job.closedReason(), remaining, job.items());
            case IN_PROGRESS -> {}
        }
    }

    private void claimChanged(WorkEvent.JobClaimChanged changed) {
        if (openJobIds.contains(changed.jobId()) && !changed.holder().isEmpty()) {
            NodeEvent.JOB_CLAIM_LOST.log(changed.jobId(), changed.holder(), changed.claim());
        }
        closeJob(changed.jobId());
        if (changed.holder().equals(settings.incarnation())) {
            work.ledger().job(changed.jobId()).filter(Job::isOpen).ifPresent(this::openJob);
        }
    }

    private void openJob(Job job) {
        NodeEvent.JOB_CLAIMED.log(job.id(), job.claim(), job.items() - job.done(), job.items());
        BitSet done = new BitSet(job.items());
        for (int item = 0; item < job.items(); item++) {
            if (job.isDone(item)) {
                done.set(item);
            }
        }
        openJobIds.add(job.id());
        scheduler.open(new BatchJob(job.id(), job.workspace(), job.deployment(), job.deadline(), job.items()), done);
    }

    private void closeJob(String jobId) {
        if (openJobIds.remove(jobId)) {
            scheduler.close(jobId);
            resultWriter.discard(jobId);
            closeRequestedAt.remove(jobId);
            partialAnswers.keySet().removeIf(item -> item.jobId().equals(jobId));
        }
    }

    /** Starts and cancels items; call about every 5 ms and at once after a change of grants or online load. */
    void tick() {
        scheduler.mayStart(!draining && work.isFresh(MAX_TAIL_AGE));
        for (BatchAction action : scheduler.tick()) {
            if (action instanceof BatchAction.Start start) {
                start(start);
            } else if (action instanceof BatchAction.Cancel cancel) {
                cancel(cancel.item());
            }
        }
    }

    /** Writes buffered results to the log; call about every 50 ms. */
    void flush() {
        resultWriter.flush(jobId -> work.ledger().job(jobId).map(Job::claim).orElse(0L));
    }

    /** Closes jobs whose deadline has passed; call about once a second. */
    void closeExpired() {
        Instant now = ticker.now();
        for (String jobId : Set.copyOf(openJobIds)) {
            Optional<Job> job = work.ledger().job(jobId).filter(Job::isOpen);
            if (job.isPresent() && job.get().deadline().isBefore(now) && mayClose(jobId)) {
                closeRequestedAt.put(jobId, ticker.nanos());
                Entry entry = Entry.newBuilder()
                        .setJobClosed(JobClosed.newBuilder()
                                .setJobId(jobId)
                                .setClaim(job.get().claim())
                                .setReason("deadline passed"))
                        .build();
                work.append(entry, settings.logTimeout()).subscribe().with(result -> {});
            }
        }
    }

    private boolean mayClose(String jobId) {
        Long last = closeRequestedAt.get(jobId);
        return last == null || ticker.nanos() - last > settings.logTimeout().toNanos() * 2;
    }

    /** Stops starting items; those in flight continue. */
    void drain() {
        draining = true;
    }

    boolean isActive() {
        return !openJobIds.isEmpty() || !running.isEmpty();
    }

    /** Returns the number of items in flight plus the number of results that are not acknowledged. */
    int unfinished() {
        return running.size() + resultWriter.pending();
    }

    /** Cancels all items in flight. */
    void stop() {
        Set.copyOf(running.keySet()).forEach(this::cancel);
    }

    BatchScheduler scheduler() {
        return scheduler;
    }

    private void start(BatchAction.Start action) {
        ItemRef item = action.item();
        RunningItem run = new RunningItem(action.upstream());
        running.put(item, run);
        changeInFlight(action.upstream(), 1);
        Optional<Job> job = work.ledger().job(item.jobId()).filter(Job::isOpen);
        Optional<BatchFile> file = job.flatMap(found -> work.ledger().file(found.fileId()));
        if (file.isEmpty()) {
            removeRunning(item, run);
            scheduler.failed(item, AttemptFailure.CANCELLED);
            return;
        }
        var location = file.get().chunkOf(item.index());
        content.chunk(location)
                .subscribe()
                .with(chunk ->
                        send(item, run, job.get(), chunk, item.index() - location.firstItem(), action.attempt()));
    }

    private void send(
            ItemRef item, RunningItem run, Job job, Either<LogError, FileChunk> chunk, int line, int attempt) {
        if (running.get(item) != run) {
            return;
        }
        Upstream upstream = config.get().upstreams().get(run.upstream);
        if (chunk.isLeft() || upstream == null || !mayRun(job)) {
            removeRunning(item, run);
            scheduler.failed(item, AttemptFailure.NOT_SENT);
            return;
        }
        Either<String, InputFile.Line> parsed = JobContent.line(chunk.get(), line);
        Either<ItemResult, ModelRequest> request = parsed.isLeft()
                ? Either.left(ItemExecutor.error(item.index(), "", 0, "invalid_line", parsed.getLeft()))
                : ItemExecutor.parse(item.index(), parsed.get(), job.endpoint());
        if (request.isLeft()) {
            complete(item, run, request.getLeft());
            return;
        }
        String requestId = item.jobId() + "-" + item.index() + "-" + settings.incarnation() + "-" + startedRuns++;
        run.execution = executor.run(
                upstream,
                requestId,
                item.index(),
                parsed.get().customId(),
                request.get(),
                partialAnswers.getOrDefault(item, ItemExecutor.PartialAnswer.EMPTY),
                attempt > 1,
                () -> mayRun(job),
                new ItemListener(item, run));
    }

    private boolean mayRun(Job job) {
        return job.isOpen() && job.holder().equals(settings.incarnation()) && work.isFresh(MAX_TAIL_AGE);
    }

    private void complete(ItemRef item, RunningItem run, ItemResult result) {
        removeRunning(item, run);
        partialAnswers.remove(item);
        if (scheduler.finished(item)) {
            resultWriter.add(item.jobId(), result);
        }
    }

    private void cancel(ItemRef item) {
        RunningItem run = running.get(item);
        if (run == null) {
            return;
        }
        if (run.execution != null) {
            ItemExecutor.PartialAnswer partial = run.execution.cancel();
            if (partial.tokens() > 0 && openJobIds.contains(item.jobId())) {
                partialAnswers.put(item, partial);
            }
        }
        removeRunning(item, run);
        scheduler.failed(item, AttemptFailure.CANCELLED);
    }

    private void removeRunning(ItemRef item, RunningItem run) {
        if (running.remove(item, run)) {
            changeInFlight(run.upstream, -1);
        }
    }

    private void changeInFlight(String upstream, int change) {
        int items = inFlight.merge(upstream, change, Integer::sum);
        inFlightListener.accept(upstream, items);
    }

    /** Reruns an item whose result could not be buffered or recorded. */
    private void rerunDropped(String jobId, ItemResult result) {
        NodeEvent.RESULT_DROPPED.log(result.getIndex(), jobId);
        if (openJobIds.contains(jobId)) {
            scheduler.reopen(new ItemRef(jobId, result.getIndex()));
        }
    }

    private static final class RunningItem {
        private final String upstream;
        private ItemExecutor.Run execution;

        private RunningItem(String upstream) {
            this.upstream = upstream;
        }
    }

    private final class ItemListener implements ItemExecutor.Listener {
        private final ItemRef item;
        private final RunningItem run;

        private ItemListener(ItemRef item, RunningItem run) {
            this.item = item;
            this.run = run;
        }

        @Override
        public void firstToken() {
            scheduler.firstToken(item);
        }

        @Override
        public void done(ItemResult result) {
            complete(item, run, result);
        }

        @Override
        public void failed(AttemptFailure failure, ItemResult errorResult) {
            removeRunning(item, run);
            partialAnswers.remove(item);
            ItemResolution resolution = scheduler.failed(item, failure);
            boolean isFinal = resolution == ItemResolution.REFUSED || resolution == ItemResolution.ATTEMPTS_EXHAUSTED;
            if (isFinal) {
                resultWriter.add(item.jobId(), errorResult);
            }
        }
    }
}
