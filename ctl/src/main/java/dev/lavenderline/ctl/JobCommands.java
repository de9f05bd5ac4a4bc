package dev.lavenderline.ctl;

import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.JobCancelled;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Batch job commands: cancel. */
final class JobCommands {
    // Longer than any results retention, so that the ledger keeps every job that a node still knows.
    private static final Duration RETENTION = Duration.ofDays(2 * 365);

    private JobCommands() {}

    static Result cancel(Invocation invocation, Vertx vertx) {
        WorkLedger ledger = new WorkLedger(RETENTION, event -> {});
        try (LogSession session = new LogSession(vertx, invocation.logUrl(), "work", ledger, invocation.timeout())) {
            Optional<Result> failure = session.catchUp();
            return failure.orElseGet(() -> cancel(invocation, ledger, session));
        }
    }

    private static Result cancel(Invocation invocation, WorkLedger ledger, LogSession session) {
        String id = invocation.operand();
        Optional<Job> job = ledger.job(id).filter(found -> found.workspace().equals(invocation.workspace()));
        if (job.isEmpty()) {
            return Result.error(
                    ExitCode.FAILED, "there is no job '" + id + "' in workspace '" + invocation.workspace() + "'");
        }
        if (!job.get().isOpen()) {
            return describe(job.get());
        }
        session.append(Entry.newBuilder()
                .setJobCancelled(JobCancelled.newBuilder().setJobId(id).setWorkspace(invocation.workspace()))
                .build());
        Either<Result, Job> ended =
                session.await(() -> ledger.job(id).filter(found -> !found.isOpen()), "waiting for the cancellation");
        if (ended.isLeft() && ended.getLeft().exitCode() == ExitCode.UNAVAILABLE) {
            return Result.error(
                    ExitCode.UNAVAILABLE,
                    ended.getLeft().text() + "\nthe cancellation may still take effect; run the command again");
        }
        return ended.fold(result -> result, JobCommands::describe);
    }

    /** Reports success only if the job is cancelled; it may have ended otherwise before. */
    private static Result describe(Job job) {
        String state = job.state().name().toLowerCase(Locale.ROOT);
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("job", job.id());
        json.put("state", state);
        json.put("items", job.items());
        json.put("items_done", job.done());
        String text =
                "job " + job.id() + " is " + state + ", " + job.done() + " of " + job.items() + " items have a result";
        int exitCode = job.state() == Job.State.CANCELLED ? ExitCode.SUCCESS : ExitCode.FAILED;
        return Result.of(exitCode, text, json);
    }
}
