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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The host list over HTTP with JSON bodies.
 *
 * <p>Not thread-safe; confined to the event loop on which it was created.
 */
public final class HttpHostList implements HostList {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/hosts";

    private final PlatformHttpClient http;

    /** Creates a client; the timeout covers a request from sending to its response. */
    public HttpHostList(Vertx vertx, URI base, Duration requestTimeout) {
        this.http = new PlatformHttpClient(vertx, base, requestTimeout);
    }

    @Override
    public Uni<Either<PlatformError, List<HostEntry>>> hosts() {
        return Futures.toUni(() -> http.send(HttpMethod.GET, PATH, Map.of(), null, Duration.ZERO)
                .map(this::parse)
                .otherwise(error -> Either.left(new PlatformError(http.describe(HttpMethod.GET, PATH, error)))));
    }

    private Either<PlatformError, List<HostEntry>> parse(HttpResponse<Buffer> response) {
        if (response.statusCode() != 200) {
            return Either.left(new PlatformError(http.describe(HttpMethod.GET, PATH, response)));
        }
        try {
            List<HostEntry> hosts = new ArrayList<>();
            for (JsonNode host : JSON.readTree(response.body().getBytes()).required("hosts")) {
                hosts.add(new HostEntry(
                        host.required("address").asText(),
                        HostState.valueOf(host.required("state").asText().toUpperCase(Locale.ROOT))));
            }
            return Either.right(List.copyOf(hosts));
        } catch (IOException | RuntimeException e) {
            return Either.left(new PlatformError(http.describe(HttpMethod.GET, PATH, e)));
        }
    }

    /** Closes the connections; requests in flight fail. */
    public void close() {
        http.close();
    }
}
