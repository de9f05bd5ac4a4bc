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
 * Handles requests about batch jobs: submits and cancels jobs, returns results and item bodies.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class BatchCallHandler {
    /** Below the time for which callers wait for the acknowledgement of a job. */
    private static final Duration ACCEPT_TIMEOUT = Duration.ofMillis(2500);

    private static final Duration CANCEL_TIMEOUT = Duration.ofMillis(2500);

    /** Retry delay while jobs can't be read from or written to the store. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);

    /** Retry delay for a job that exceeds the route's limit on waiting tokens. */
    private static final Duration OVER_LIMIT_RETRY_DELAY = Duration.ofMillis(1300);

    private final WireFormat wire;
    private final JobLedger ledger;
    private final JobStore store;
    private final Timers timers;
    private final EventLog log;
    private final Map<String, List<Runnable>> waitingReaders = new HashMap<>();

    BatchCallHandler(WireFormat wire, JobLedger ledger, JobStore store, Timers timers, EventLog log) {
        this.wire = wire;
        this.ledger = ledger;
        this.store = store;
        this.timers = timers;
        this.log = log;
        ledger.onResult(this::notifyWaiting);
    }

    private void notifyWaiting(ItemResult result) {
        List<Runnable> waiting = waitingReaders.remove(result.getJob());
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }

    /** Submits a job and responds with the outcome. */
    void submit(Route route, String host, RequestInfo info, Buffer body, CallerResponse response) {
        JobSubmission submission;
        try {
            submission = wire.parseSubmission(info.id(), body);
        } catch (BadRequestException e) {
            log.event(ServingEvent.JOB_REJECTED, "job", info.id(), "status", 400, "message", e.getMessage());
            response.sendText(400, e.getMessage());
            return;
        }
        if (!store.loaded(submission.id())) {
            reject(submission, response, 503, "not run: jobs have not been read yet", RETRY_DELAY);
            return;
        }
        Duration timeout = info.timeout()
                .map(callerTimeout -> callerTimeout.multipliedBy(6).dividedBy(10))
                .filter(acceptTimeout -> acceptTimeout.compareTo(ACCEPT_TIMEOUT) < 0)
                .orElse(ACCEPT_TIMEOUT);
        store.accept(submission, route, host, timeout).onSuccess(acceptance -> {
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
                    response.sendText(202, "accepted");
                }
                case OVER_LIMIT ->
                    reject(
                            submission,
                            response,
                            429,
                            "not run: " + submission.tokens() + " tokens do not fit, "
                                    + ledger.waitingTokens(route.name()) + " of " + route.maxWaitingTokens() + " wait",
                            OVER_LIMIT_RETRY_DELAY);
                case NOT_APPENDED ->
                    reject(submission, response, 503, "not run: the store does not answer", RETRY_DELAY);
                case UNKNOWN ->
                    reject(submission, response, 504, "the store does not answer; the job may run", Duration.ZERO);
            }
        });
    }

    private void reject(
            JobSubmission submission, CallerResponse response, int status, String message, Duration retryAfter) {
        log.event(ServingEvent.JOB_REJECTED, "job", submission.id(), "status", status, "message", message);
        response.sendText(status, message, retryAfter);
    }

    /** Handles a request about an accepted job. */
    void handle(BatchCall call, RequestInfo info, CallerResponse response) {
        if (call instanceof BatchCall.Cancel cancel) {
            cancel(cancel, response);
            return;
        }
        if (ledger.find(call.job()).isPresent()) {
            handleKnownJob(call, info, response);
            return;
        }
        // Another node may have accepted the job since this node last read the partition.
        store.refresh(call.job())
                .onSuccess(read -> {
                    if (ledger.find(call.job()).isPresent()) {
                        handleKnownJob(call, info, response);
                    } else {
                        response.sendText(404, "no job " + call.job());
                    }
                })
                .onFailure(failure -> response.sendText(503, "not run: the store does not answer", RETRY_DELAY));
    }

    private void handleKnownJob(BatchCall call, RequestInfo info, CallerResponse response) {
        Job job = ledger.find(call.job()).orElseThrow();
        if (call instanceof BatchCall.ReadBody read) {
            sendBody(job, read.item(), response);
        } else if (call instanceof BatchCall.ReadResults read) {
            sendResults(job, read.after(), info.maxWait(), response);
        }
    }

    private void sendBody(Job job, String itemId, CallerResponse response) {
        int index = job.indexOf(itemId);
        if (index < 0) {
            response.sendText(404, "no item " + itemId + " in job " + job.id());
            return;
        }
        store.item(job, index)
                .onSuccess(
                        item -> response.sendBytes(Buffer.buffer(item.getBody().toByteArray())))
                .onFailure(failure -> response.sendText(503, "not run: the store does not answer", RETRY_DELAY));
    }

    private void sendResults(Job job, int after, Duration wait, CallerResponse response) {
        boolean nothingNew = job.resultsFrom(after).isEmpty() && job.open();
        if (!nothingNew || wait.isZero()) {
            sendAvailableResults(job, after, response);
            return;
        }
        List<Runnable> waiting = waitingReaders.computeIfAbsent(job.id(), id -> new ArrayList<>());
        Timers.Timer[] timeout = new Timers.Timer[1];
        Runnable reply = () -> {
            timeout[0].cancel();
            sendAvailableResults(job, after, response);
        };
        waiting.add(reply);
        timeout[0] = timers.after(wait, () -> {
            Optional.ofNullable(waitingReaders.get(job.id())).ifPresent(replies -> {
                replies.remove(reply);
                if (replies.isEmpty()) {
                    waitingReaders.remove(job.id());
                }
            });
            reply.run();
        });
    }

    private void sendAvailableResults(Job job, int after, CallerResponse response) {
        store.results(job, after)
                .onSuccess(results -> response.sendJson(wire.encodeResults(job, after, results)))
                .onFailure(failure -> response.sendText(503, "not run: the store does not answer", RETRY_DELAY));
    }

    private void cancel(BatchCall.Cancel call, CallerResponse response) {
        store.refresh(call.job())
                .compose(read -> store.cancel(call.job(), CANCEL_TIMEOUT))
                .recover(failure -> Future.succeededFuture(false))
                .onSuccess(done -> {
                    if (done) {
                        log.event(ServingEvent.JOB_ENDED, "job", call.job());
                        response.sendText(200, "ended");
                    } else {
                        response.sendText(503, "the store does not answer", RETRY_DELAY);
                    }
                });
    }
}
