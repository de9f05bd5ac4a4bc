package dev.lavenderline.node.jobs;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Workspace;
import dev.lavenderline.core.ledger.BatchFile;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.http.ApiError;
import dev.lavenderline.http.BatchApi;
import dev.lavenderline.log.Futures;
import dev.lavenderline.log.LogError;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.FileSealed;
import dev.lavenderline.proto.log.JobCancelled;
import dev.lavenderline.proto.log.JobCreated;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Stores files and jobs of callers on the stream {@code work}.
 *
 * <p>Invariants: success is reported only after this node has applied the records of the change, so every later read on
 * this node sees them; an object of another workspace is reported as not found. Not thread-safe; confined to the node's
 * event loop, except that input files are parsed on a worker thread.
 */
public final class JobService implements BatchApi {
    private static final Set<String> ENDPOINTS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final Duration MAX_WINDOW = Duration.ofDays(7);
    private static final Duration MIN_WINDOW = Duration.ofSeconds(1);
    private static final int MAX_METADATA_ENTRIES = 16;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    /** If the last read of the log's tail is older, writes are refused at once instead of waiting for the log. */
    private static final Duration MAX_TAIL_AGE = Duration.ofSeconds(3);
    /** Size of the chunks that one upload writes before it waits for their acknowledgement. */
    private static final long UPLOAD_WINDOW_BYTES = 4L << 20;

    private final LogStream<WorkLedger> work;
    private final JobContent content;
    private final Supplier<FleetConfig> config;
    private final Settings settings;
    private final Vertx vertx;
    private final Timers timers;
    private final Ticker ticker;

    /**
     * Settings of the service.
     *
     * @param region region of this host
     * @param logTimeout longest wait for the acknowledgement of one record
     */
    public record Settings(String region, Duration logTimeout) {}

    public JobService(
            LogStream<WorkLedger> work,
            JobContent content,
            Supplier<FleetConfig> config,
            Settings settings,
            Vertx vertx,
            Timers timers,
            Ticker ticker) {
        this.work = work;
        this.content = content;
        this.config = config;
        this.settings = settings;
        this.vertx = vertx;
        this.timers = timers;
        this.ticker = ticker;
    }

    @Override
    public Uni<Either<ApiError, FileView>> upload(String workspace, String name, Buffer body) {
        if (!work.isFresh(MAX_TAIL_AGE)) {
            return Uni.createFrom().item(Either.left(logUnavailable()));
        }
        byte[] bytes = body.getBytes();
        return Futures.toUni(vertx.executeBlocking(() -> InputFile.parse(workspace, bytes), false))
                .chain(parsed -> parsed.isLeft()
                        ? Uni.createFrom().item(Either.left(parsed.getLeft()))
                        : storeFile(workspace, name, parsed.get()));
    }

    private Uni<Either<ApiError, FileView>> storeFile(String workspace, String name, InputFile file) {
        Optional<BatchFile> existing = work.ledger().file(file.id());
        if (existing.isPresent()) {
            return Uni.createFrom().item(Either.right(view(existing.get())));
        }
        return storeChunks(workspace, file, 0).chain(stored -> {
            if (stored.isLeft()) {
                return Uni.createFrom().item(Either.left(stored.getLeft()));
            }
            return seal(workspace, name, file);
        });
    }

    /** Writes chunks in windows, so that a large file does not fill the writer's buffer. */
    private Uni<Either<ApiError, Void>> storeChunks(String workspace, InputFile file, int from) {
        if (from >= file.chunks().size()) {
            return Uni.createFrom().item(Either.right(null));
        }
        int to = from;
        long bytes = 0;
        Uni<Either<LogError, Long>> last = null;
        while (to < file.chunks().size() && bytes < UPLOAD_WINDOW_BYTES) {
            InputFile.Chunk chunk = file.chunks().get(to);
            bytes += chunk.data().length;
            last = work.append(
                            chunkEntry(workspace, file.id(), to, chunk),
                            settings.logTimeout().multipliedBy(4))
                    .memoize()
                    .indefinitely();
            last.subscribe().with(result -> {});
            to++;
        }
        int next = to;
        return last.chain(result -> result.isLeft()
                ? Uni.createFrom().item(Either.left(writeError(result.getLeft(), "the file")))
                : storeChunks(workspace, file, next));
    }

