package dev.lavenderline.serving.online;

import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobIds;
import dev.lavenderline.serving.jobs.JobLookup;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.jobs.JobSubmission;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.workspaces.Caller;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Answers requests about jobs that have been accepted. Who owns a job, and that it was accepted, was decided then: the
 * routes, hosts and limits of a later configuration apply only to requests about which nothing is known.
 *
 * <p>Invariant: each method either answers the request or runs the fallback that it was given, once. Not thread-safe;
 * confined to the event loop.
 */
final class EarlierWork {
    /**
     * Time since the store's last response within which requests that hardly ever repeat a submission are taken to
     * repeat none if this node has not read its job. The store holds a poll for up to a second.
     */
    private static final Duration MAX_READ_AGE = Duration.ofMillis(1500);

    private static final Duration CALL_TIMEOUT = BatchCallHandler.CALL_TIMEOUT;

    /** Time limit of reads on whose result a request hardly ever depends. */
    private static final Duration QUICK_TIMEOUT = Duration.ofMillis(250);

    private static final Duration RETRY_DELAY = Duration.ofMillis(700);

    private final CallContext context;
    private final CallerAdmission admission;
    private final BatchCallHandler batch;
    private final JobLookup lookup;
    private final JobStore store;

    /**
     * A request whose target may be that of earlier work. Immutable.
     *
     * @param host value of the Host header
     * @param mayBeSubmission returns whether its body, as far as it has been received, may be that of a job
     */
    record Call(
            HttpMethod method,
            String host,
            RequestInfo info,
            FleetConfig config,
            BooleanSupplier mayBeSubmission,
            CallerResponse response) {}

    EarlierWork(
            CallContext context, CallerAdmission admission, BatchCallHandler batch, JobLookup lookup, JobStore store) {
        this.context = context;
        this.admission = admission;
        this.batch = batch;
        this.lookup = lookup;
        this.store = store;
    }

    /**
     * Answers a call about a job.
     *
     * @param routed whether a route matches the call as well, which has it unless the job is known
     * @param byRoute handles the call by the routes; run if no job is known and a route matches, or the host has none
     */
    void answerJobCall(BatchCall batchCall, Call call, boolean routed, Runnable byRoute) {
        if (routed && admission.identify(call.config(), call.info()).isEmpty()) {
            byRoute.run();
            return;
        }
        Optional<Caller> caller = admission.admit(call.config(), call.info(), "", false, call.response());
        if (caller.isEmpty()) {
            return;
        }
        boolean hostKnown = call.config().hasHost(call.host());
        Runnable unreadable = () -> rejectUnreadable(call);
        find(batchCall.job(), caller.get(), Duration.ZERO, CALL_TIMEOUT, call, unreadable, finding -> {
            if (finding.job().isPresent()) {
                batch.handle(finding.job().get(), batchCall, call.info(), call.response());
            } else if (finding.ownerUncertain()) {
                rejectUncertainOwner(call);
            } else if (routed || !hostKnown) {
                byRoute.run();
            } else {
                batch.handleUnknown(batchCall, caller.get(), call.response());
            }
        });
    }

    /**
     * Answers a submission that the configuration does not admit if it repeats that of an accepted job. The id is all
     * that is compared, so that the body does not have to be kept. While the store does not answer, only what looks
     * like a submission waits for it.
     *
     * @param otherwise handles a request that repeats none
     */
    void answerRepeat(Call call, Runnable otherwise) {
        Optional<Caller> caller = submitter(call);
        if (caller.isEmpty()) {
            otherwise.run();
            return;
        }
        Runnable unreadable = () -> {
            if (call.mayBeSubmission().getAsBoolean()) {
                rejectUnreadable(call);
            } else {
                otherwise.run();
            }
        };
        find(call.info().id(), caller.get(), Duration.ZERO, CALL_TIMEOUT, call, unreadable, finding -> {
            if (finding.ownerUncertain()) {
                rejectUncertainOwner(call);
            } else if (acceptedOnHost(finding, call)) {
                batch.sendAccepted(call.response());
            } else {
                otherwise.run();
            }
        });
    }

