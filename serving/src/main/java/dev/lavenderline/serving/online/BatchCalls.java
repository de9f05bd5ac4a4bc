package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.jobs.JobSubmission;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.Route;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Calls about batch jobs: submission, results, bodies, end.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class BatchCalls {
    /** Longest time to accept a job: below the time for which callers wait. */
    private static final Duration ACCEPT_LIMIT = Duration.ofMillis(2500);

    private static final Duration END_LIMIT = Duration.ofMillis(2500);

    /** Time after which a caller may send a job again that was not accepted. */
    private static final Duration RETRY = Duration.ofMillis(700);

    /** Time after which a caller may send a job again that found no room. */
    private static final Duration RETRY_OVER_LIMIT = Duration.ofMillis(1300);

    private final WireFormat wire;
    private final JobLedger ledger;
    private final JobStore store;
    private final Timers timers;
    private final EventLog log;
    private final Map<String, List<Runnable>> readers = new HashMap<>();

    BatchCalls(WireFormat wire, JobLedger ledger, JobStore store, Timers timers, EventLog log) {
        this.wire = wire;
        this.ledger = ledger;
        this.store = store;
        this.timers = timers;
        this.log = log;
        ledger.onResult(this::wake);
    }

    private void wake(ItemResult result) {
        List<Runnable> waiting = readers.remove(result.getJob());
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }

    /** Accepts a job. */
    void submit(Route route, String host, RequestInfo info, Buffer body, CallerAnswer answer) {
        JobSubmission submission;
        try {
            submission = wire.submission(info.id(), body);
        } catch (BadRequestException e) {
            log.event(ServingEvent.JOB_REJECTED, "job", info.id(), "status", 400, "message", e.getMessage());
            answer.own(400, e.getMessage());
            return;
        }
        if (!store.loaded(submission.id())) {
            reject(submission, answer, 503, "not run: jobs have not been read yet", RETRY);
            return;
        }
        Duration limit = info.deadline()
                .map(deadline -> deadline.multipliedBy(6).dividedBy(10))
                .filter(deadline -> deadline.compareTo(ACCEPT_LIMIT) < 0)
                .orElse(ACCEPT_LIMIT);
        store.accept(submission, route, host, limit).onSuccess(acceptance -> {
            switch (acceptance) {
                case ACCEPTED -> {
                    log.event(
                            ServingEvent.JOB_ACCEPTED,
                            "job",
                            submission.id(),
                            "route",
                            route.name(),
                            "items",
                            submission.items().size(),
                            "tokens",
                            submission.tokens());
                    answer.own(202, "accepted");
                }
                case OVER_LIMIT ->
                    reject(
                            submission,
                            answer,
                            429,
                            "not run: " + submission.tokens() + " tokens do not fit, "
                                    + ledger.waitingTokens(route.name()) + " of " + route.maxWaitingTokens() + " wait",
                            RETRY_OVER_LIMIT);
                case NOT_APPENDED -> reject(submission, answer, 503, "not run: the store does not answer", RETRY);
                case UNKNOWN ->
                    reject(submission, answer, 504, "the store does not answer; the job may run", Duration.ZERO);
            }
        });
    }

    private void reject(JobSubmission submission, CallerAnswer answer, int status, String message, Duration retry) {
        log.event(ServingEvent.JOB_REJECTED, "job", submission.id(), "status", status, "message", message);
        answer.own(status, message, retry);
    }

    /** Answers a call about a job. */
    void call(BatchCall call, RequestInfo info, CallerAnswer answer) {
        if (call instanceof BatchCall.End end) {
            end(end, answer);
            return;
        }
        if (ledger.find(call.job()).isPresent()) {
            known(call, info, answer);
            return;
        }
        // Another node may have accepted the job since this node last read the partition.
        store.refresh(call.job())
                .onSuccess(read -> {
                    if (ledger.find(call.job()).isPresent()) {
                        known(call, info, answer);
                    } else {
                        answer.own(404, "no job " + call.job());
                    }
                })
                .onFailure(failure -> answer.own(503, "not run: the store does not answer", RETRY));
    }

    private void known(BatchCall call, RequestInfo info, CallerAnswer answer) {
        Job job = ledger.find(call.job()).orElseThrow();
        if (call instanceof BatchCall.ReadBody body) {
            body(job, body.item(), answer);
        } else if (call instanceof BatchCall.ReadResults read) {
            results(job, read.after(), info.longestWait(), answer);
        }
    }

    private void body(Job job, String itemId, CallerAnswer answer) {
        int index = job.indexOf(itemId);
        if (index < 0) {
            answer.own(404, "no item " + itemId + " in job " + job.id());
            return;
        }
        answer.bytes(Buffer.buffer(job.item(index).orElseThrow().getBody().toByteArray()));
    }

    private void results(Job job, int after, Duration wait, CallerAnswer answer) {
        boolean nothing = job.resultsFrom(after).isEmpty() && job.open();
        if (!nothing || wait.isZero()) {
            answer.json(wire.results(job, after));
            return;
        }
        List<Runnable> waiting = readers.computeIfAbsent(job.id(), id -> new ArrayList<>());
        Runnable reply = () -> answer.json(wire.results(job, after));
        waiting.add(reply);
        timers.after(wait, () -> {
            Optional.ofNullable(readers.get(job.id())).ifPresent(some -> {
                some.remove(reply);
                if (some.isEmpty()) {
                    readers.remove(job.id());
                }
            });
            reply.run();
        });
    }

    private void end(BatchCall.End end, CallerAnswer answer) {
        store.refresh(end.job())
                .compose(read -> store.end(end.job(), END_LIMIT))
                .recover(failure -> Future.succeededFuture(false))
                .onSuccess(done -> {
                    if (done) {
                        log.event(ServingEvent.JOB_ENDED, "job", end.job());
                        answer.own(200, "ended");
                    } else {
                        answer.own(503, "the store does not answer", RETRY);
                    }
                });
    }
}