    private Uni<Either<ApiError, FileView>> seal(String workspace, String name, InputFile file) {
        Entry entry = Entry.newBuilder()
                .setFileSealed(FileSealed.newBuilder()
                        .setFileId(file.id())
                        .setWorkspace(workspace)
                        .setName(name)
                        .setBytes(file.bytes())
                        .setItems(file.items())
                        .setChunks(file.chunks().size())
                        .setCreatedMs(ticker.now().toEpochMilli()))
                .build();
        return work.append(entry, settings.logTimeout()).map(result -> {
            if (result.isLeft()) {
                return Either.left(writeError(result.getLeft(), "the file"));
            }
            return work.ledger()
                    .file(file.id())
                    .<Either<ApiError, FileView>>map(stored -> Either.right(view(stored)))
                    .orElseGet(() -> Either.left(writeError(new LogError.Rejected("chunks missing"), "the file")));
        });
    }

    private static Entry chunkEntry(String workspace, String fileId, int index, InputFile.Chunk chunk) {
        return Entry.newBuilder()
                .setFileChunk(FileChunk.newBuilder()
                        .setFileId(fileId)
                        .setWorkspace(workspace)
                        .setIndex(index)
                        .setFirstItem(chunk.firstItem())
                        .setItems(chunk.items())
                        .setData(ByteString.copyFrom(chunk.data())))
                .build();
    }

    @Override
    public Either<ApiError, FileView> file(String workspace, String fileId) {
        return findFile(workspace, fileId).map(JobService::view);
    }

    @Override
    public Either<ApiError, Multi<Buffer>> content(String workspace, String fileId) {
        Optional<JobContent.Output> output = JobContent.Output.of(fileId);
        if (output.isPresent()) {
            return findJob(workspace, output.get().jobId()).map(job -> content.results(job, output.get()));
        }
        return findFile(workspace, fileId).map(content::input);
    }

    @Override
    public Uni<Either<ApiError, JobView>> create(String workspace, Optional<String> idempotencyKey, NewJob job) {
        Optional<ApiError> error = validate(job);
        if (error.isPresent()) {
            return Uni.createFrom().item(Either.left(error.get()));
        }
        if (!work.isFresh(MAX_TAIL_AGE)) {
            return Uni.createFrom().item(Either.left(logUnavailable()));
        }
        Either<ApiError, BatchFile> file = findFile(workspace, job.fileId());
        if (file.isLeft()) {
            return Uni.createFrom().item(Either.left(file.getLeft()));
        }
        String id =
                idempotencyKey.map(key -> JobIds.forKey(workspace, key)).orElseGet(() -> idForContent(workspace, job));
        Optional<Job> existing = work.ledger().job(id);
        if (existing.isPresent()) {
            return Uni.createFrom().item(viewIfSame(existing.get(), job));
        }
        return content.model(file.get()).chain(model -> {
            if (model.isLeft()) {
                return Uni.createFrom().item(Either.left(readError(model.getLeft())));
            }
            return storeJob(workspace, id, job, file.get(), model.get());
        });
    }

