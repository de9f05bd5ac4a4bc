package dev.lavenderline.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Serves the endpoints for files and batch jobs. Confined to the event loop. */
final class BatchHandler {
    private static final Pattern COMPLETION_WINDOW = Pattern.compile("(\\d{1,4})([mhd])");
    private static final Duration MAX_COMPLETION_WINDOW = Duration.ofDays(7);
    private static final int DEFAULT_PAGE_SIZE = 20;
    private static final int MAX_PAGE_SIZE = 100;
    private static final int MAX_METADATA_FIELDS = 16;
    private static final int MAX_METADATA_CHARS = 512;

    /** Bounds the memory of all uploads in progress, as a multiple of the largest file. */
    private static final int MAX_UPLOADS_IN_MEMORY = 2;

    private final ServerContext server;
    private final BatchApi batch;
    private long bufferedUploadBytes;

    BatchHandler(ServerContext server, BatchApi batch) {
        this.server = server;
        this.batch = batch;
    }

    void mount(Router router, BodyHandler bodies) {
        router.post("/v1/files").handler(this::receiveUpload);
        router.get("/v1/files/:id")
                .handler(ctx -> sendResult(ctx, batch.file(workspace(ctx), id(ctx)), this::fileJson));
        router.get("/v1/files/:id/content").handler(ctx -> sendContent(ctx, id(ctx)));
        router.post("/v1/batches").handler(bodies).handler(this::createJob);
        router.get("/v1/batches").handler(this::listJobs);
        router.get("/v1/batches/:id")
                .handler(ctx -> sendResult(ctx, batch.job(workspace(ctx), id(ctx)), this::jobJson));
        router.post("/v1/batches/:id/cancel")
                .handler(ctx -> sendResultWhenDone(ctx, batch.cancel(workspace(ctx), id(ctx)), this::jobJson));
        router.get("/v1/batches/:id/results").handler(ctx -> sendContent(ctx, id(ctx) + "-output"));
    }

    private static String workspace(RoutingContext ctx) {
        return Caller.of(ctx).workspace();
    }

    private static String id(RoutingContext ctx) {
        return ctx.pathParam("id");
    }

    /** Reads an upload into memory, because a node has no disk. */
    private void receiveUpload(RoutingContext ctx) {
        HttpServerRequest request = ctx.request();
        String type = request.getHeader("Content-Type");
        Upload upload = new Upload(ctx);
        ctx.addEndHandler(ended -> upload.release());
        if (type != null && type.startsWith("multipart/form-data")) {
            request.setExpectMultipart(true);
            request.uploadHandler(part -> {
                boolean first = upload.startFile(part.filename());
                part.handler(chunk -> {
                    if (first) {
                        upload.append(chunk);
                    }
                });
            });
        } else {
            String name = request.getParam("filename");
            upload.startFile(name == null ? "" : name);
            request.handler(upload::append);
        }
        request.exceptionHandler(failure -> upload.fail(ApiError.invalid("bad_request", "the body is malformed")));
        request.endHandler(end -> upload.end());
    }

    /** An upload in progress; only the first file of a multipart body is read. */
    private final class Upload {
        private final RoutingContext ctx;
        private final Buffer content = Buffer.buffer();
        private String name;
        private boolean failed;

        Upload(RoutingContext ctx) {
            this.ctx = ctx;
        }

        boolean startFile(String fileName) {
            if (name != null) {
                return false;
            }
            name = fileName == null ? "" : fileName;
            return true;
        }

        void append(Buffer chunk) {
            if (failed) {
                return;
            }
            int limit = server.limits().maxFileBytes();
            if (content.length() + chunk.length() > limit) {
                // The rest of the body is discarded and the connection is closed after the response.
                ctx.response().putHeader("Connection", "close");
                fail(new ApiError(413, "too_large", "the file has more than " + limit + " bytes", Optional.empty()));
                return;
            }
            if (bufferedUploadBytes + chunk.length() > (long) MAX_UPLOADS_IN_MEMORY * limit) {
                ctx.response().putHeader("Connection", "close");
                fail(ApiError.notRun("too many uploads are in progress", Duration.ofSeconds(5)));
                return;
            }
            bufferedUploadBytes += chunk.length();
            content.appendBuffer(chunk);
        }

