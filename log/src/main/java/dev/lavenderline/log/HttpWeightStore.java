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
 * The weight store over HTTP, with the protocol of section 8 of the design page.
 *
 * <p>Not thread-safe; confined to the event loop on which it was created.
 */
public final class HttpWeightStore implements WeightStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/reserve";

    private final HttpCalls calls;

    /** Creates a client; the timeout is the limit from sending to the answer. */
    public HttpWeightStore(Vertx vertx, URI base, Duration requestTimeout) {
        this.calls = new HttpCalls(vertx, base, requestTimeout);
    }

    @Override
    public Uni<Either<PlatformError, Duration>> reserve(String artifact, long bytes) {
        Objects.requireNonNull(artifact, "artifact");
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative, but are " + bytes);
        }
        Buffer body =
                new JsonObject().put("artifact", artifact).put("bytes", bytes).toBuffer();
        return Futures.toUni(() -> calls.send(HttpMethod.POST, PATH, Map.of(), body, Duration.ZERO)
                .map(this::parse)
                .otherwise(error -> Either.left(new PlatformError(calls.describe(HttpMethod.POST, PATH, error)))));
    }

    private Either<PlatformError, Duration> parse(HttpResponse<Buffer> response) {
        if (response.statusCode() != 200) {
            return Either.left(new PlatformError(calls.describe(HttpMethod.POST, PATH, response)));
        }
        try {
            return Either.right(Duration.ofMillis(JSON.readTree(response.body().getBytes())
                    .required("wait_ms")
                    .asLong()));
        } catch (IOException | RuntimeException e) {
            return Either.left(new PlatformError(calls.describe(HttpMethod.POST, PATH, e)));
        }
    }

    /** Closes the connections; requests in flight fail. */
    public void close() {
        calls.close();
    }
}
