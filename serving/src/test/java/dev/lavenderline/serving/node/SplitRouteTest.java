package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.upstreams.ServiceVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that are joined from two services of a route once their callers resume them. */
class SplitRouteTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int STREAMS = 12;

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<ScriptedUpstream> upstreams = new ArrayList<>();

    @BeforeEach
    void start() throws IOException {
        harness.write("config", "config", "1 +split");
        for (String service : List.of("engines", "engines-next")) {
            ScriptedUpstream upstream = new ScriptedUpstream(harness.vertx, service);
            upstream.script = (request, body) -> ScriptedUpstream.stream(harness.vertx, request, 50, 5);
            upstreams.add(upstream);
            harness.write("upstreams", service, service + " " + upstream.port + " v-" + service);
            // Each service is known to have had one version, so that nothing else stops a stream from going on there.
            harness.writeSettledVersion(new ServiceVersion(service, "v-" + service));
        }
        harness.startNode("n1");
        harness.startNode("n2");
        harness.awaitOneScheduler();
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private HttpRequest request(int node, int stream, int attempt, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + "/resumable/x"))
                .timeout(TIMEOUT)
                .headers("left", "4000", "id", "r" + stream + "-" + attempt)
                .POST(HttpRequest.BodyPublishers.ofString("prompt " + stream));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return request.build();
    }

    /** Receives the first event of a stream and leaves. */
    private void receiveFirstEvent(int stream) throws IOException, InterruptedException {
        HttpResponse<InputStream> response =
                client.send(request(0, stream, 1), HttpResponse.BodyHandlers.ofInputStream());
        assertEquals(200, response.statusCode());
        try (InputStream body = response.body()) {
            body.read();
        }
    }

    private Set<String> upstreamsOf(int stream) {
        return upstreams.stream()
                .filter(upstream -> upstream.requests.stream().anyMatch(line -> line.endsWith(" prompt " + stream)))
                .map(upstream -> upstream.id)
                .collect(Collectors.toSet());
    }

    private int resume(int node, int stream) throws IOException, InterruptedException {
        return client.send(request(node, stream, 2, "after", "1"), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    @Test
    void resumedStreamStaysWithItsService() throws Exception {
        for (int stream = 0; stream < STREAMS; stream++) {
            receiveFirstEvent(stream);
        }
        for (int stream = 0; stream < STREAMS; stream++) {
            assertEquals(200, resume(stream % 2, stream));
            assertEquals(1, upstreamsOf(stream).size(), "services of stream " + stream);
        }
        assertEquals(
                2,
                Stream.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
                        .flatMap(stream -> upstreamsOf(stream).stream())
                        .distinct()
                        .count());
    }

    /** Guards also against a stream that nobody knows, and that any of the services may have begun. */
    @Test
    void unknownStreamIsNotContinued() throws Exception {
        assertEquals(503, resume(1, 1));
        assertEquals(Set.of(), upstreamsOf(1));
    }

    @Test
    void streamIsNotContinuedOnTheServiceToWhichItsRouteHasMoved() throws Exception {
        int stream = 0;
        do {
            stream++;
            receiveFirstEvent(stream);
        } while (!upstreamsOf(stream).equals(Set.of("engines")));
        int last = stream;
        harness.write("config", "config", "2 +moved");
        await().atMost(TIMEOUT)
                .until(() -> harness.logged.stream()
                                .filter(line -> line.startsWith("CONFIG_IN_FORCE [version, 2"))
                                .count()
                        == 2);
        for (int node = 0; node < 2; node++) {
            assertEquals(503, resume(node, last));
        }
        assertEquals(Set.of("engines"), upstreamsOf(last));
    }
}
