package dev.lavenderline.http;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** In-memory files and jobs; a job is completed as soon as it is created. */
final class FakeBatch implements BatchApi {
    private final Map<String, Buffer> contents = new LinkedHashMap<>();
    private final Map<String, FileView> files = new LinkedHashMap<>();
    private final Map<String, JobView> jobs = new LinkedHashMap<>();

    private static String key(String workspace, String id) {
        return workspace + "/" + id;
    }

    @Override
    public Uni<Either<ApiError, FileView>> upload(String workspace, String name, Buffer content) {
        int items = content.toString().split("\n").length;
        FileView file = new FileView("file-" + (files.size() + 1), name, content.length(), items, 1_000);
        files.put(key(workspace, file.id()), file);
        contents.put(key(workspace, file.id()), content);
        return Uni.createFrom().item(Either.right(file));
    }

    @Override
    public Either<ApiError, FileView> file(String workspace, String fileId) {
        FileView file = files.get(key(workspace, fileId));
        return file == null ? Either.left(ApiError.notFound("no file " + fileId)) : Either.right(file);
    }

    @Override
    public Either<ApiError, Multi<Buffer>> content(String workspace, String fileId) {
        if (fileId.endsWith("-output")) {
            String jobId = fileId.substring(0, fileId.length() - "-output".length());
            return job(workspace, jobId).map(job -> Multi.createFrom().items(Buffer.buffer("{\"custom_id\":\"a\"}\n")));
        }
        Buffer content = contents.get(key(workspace, fileId));
        if (content == null) {
            return Either.left(ApiError.notFound("no file " + fileId));
        }
        int middle = content.length() / 2;
        return Either.right(
                Multi.createFrom().items(content.getBuffer(0, middle), content.getBuffer(middle, content.length())));
    }

    @Override
    public Uni<Either<ApiError, JobView>> create(String workspace, Optional<String> idempotencyKey, NewJob job) {
        JobView view = new JobView(
                "job-" + idempotencyKey.orElse(String.valueOf(jobs.size() + 1)),
                job.fileId(),
                job.endpoint(),
                "completed",
                2,
                1,
                1,
                1_000,
                1_000 + job.completionWindow().toMillis(),
                2_000,
                job.metadata());
        jobs.put(key(workspace, view.id()), view);
        return Uni.createFrom().item(Either.right(view));
    }

    @Override
    public Either<ApiError, JobView> job(String workspace, String jobId) {
        JobView job = jobs.get(key(workspace, jobId));
        return job == null ? Either.left(ApiError.notFound("no batch " + jobId)) : Either.right(job);
    }

    @Override
    public Either<ApiError, List<JobView>> jobs(String workspace, int limit, Optional<String> after) {
        List<JobView> found = new ArrayList<>();
        jobs.forEach((id, job) -> {
            if (id.startsWith(workspace + "/")) {
                found.add(0, job);
            }
        });
        return Either.right(found.subList(0, Math.min(limit, found.size())));
    }

    @Override
    public Uni<Either<ApiError, JobView>> cancel(String workspace, String jobId) {
        return Uni.createFrom().item(job(workspace, jobId));
    }
}