    private Uni<Either<ApiError, JobView>> storeJob(
            String workspace, String id, NewJob job, BatchFile file, String deployment) {
        Optional<ApiError> refused = checkLimits(workspace, deployment, file.items());
        if (refused.isPresent()) {
            return Uni.createFrom().item(Either.left(refused.get()));
        }
        Instant now = ticker.now();
        Entry entry = Entry.newBuilder()
                .setJobCreated(JobCreated.newBuilder()
                        .setJobId(id)
                        .setWorkspace(workspace)
                        .setFileId(job.fileId())
                        .setEndpoint(job.endpoint())
                        .setDeployment(deployment)
                        .setItems(file.items())
                        .setDeadlineMs(now.plus(job.completionWindow()).toEpochMilli())
                        .putAllMetadata(job.metadata())
                        .setCreatedMs(now.toEpochMilli())
                        .setRegion(settings.region()))
                .build();
        return work.append(entry, settings.logTimeout()).map(result -> {
            if (result.isLeft()) {
                return Either.left(writeError(result.getLeft(), "the batch"));
            }
            return work.ledger()
                    .job(id)
                    .map(stored -> viewIfSame(stored, job))
                    .orElseGet(() -> Either.left(ApiError.notFound("file " + job.fileId() + " was removed meanwhile")));
        });
    }

    /** Returns the id of the open job with the same content, or a new id if there is none. */
    private String idForContent(String workspace, NewJob job) {
        int generation = 0;
        while (true) {
            String id = JobIds.forContent(workspace, job, generation);
            Optional<Job> existing = work.ledger().job(id);
            if (existing.isEmpty() || existing.get().isOpen()) {
                return id;
            }
            generation++;
        }
    }

    private static Either<ApiError, JobView> viewIfSame(Job stored, NewJob job) {
        Duration window = Duration.between(stored.created(), stored.deadline());
        if (!stored.fileId().equals(job.fileId())
                || !stored.endpoint().equals(job.endpoint())
                || !window.equals(job.completionWindow())
                || !stored.metadata().equals(job.metadata())) {
            return Either.left(new ApiError(
                    422, "key_reused", "the idempotency key was used for another batch", Optional.empty()));
        }
        return Either.right(view(stored));
    }

    private static Optional<ApiError> validate(NewJob job) {
        if (!ENDPOINTS.contains(job.endpoint())) {
            return Optional.of(ApiError.invalid(
                    "invalid_endpoint",
                    "endpoint is '" + job.endpoint() + "', expected one of "
                            + ENDPOINTS.stream().sorted().toList()));
        }
        if (job.completionWindow().compareTo(MIN_WINDOW) < 0
                || job.completionWindow().compareTo(MAX_WINDOW) > 0) {
            return Optional.of(ApiError.invalid(
                    "invalid_completion_window",
                    "completion_window is " + job.completionWindow().toSeconds() + " s, expected "
                            + MIN_WINDOW.toSeconds() + " to " + MAX_WINDOW.toSeconds() + " s"));
        }
        if (job.metadata().size() > MAX_METADATA_ENTRIES) {
            return Optional.of(ApiError.invalid(
                    "invalid_metadata",
                    "metadata has " + job.metadata().size() + " entries, the limit is " + MAX_METADATA_ENTRIES));
        }
        return Optional.empty();
    }

    private Optional<ApiError> checkLimits(String workspace, String deploymentName, int items) {
        Deployment deployment = config.get().deployments().get(deploymentName);
        if (deployment == null || !deployment.batchEnabled()) {
            return Optional.of(new ApiError(
                    404, "model_not_found", "no deployment '" + deploymentName + "' takes batches", Optional.empty()));
        }
        Workspace limits = config.get().workspaces().get(workspace);
        if (limits == null || limits.maxBatchItems() == 0) {
            return Optional.empty();
        }
        long unfinished = 0;
        for (Job job : work.ledger().openJobs()) {
            if (job.workspace().equals(workspace)) {
                unfinished += job.items() - job.done();
            }
        }
        if (unfinished + items <= limits.maxBatchItems()) {
            return Optional.empty();
        }
        return Optional.of(new ApiError(
                429,
                "batch_limit",
                "the workspace has " + unfinished + " unfinished items and the batch " + items + ", the limit is "
                        + limits.maxBatchItems(),
                Optional.of(Duration.ofMinutes(1))));
    }

