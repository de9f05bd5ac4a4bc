package dev.lavenderline.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * The weight store over HTTP with JSON bodies.
 *
 * <p>Not thread-safe; confined to the event loop on which it was created.
 */
public final class HttpWeightStore implements WeightStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/reserve";

    private final PlatformHttpClient http;

    /** Creates a client; the timeout covers a request from sending to its response. */
    public HttpWeightStore(Vertx vertx, URI base, Duration requestTimeout) {
        this.http = new PlatformHttpClient(vertx, base, requestTimeout);
    }

    @Override
    public Uni<Either<PlatformError, Duration>> reserve(String artifact, long bytes) {
        Objects.requireNonNull(artifact, "artifact");
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative, but are " + bytes);
        }
        Buffer body =
                new JsonObject().put("artifact", artifact).put("bytes", bytes).toBuffer();
        return Futures.toUni(() -> http.send(HttpMethod.POST, PATH, Map.of(), body, Duration.ZERO)
                .map(this::parse)
                .otherwise(error -> Either.left(new PlatformError(http.describe(HttpMethod.POST, PATH, error)))));
    }

    private Either<PlatformError, Duration> parse(HttpResponse<Buffer> response) {
        if (response.statusCode() != 200) {
            return Either.left(new PlatformError(http.describe(HttpMethod.POST, PATH, response)));
        }
        try {
            return Either.right(Duration.ofMillis(JSON.readTree(response.body().getBytes())
                    .required("wait_ms")
                    .asLong()));
        } catch (IOException | RuntimeException e) {
            return Either.left(new PlatformError(http.describe(HttpMethod.POST, PATH, e)));
        }
    }

    /** Closes the connections; requests in flight fail. */
    public void close() {
        http.close();
    }
}