        /** Returns the memory to the budget; called when the response was sent or the caller disconnected. */
        void release() {
            bufferedUploadBytes -= content.length();
        }

        void fail(ApiError error) {
            if (!failed) {
                failed = true;
                sendError(ctx, error);
            }
        }

        void end() {
            if (failed) {
                return;
            }
            if (name == null || content.length() == 0) {
                fail(ApiError.invalid("empty_file", "the body contains no file"));
                return;
            }
            sendResultWhenDone(ctx, batch.upload(workspace(ctx), name, content), BatchHandler.this::fileJson);
        }
    }

    private void sendContent(RoutingContext ctx, String fileId) {
        Either<ApiError, Multi<Buffer>> content = batch.content(workspace(ctx), fileId);
        if (content.isLeft()) {
            sendError(ctx, content.getLeft());
            return;
        }
        HttpServerResponse response = ctx.response();
        response.setChunked(true).putHeader("Content-Type", "application/jsonl");
        FileContentWriter writer =
                new FileContentWriter(response, Caller.of(ctx).requestId());
        content.get().subscribe().withSubscriber(writer);
    }

    private void createJob(RoutingContext ctx) {
        Either<ApiError, BatchApi.NewJob> job = parseJob(ctx);
        if (job.isLeft()) {
            sendError(ctx, job.getLeft());
            return;
        }
        Either<ApiError, Optional<String>> key = IdempotencyKey.of(ctx.request());
        if (key.isLeft()) {
            sendError(ctx, key.getLeft());
            return;
        }
        sendResultWhenDone(ctx, batch.create(workspace(ctx), key.get(), job.get()), this::jobJson);
    }

    private static Either<ApiError, BatchApi.NewJob> parseJob(RoutingContext ctx) {
        JsonNode body;
        try {
            body = ctx.body().buffer() == null
                    ? com.fasterxml.jackson.databind.node.MissingNode.getInstance()
                    : Json.MAPPER.readTree(ctx.body().buffer().getBytes());
        } catch (IOException e) {
            return Either.left(ApiError.invalid("malformed_json", "the body is not valid JSON"));
        }
        if (!body.isObject()) {
            return Either.left(ApiError.invalid("malformed_json", "the body is not a JSON object"));
        }
        String fileId = body.path("input_file_id").asText("");
        String endpoint = body.path("endpoint").asText("");
        if (fileId.isEmpty()) {
            return Either.left(ApiError.invalid("invalid_field", "field input_file_id must be a string"));
        }
        if (!endpoint.equals(ModelRequest.CHAT_PATH) && !endpoint.equals(ModelRequest.TEXT_PATH)) {
            return Either.left(ApiError.invalid(
                    "invalid_field",
                    "field endpoint must be " + ModelRequest.CHAT_PATH + " or " + ModelRequest.TEXT_PATH));
        }
        return parseCompletionWindow(body.path("completion_window").asText("24h"))
                .flatMap(window -> parseMetadata(body.path("metadata"))
                        .map(metadata -> new BatchApi.NewJob(fileId, endpoint, window, metadata)));
    }

    private static Either<ApiError, Duration> parseCompletionWindow(String text) {
        Matcher matcher = COMPLETION_WINDOW.matcher(text);
        if (matcher.matches()) {
            long amount = Long.parseLong(matcher.group(1));
            Duration window = switch (matcher.group(2)) {
                case "m" -> Duration.ofMinutes(amount);
                case "h" -> Duration.ofHours(amount);
                default -> Duration.ofDays(amount);
            };
            if (!window.isZero() && window.compareTo(MAX_COMPLETION_WINDOW) <= 0) {
                return Either.right(window);
            }
        }
        return Either.left(ApiError.invalid(
                "invalid_field",
                "field completion_window must be minutes, hours or days up to 7d, like 30m, 8h or 1d, is "
                        + ErrorBodies.truncate(text)));
    }