    @Override
    public Either<ApiError, JobView> job(String workspace, String jobId) {
        return findJob(workspace, jobId).map(JobService::view);
    }

    @Override
    public Either<ApiError, List<JobView>> jobs(String workspace, int limit, Optional<String> after) {
        List<Job> all = work.ledger().jobs(workspace);
        int from = 0;
        if (after.isPresent()) {
            Either<ApiError, Job> last = findJob(workspace, after.get());
            if (last.isLeft()) {
                return Either.left(last.getLeft());
            }
            from = all.indexOf(last.get()) + 1;
        }
        int to = Math.min(all.size(), from + limit);
        return Either.right(all.subList(from, to).stream().map(JobService::view).toList());
    }

    @Override
    public Uni<Either<ApiError, JobView>> cancel(String workspace, String jobId) {
        Either<ApiError, Job> job = findJob(workspace, jobId);
        if (job.isLeft() || !job.get().isOpen()) {
            return Uni.createFrom().item(job.map(JobService::view));
        }
        if (!work.isFresh(MAX_TAIL_AGE)) {
            return Uni.createFrom().item(Either.left(logUnavailable()));
        }
        Entry entry = Entry.newBuilder()
                .setJobCancelled(JobCancelled.newBuilder().setJobId(jobId).setWorkspace(workspace))
                .build();
        return work.append(entry, settings.logTimeout())
                .map(result -> result.isLeft()
                        ? Either.left(writeError(result.getLeft(), "the cancellation"))
                        : job(workspace, jobId));
    }

    private Either<ApiError, BatchFile> findFile(String workspace, String fileId) {
        return work.ledger()
                .file(fileId)
                .filter(file -> file.workspace().equals(workspace))
                .<Either<ApiError, BatchFile>>map(Either::right)
                .orElseGet(() -> Either.left(ApiError.notFound("no file '" + fileId + "'")));
    }

    private Either<ApiError, Job> findJob(String workspace, String jobId) {
        return work.ledger()
                .job(jobId)
                .filter(job -> job.workspace().equals(workspace))
                .<Either<ApiError, Job>>map(Either::right)
                .orElseGet(() -> Either.left(ApiError.notFound("no batch '" + jobId + "'")));
    }

    private static ApiError logUnavailable() {
        return ApiError.notRun("the platform's log cannot be reached", RETRY_AFTER);
    }

    /** Reports only definite refusals as not run, because an unacknowledged entry may still be appended. */
    private static ApiError writeError(LogError error, String what) {
        if (error instanceof LogError.Overloaded || error instanceof LogError.Rejected) {
            return ApiError.notRun(what + " could not be recorded", RETRY_AFTER);
        }
        return new ApiError(
                502,
                "outcome_unknown",
                what + " may have been recorded; sending the same request again is safe",
                Optional.of(RETRY_AFTER));
    }

    private static ApiError readError(LogError error) {
        return new ApiError(
                503, "log_unavailable", "the input file cannot be read: " + error, Optional.of(RETRY_AFTER));
    }

    private static FileView view(BatchFile file) {
        return new FileView(
                file.id(),
                file.name(),
                file.bytes(),
                file.items(),
                file.created().toEpochMilli());
    }

    private static JobView view(Job job) {
        String status = switch (job.state()) {
            case IN_PROGRESS -> "in_progress";
            case COMPLETED -> "completed";
            case CANCELLED -> "cancelled";
            case EXPIRED -> "expired";
        };
        return new JobView(
                job.id(),
                job.fileId(),
                job.endpoint(),
                status,
                job.items(),
                job.completed(),
                job.failed(),
                job.created().toEpochMilli(),
                job.deadline().toEpochMilli(),
                job.ended().map(Instant::toEpochMilli).orElse(0L),
                Map.copyOf(job.metadata()));
    }
}
