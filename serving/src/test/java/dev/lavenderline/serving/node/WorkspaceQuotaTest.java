package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against callers that get more than the quota of their workspace by sending to several nodes. */
@Timeout(60)
class WorkspaceQuotaTest {
    private static final int NODES = 3;
    private static final int BURST = 6;
    private static final int REQUESTS = 30;

    /** One request in 2 s accrues, so that a test takes little longer than none does. */
    private static final String CONFIG = "1 limited:0.5:" + BURST + " other:0.5:" + BURST + " free:0:0";

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicInteger nextId = new AtomicInteger();
    private ScriptedUpstream upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = new ScriptedUpstream(harness.vertx, "e1");
        upstream.script = (request, body) -> {
            request.response().putHeader("Content-Type", "text/event-stream");
            request.response().end("id: 1\ndata: text\n\n");
        };
        harness.write("config", "config", CONFIG);
        harness.write("upstreams", "engines1", "engines " + upstream.port);
        harness.write("upstreams", "plain1", "plain " + upstream.port);
        for (int i = 0; i < NODES; i++) {
            harness.startNode("n" + i);
        }
        harness.awaitOneScheduler();
        // While nodes join a scheduler, it does not take a quota for used up.
        TimeUnit.MILLISECONDS.sleep(1200);
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private CompletableFuture<HttpResponse<String>> send(int node, String route, String key) {
        return client.sendAsync(
                HttpRequest.newBuilder(URI.create(
                                "http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + "/" + route + "/x"))
                        .header("id", "r" + nextId.incrementAndGet())
                        .header("key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends requests to all nodes, one at a time to each, so that slots are never short. */
    private List<HttpResponse<String>> sendToAll(String route, String key) throws Exception {
        List<HttpResponse<String>> responses = new ArrayList<>();
        for (int i = 0; i < REQUESTS / NODES; i++) {
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int node = 0; node < NODES; node++) {
                sent.add(send(node, route, key));
            }
            for (CompletableFuture<HttpResponse<String>> response : sent) {
                responses.add(response.get(10, TimeUnit.SECONDS));
            }
        }
        return responses;
    }

    private static long count(List<HttpResponse<String>> responses, int status) {
        return responses.stream()
                .filter(response -> response.statusCode() == status)
                .count();
    }

    /** Plain services are placed by each node, streams by the scheduler. */
    @ParameterizedTest
    @ValueSource(strings = {"safe", "resumable"})
    void requestsBeyondQuotaGet429(String route) throws Exception {
        List<HttpResponse<String>> responses = sendToAll(route, "limited");
        long served = count(responses, 200);
        assertEquals(REQUESTS, served + count(responses, 429), responses::toString);
        // One may accrue meanwhile; of a plain service, each node may admit two by itself before the scheduler knows.
        int more = route.equals("safe") ? 2 * NODES + 1 : 1;
        assertTrue(served >= BURST && served <= BURST + more, "served " + served);
        assertEquals(served, upstream.requests.size());
        for (HttpResponse<String> response : responses) {
            if (response.statusCode() == 429) {
                assertTrue(response.body().startsWith("not run"), response.body());
                assertTrue(response.headers().firstValueAsLong("retry").orElse(0) > 0, "no retry delay");
            }
        }
        assertEquals(200, send(1, route, "other").get().statusCode());
        assertTrue(harness.nodes.stream().anyMatch(node -> node.metrics().contains("lavenderline_quota_rejections")));
    }

    @Test
    void workspaceWithoutLimitIsServed() throws Exception {
        assertEquals(REQUESTS, count(sendToAll("safe", "free"), 200));
    }

    /** Guards against quotas that count again what other upstreams have refused. */
    @Test
    void furtherSendsAreNotCharged() throws Exception {
        harness.write("upstreams", "plain2", "plain 1");
        TimeUnit.MILLISECONDS.sleep(600);
        int served = 0;
        for (int i = 0; i < BURST; i++) {
            served += send(0, "safe", "other").get(10, TimeUnit.SECONDS).statusCode() == 200 ? 1 : 0;
        }
        assertEquals(BURST, served);
    }
}
