package dev.lavenderline.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The log over HTTP, with the protocol of section 8 of the design page. Each subscription to a returned Uni sends one
 * request.
 *
 * <p>Not thread-safe; confined to the event loop on which it was created.
 *
 * <pre>{@code
 * LogService log = new HttpLogService(vertx, URI.create("http://10.0.0.5:7400"), Duration.ofSeconds(1));
 * }</pre>
 */
public final class HttpLogService implements LogService {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final int MAX_RECORD_BYTES = 1 << 20;

    private final HttpCalls calls;

    /**
     * Creates a client; connections are opened by the first request.
     *
     * @param base address of the log, such as {@code http://10.0.0.5:7400}
     * @param requestTimeout limit from sending to the answer; a read may take its waiting time longer
     */
    public HttpLogService(Vertx vertx, URI base, Duration requestTimeout) {
        this.calls = new HttpCalls(vertx, base, requestTimeout);
    }

    @Override
    public Uni<Either<LogError, Long>> append(String stream, byte[] data) {
        Objects.requireNonNull(data, "data");
        String path = path(stream);
        if (data.length > MAX_RECORD_BYTES) {
            return Uni.createFrom()
                    .item(Either.left(new LogError.Rejected(
                            "a record of " + data.length + " bytes is larger than the limit of " + MAX_RECORD_BYTES)));
        }
        return Futures.toUni(() -> calls.send(HttpMethod.POST, path, Map.of(), Buffer.buffer(data), Duration.ZERO)
                .map(response -> appended(path, response))
                .otherwise(error -> Either.left(failure(HttpMethod.POST, path, error))));
    }

    private Either<LogError, Long> appended(String path, HttpResponse<Buffer> response) {
        if (response.statusCode() != 200) {
            return Either.left(refusal(HttpMethod.POST, path, response));
        }
        try {
            long offset =
                    JSON.readTree(response.body().getBytes()).path("offset").asLong();
            if (offset >= 1) {
                return Either.right(offset);
            }
        } catch (IOException | RuntimeException e) {
            return Either.left(new LogError.TimedOut(calls.describe(HttpMethod.POST, path, e)));
        }
        // The append took effect, but its offset is unknown, as after a lost answer.
        return Either.left(new LogError.TimedOut("POST " + path + ": the answer has no offset"));
    }

    @Override
    public Uni<Either<LogError, LogSlice>> read(String stream, long from, int maxBytes, Duration wait) {
        if (from < 1) {
            throw new IllegalArgumentException("from must be at least 1, not " + from);
        }
        String path = path(stream);
        Map<String, String> query = Map.of(
                "from", Long.toString(from),
                "max_bytes", Integer.toString(maxBytes),
                "wait_ms", Long.toString(wait.toMillis()));
        return Futures.toUni(() -> calls.send(HttpMethod.GET, path, query, null, wait)
                .map(response -> slice(path, response))
                .otherwise(error -> Either.left(failure(HttpMethod.GET, path, error))));
    }

    private Either<LogError, LogSlice> slice(String path, HttpResponse<Buffer> response) {
        try {
            if (response.statusCode() == 410) {
                JsonNode answer = JSON.readTree(response.body().getBytes());
                return Either.left(new LogError.Expired(answer.required("first").asLong()));
            }
            if (response.statusCode() != 200) {
                return Either.left(refusal(HttpMethod.GET, path, response));
            }
            JsonNode answer = JSON.readTree(response.body().getBytes());
            List<LogRecord> records = new ArrayList<>();
            for (JsonNode stored : answer.required("records")) {
                records.add(new LogRecord(
                        stored.required("offset").asLong(),
                        Instant.ofEpochMilli(stored.required("time").asLong()),
                        stored.required("data").binaryValue()));
            }
            return Either.right(new LogSlice(
                    answer.required("first").asLong(), answer.required("next").asLong(), records));
        } catch (IOException | RuntimeException e) {
            return Either.left(new LogError.Unavailable(calls.describe(HttpMethod.GET, path, e)));
        }
    }

    /** Closes the connections; requests in flight fail. */
    public void close() {
        calls.close();
    }

    private LogError failure(HttpMethod method, String path, Throwable error) {
        String message = calls.describe(method, path, error);
        return HttpCalls.neverSent(error) ? new LogError.Unavailable(message) : new LogError.TimedOut(message);
    }

    private LogError refusal(HttpMethod method, String path, HttpResponse<Buffer> response) {
        String message = calls.describe(method, path, response);
        int status = response.statusCode();
        if (status == 429) {
            return new LogError.Overloaded();
        }
        if (status == 503) {
            return new LogError.Unavailable(message);
        }
        // Another 5xx status may come from an intermediary after the log stored the record.
        return status >= 500 ? new LogError.TimedOut(message) : new LogError.Rejected(message);
    }

    private static String path(String stream) {
        if (stream.isEmpty()) {
            throw new IllegalArgumentException("stream must not be empty");
        }
        return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
    }
}