    /**
     * Answers a request on a route for other requests if it repeats the submission of an accepted job, which is so if
     * it has the same items. While the store does not answer, it counts as what the route is for.
     *
     * @param otherwise handles a request that repeats none
     */
    void answerRepeatOnOtherRoute(Call call, Buffer body, Runnable otherwise) {
        Optional<Caller> caller =
                submitter(call).filter(known -> call.mayBeSubmission().getAsBoolean());
        if (caller.isEmpty()) {
            otherwise.run();
            return;
        }
        find(call.info().id(), caller.get(), MAX_READ_AGE, QUICK_TIMEOUT, call, otherwise, finding -> {
            if (acceptedOnHost(finding, call) && hasItems(finding.job().get(), call.info(), body)) {
                batch.sendAccepted(call.response());
            } else {
                otherwise.run();
            }
        });
    }

    /** Runs a task once this node has read what was accepted before workspaces were configured, if it can be read. */
    void afterReading(Call call, Runnable task) {
        Optional<Caller> caller = submitter(call).filter(Caller::hasWorkspace);
        if (caller.isEmpty()) {
            task.run();
            return;
        }
        find(call.info().id(), caller.get(), MAX_READ_AGE, QUICK_TIMEOUT, call, task, finding -> task.run());
    }

    private static boolean acceptedOnHost(JobLookup.Finding finding, Call call) {
        return finding.job()
                .filter(job -> FleetConfig.sameHost(job.host(), call.host()))
                .isPresent();
    }

    /** Returns the caller of a request that may be the submission of a job. */
    private Optional<Caller> submitter(Call call) {
        return call.method().equals(HttpMethod.POST) && !call.info().id().isEmpty()
                ? admission.identify(call.config(), call.info())
                : Optional.empty();
    }

    private boolean hasItems(Job job, RequestInfo info, Buffer body) {
        try {
            JobSubmission submission = context.wire().parseSubmission(info.id(), body);
            return submission.hasItemsOf(job);
        } catch (BadRequestException e) {
            return false;
        }
    }

    /**
     * Finds a job, also one that another node has accepted since this node last read its partition.
     *
     * @param maxReadAge time since the store's last response within which what this node has read is enough
     * @param limit time after which the store counts as unreadable
     * @param unreadable run in place of the listener if the store can't be read
     */
    private void find(
            String callerId,
            Caller caller,
            Duration maxReadAge,
            Duration limit,
            Call call,
            Runnable unreadable,
            Consumer<JobLookup.Finding> listener) {
        JobLookup.Finding read = lookup.find(callerId, caller);
        String internalId = JobIds.internal(callerId, caller.workspace());
        if (!read.isUnknown() || store.age(internalId).compareTo(maxReadAge) < 0) {
            listener.accept(read);
            return;
        }
        Future<?> refreshed = internalId.equals(callerId)
                ? store.refreshForUnknown(callerId, limit)
                : Future.all(store.refreshForUnknown(internalId, limit), store.refreshForUnknown(callerId, limit));
        refreshed
                .onSuccess(done -> answerSafely(call, () -> listener.accept(lookup.find(callerId, caller))))
                .onFailure(failure -> answerSafely(call, unreadable));
    }

    private void answerSafely(Call call, Runnable task) {
        if (!FailureGuard.run(context.log(), task, "request", call.info().id())) {
            call.response().sendText(500, "internal error");
        }
    }

    private static void rejectUnreadable(Call call) {
        call.response().sendText(503, "not run: the store does not answer", RETRY_DELAY);
    }

    /** A node that can't be sure whose the job is neither serves it nor denies that it exists. */
    private static void rejectUncertainOwner(Call call) {
        call.response().sendText(503, "not run: the owner of the job can't be checked", RETRY_DELAY);
    }
}
