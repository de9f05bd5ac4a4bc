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
 * The log over HTTP with JSON responses. Each subscription to a returned Uni sends one request.
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

    private final PlatformHttpClient http;

    /**
     * Creates a client; connections are opened by the first request.
     *
     * @param base URL of the log, such as {@code http://10.0.0.5:7400}
     * @param requestTimeout limit from sending a request to its response; a long poll gets its wait in addition
     */
    public HttpLogService(Vertx vertx, URI base, Duration requestTimeout) {
        this.http = new PlatformHttpClient(vertx, base, requestTimeout);
    }

    @Override
    public Uni<Either<LogError, Long>> append(String stream, byte[] data) {
        Objects.requireNonNull(data, "data");
        String path = recordsPath(stream);
        if (data.length > MAX_RECORD_BYTES) {
            return Uni.createFrom()
                    .item(Either.left(new LogError.Rejected(
                            "record of " + data.length + " bytes exceeds the limit of " + MAX_RECORD_BYTES)));
        }
        return Futures.toUni(() -> http.send(HttpMethod.POST, path, Map.of(), Buffer.buffer(data), Duration.ZERO)
                .map(response -> parseAppend(path, response))
                .otherwise(error -> Either.left(errorFor(HttpMethod.POST, path, error))));
    }

    private Either<LogError, Long> parseAppend(String path, HttpResponse<Buffer> response) {
        if (response.statusCode() != 200) {
            return Either.left(errorFor(HttpMethod.POST, path, response));
        }
        try {
            long offset =
                    JSON.readTree(response.body().getBytes()).path("offset").asLong();
            if (offset >= 1) {
                return Either.right(offset);
            }
        } catch (IOException | RuntimeException e) {
            return Either.left(new LogError.TimedOut(http.describe(HttpMethod.POST, path, e)));
        }
        // The append took effect, but its offset is unknown, as after a lost response.
        return Either.left(new LogError.TimedOut("POST " + path + ": the response has no offset"));
    }

    @Override
    public Uni<Either<LogError, LogSlice>> read(String stream, long from, int maxBytes, Duration wait) {
        if (from < 1) {
            throw new IllegalArgumentException("from must be at least 1, not " + from);
        }
        String path = recordsPath(stream);
        Map<String, String> query = Map.of(
                "from", Long.toString(from),
                "max_bytes", Integer.toString(maxBytes),
                "wait_ms", Long.toString(wait.toMillis()));
        return Futures.toUni(() -> http.send(HttpMethod.GET, path, query, null, wait)
                .map(response -> parseRead(path, response))
                .otherwise(error -> Either.left(errorFor(HttpMethod.GET, path, error))));
    }

    private Either<LogError, LogSlice> parseRead(String path, HttpResponse<Buffer> response) {
        try {
            if (response.statusCode() == 410) {
                JsonNode body = JSON.readTree(response.body().getBytes());
                return Either.left(new LogError.Expired(body.required("first").asLong()));
            }
            if (response.statusCode() != 200) {
                return Either.left(errorFor(HttpMethod.GET, path, response));
            }
            JsonNode body = JSON.readTree(response.body().getBytes());
            List<LogRecord> records = new ArrayList<>();
            for (JsonNode entry : body.required("records")) {
                records.add(new LogRecord(
                        entry.required("offset").asLong(),
                        Instant.ofEpochMilli(entry.required("time").asLong()),
                        entry.required("data").binaryValue()));
            }
            return Either.right(new LogSlice(
                    body.required("first").asLong(), body.required("next").asLong(), records));
        } catch (IOException | RuntimeException e) {
            return Either.left(new LogError.Unavailable(http.describe(HttpMethod.GET, path, e)));
        }
    }

    /** Closes the connections; requests in flight fail. */
    public void close() {
        http.close();
    }

    private LogError errorFor(HttpMethod method, String path, Throwable error) {
        String message = http.describe(method, path, error);
        return PlatformHttpClient.neverSent(error) ? new LogError.Unavailable(message) : new LogError.TimedOut(message);
    }

    private LogError errorFor(HttpMethod method, String path, HttpResponse<Buffer> response) {
        String message = http.describe(method, path, response);
        int status = response.statusCode();
        if (status == 429) {
            return new LogError.Overloaded();
        }
        if (status == 503) {
            return new LogError.Unavailable(message);
        }
        // Any other 5xx status may come from an intermediary after the log stored the record.
        return status >= 500 ? new LogError.TimedOut(message) : new LogError.Rejected(message);
    }

    private static String recordsPath(String stream) {
        if (stream.isEmpty()) {
            throw new IllegalArgumentException("stream must not be empty");
        }
        return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
    }
}