    private static Either<ApiError, Map<String, String>> parseMetadata(JsonNode node) {
        Map<String, String> metadata = new HashMap<>();
        if (node.isMissingNode() || node.isNull()) {
            return Either.right(metadata);
        }
        boolean valid = node.isObject() && node.size() <= MAX_METADATA_FIELDS;
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String value = field.getValue().asText();
            valid &= field.getValue().isTextual()
                    && field.getKey().length() <= MAX_METADATA_CHARS
                    && value.length() <= MAX_METADATA_CHARS;
            metadata.put(field.getKey(), value);
        }
        if (!valid) {
            return Either.left(ApiError.invalid(
                    "invalid_field",
                    "field metadata must have at most " + MAX_METADATA_FIELDS + " string fields of at most "
                            + MAX_METADATA_CHARS + " characters"));
        }
        return Either.right(metadata);
    }

    private void listJobs(RoutingContext ctx) {
        String text = ctx.request().getParam("limit", String.valueOf(DEFAULT_PAGE_SIZE));
        int limit = text.matches("\\d{1,3}") ? Integer.parseInt(text) : 0;
        if (limit < 1 || limit > MAX_PAGE_SIZE) {
            sendError(ctx, ApiError.invalid("invalid_parameter", "limit must be 1 to " + MAX_PAGE_SIZE));
            return;
        }
        Optional<String> after = Optional.ofNullable(ctx.request().getParam("after"));
        sendResult(ctx, batch.jobs(workspace(ctx), limit, after), jobs -> pageJson(jobs, limit));
    }

    private ObjectNode pageJson(List<BatchApi.JobView> jobs, int limit) {
        ObjectNode body = Json.MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = body.putArray("data");
        jobs.forEach(job -> data.add(jobJson(job)));
        if (!jobs.isEmpty()) {
            body.put("first_id", jobs.get(0).id());
            body.put("last_id", jobs.get(jobs.size() - 1).id());
        }
        return body.put("has_more", jobs.size() >= limit);
    }

    private ObjectNode fileJson(BatchApi.FileView file) {
        return Json.MAPPER
                .createObjectNode()
                .put("id", file.id())
                .put("object", "file")
                .put("bytes", file.bytes())
                .put("created_at", file.createdMs() / 1000)
                .put("filename", file.name())
                .put("purpose", "batch")
                .put("items", file.items());
    }

    private ObjectNode jobJson(BatchApi.JobView job) {
        ObjectNode body = Json.MAPPER
                .createObjectNode()
                .put("id", job.id())
                .put("object", "batch")
                .put("endpoint", job.endpoint())
                .put("input_file_id", job.fileId())
                .put("status", job.status())
                .put("output_file_id", job.id() + "-output")
                .put("error_file_id", job.id() + "-errors")
                .put("created_at", job.createdMs() / 1000)
                .put("expires_at", job.deadlineMs() / 1000);
        if (job.endedMs() > 0) {
            body.put("ended_at", job.endedMs() / 1000);
        }
        body.putObject("request_counts")
                .put("total", job.total())
                .put("completed", job.completed())
                .put("failed", job.failed());
        ObjectNode metadata = body.putObject("metadata");
        job.metadata().forEach(metadata::put);
        return body;
    }

    private <T> void sendResult(RoutingContext ctx, Either<ApiError, T> result, Function<T, ObjectNode> render) {
        if (result.isLeft()) {
            sendError(ctx, result.getLeft());
        } else if (!ctx.response().closed()) {
            ctx.response()
                    .putHeader("Content-Type", "application/json")
                    .end(render.apply(result.get()).toString());
        }
    }

    private <T> void sendResultWhenDone(
            RoutingContext ctx, Uni<Either<ApiError, T>> result, Function<T, ObjectNode> render) {
        result.subscribe().with(done -> sendResult(ctx, done, render), ctx::fail);
    }

    private void sendError(RoutingContext ctx, ApiError error) {
        server.metrics().error(error);
        ErrorBodies.send(ctx.response(), error);
    }
}
