package dev.lavenderline.serving.online;

import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobIds;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobLookup;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.jobs.JobSubmission;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.workspaces.Caller;
import dev.lavenderline.serving.workspaces.WorkspaceMetrics;
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
    /** Time within which requests about jobs end, besides the wait of a long poll. */
    static final Duration CALL_TIMEOUT = Duration.ofMillis(2500);

    /** Below the time for which callers wait for the acknowledgement of a job. */
    private static final Duration ACCEPT_TIMEOUT = CALL_TIMEOUT;

    private static final Duration CANCEL_TIMEOUT = CALL_TIMEOUT;

    /** Retry delay while jobs can't be read from or written to the store. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);

    /** Retry delay for a job that exceeds the route's limit on waiting tokens. */
    private static final Duration OVER_LIMIT_RETRY_DELAY = Duration.ofMillis(1300);

    private final WireFormat wire;
    private final JobLedger ledger;
    private final JobLookup lookup;
    private final JobStore store;
    private final Timers timers;
    private final EventLog log;
    private final WorkspaceMetrics metrics;
    private final Map<String, List<Runnable>> waitingReaders = new HashMap<>();

    BatchCallHandler(CallContext context, JobLedger ledger, JobLookup lookup, JobStore store, Timers timers) {
        this.wire = context.wire();
        this.log = context.log();
        this.metrics = context.metrics().workspaces();
        this.ledger = ledger;
        this.lookup = lookup;
        this.store = store;
        this.timers = timers;
        ledger.onResult(this::notifyWaiting);
    }

    private void notifyWaiting(ItemResult result) {
        List<Runnable> waiting = waitingReaders.remove(result.getJob());
        if (waiting != null) {
            waiting.forEach(reply -> FailureGuard.run(log, reply, "job", result.getJob()));
        }
    }

    /** Submits a job and responds with the outcome. */
    void submit(Route route, String host, Caller caller, RequestInfo info, Buffer body, CallerResponse response) {
        JobSubmission submission;
        try {
            submission = wire.parseSubmission(info.id(), body).by(caller);
        } catch (BadRequestException e) {
            log.event(ServingEvent.JOB_REJECTED, "job", info.id(), "status", 400, "message", e.getMessage());
            response.sendText(400, e.getMessage());
            return;
        }
        if (!store.loaded(submission.id())) {
            reject(submission, response, 503, "not run: jobs have not been read yet", RETRY_DELAY);
            return;
        }
        JobLookup.Finding earlier = lookup.find(info.id(), caller);
        if (earlier.ownerUncertain()) {
            reject(submission, response, 503, "not run: the owner of the job can't be checked", RETRY_DELAY);
            return;
        }
        if (earlier.job().filter(submission::hasItemsOf).isPresent()) {
            sendAccepted(response);
            return;
        }
        Duration timeout = info.timeout()
                .map(callerTimeout -> callerTimeout.multipliedBy(6).dividedBy(10))
                .filter(acceptTimeout -> acceptTimeout.compareTo(ACCEPT_TIMEOUT) < 0)
                .orElse(ACCEPT_TIMEOUT);
        store.accept(submission, route, host, timeout).onSuccess(acceptance -> {
            switch (acceptance) {
                case ACCEPTED -> {
                    if (belongsToAnother(submission.id(), caller)) {
                        reject(submission, response, 409, "the id is that of another job", Duration.ZERO);
                        return;
                    }
                    log.event(
                            ServingEvent.JOB_ACCEPTED,
                            "job",
                            submission.id(),
                            "route",
                            route.name(),
                            "workspace",
                            caller.workspaceName().orElse(null),
                            "items",
                            submission.items().size(),
                            "tokens",
                            submission.tokens());
                    sendAccepted(response);
                }
                case OVER_LIMIT -> {
                    metrics.rejected(caller, WorkspaceMetrics.Rejection.QUOTA);
                    reject(
                            submission,
                            response,
                            429,
                            "not run: " + submission.tokens() + " tokens do not fit, "
                                    + ledger.waitingTokens(route.name(), caller.workspace()) + " of "
                                    + route.maxWaitingTokens() + " wait",
                            OVER_LIMIT_RETRY_DELAY);
                }
                case NOT_APPENDED ->
                    reject(submission, response, 503, "not run: the store does not answer", RETRY_DELAY);
                case UNKNOWN ->
                    reject(submission, response, 504, "the store does not answer; the job may run", Duration.ZERO);
            }
        });
    }

    /**
     * Returns whether an internal id is that of another workspace's job: a caller can choose an internal id once no
     * workspaces are configured any more.
     */
    private boolean belongsToAnother(String id, Caller caller) {
        return ledger.find(id)
                .filter(job -> !job.workspace().equals(caller.workspace()))
                .isPresent();
    }

    private void reject(
            JobSubmission submission, CallerResponse response, int status, String message, Duration retryAfter) {
        log.event(ServingEvent.JOB_REJECTED, "job", submission.id(), "status", status, "message", message);
        response.sendText(status, message, retryAfter);
    }

    /** Responds to the submission of a job that is accepted. */
    void sendAccepted(CallerResponse response) {
        response.sendText(202, "accepted");
    }

    /** Handles a request about a job of its caller. */
    void handle(Job job, BatchCall call, RequestInfo info, CallerResponse response) {
        if (call instanceof BatchCall.Cancel) {
            cancel(job.id(), response);
        } else if (call instanceof BatchCall.ReadBody read) {
            sendBody(job, read, response);
        } else if (call instanceof BatchCall.ReadResults read) {
            sendResults(job, read.after(), info.maxWait(), response);
        }
    }

    /**
     * Handles a request about a job that does not exist for its caller. Its end is recorded, whether it exists for
     * others or not, because the submission may be on its way, for example in the socket of a suspended node.
     */
    void handleUnknown(BatchCall call, Caller caller, CallerResponse response) {
        String id = JobIds.internal(call.job(), caller.workspace());
        if (call instanceof BatchCall.Cancel && !belongsToAnother(id, caller)) {
            cancel(id, response);
        } else {
            notFound(call, response);
        }
    }

    private static void notFound(BatchCall call, CallerResponse response) {
        response.sendText(404, "no job " + call.job());
    }

    private void sendBody(Job job, BatchCall.ReadBody call, CallerResponse response) {
        int index = job.indexOf(call.item());
        if (index < 0) {
            response.sendText(404, "no item " + call.item() + " in job " + call.job());
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

    private void cancel(String id, CallerResponse response) {
        store.cancel(id, CANCEL_TIMEOUT)
                .recover(failure -> Future.succeededFuture(false))
                .onSuccess(cancelled -> {
                    if (cancelled) {
                        log.event(ServingEvent.JOB_ENDED, "job", id);
                        response.sendText(200, "ended");
                    } else {
                        response.sendText(503, "the end was not recorded", RETRY_DELAY);
                    }
                });
    }
}
