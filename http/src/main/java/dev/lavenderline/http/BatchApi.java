package dev.lavenderline.http;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Storage of files and batch jobs behind the HTTP endpoints. All calls run on the node's event loop; failures are
 * returned as values. A result is returned only after the log has acknowledged the records that it depends on.
 */
public interface BatchApi {
    /** Stores a file of JSON lines; uploading the same content to the same workspace again returns the same file. */
    Uni<Either<ApiError, FileView>> upload(String workspace, String name, Buffer content);

    Either<ApiError, FileView> file(String workspace, String fileId);

    /** Reads the content of an input file or of a job's output ({@code JOB-output}, {@code JOB-errors}), in chunks. */
    Either<ApiError, Multi<Buffer>> content(String workspace, String fileId);

    Uni<Either<ApiError, JobView>> create(String workspace, Optional<String> idempotencyKey, NewJob job);

    Either<ApiError, JobView> job(String workspace, String jobId);

    /** Lists jobs, newest first; with {@code after}, only those that follow this job in the list. */
    Either<ApiError, List<JobView>> jobs(String workspace, int limit, Optional<String> after);

    Uni<Either<ApiError, JobView>> cancel(String workspace, String jobId);

    /** A job to create. */
    record NewJob(String fileId, String endpoint, Duration completionWindow, Map<String, String> metadata) {}

    /** A stored file; times in milliseconds since the epoch. */
    record FileView(String id, String name, long bytes, int items, long createdMs) {}

    /**
     * A job; times in milliseconds since the epoch, 0 if not reached yet.
     *
     * @param status validating, in_progress, completed, cancelled or expired
     */
    record JobView(
            String id,
            String fileId,
            String endpoint,
            String status,
            int total,
            int completed,
            int failed,
            long createdMs,
            long deadlineMs,
            long endedMs,
            Map<String, String> metadata) {}
}
