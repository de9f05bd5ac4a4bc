package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams with the text of two software versions after all nodes were gone at once: no process is left
 * that knows where a stream began, or that an upstream of another version was listed.
 */
class RestartedFleetTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int NODES = 3;

    private final Vertx upstreams = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private NodeHarness harness = new NodeHarness();
    private ScriptedUpstream old;
    private ScriptedUpstream current;

    @BeforeEach
    void start() throws IOException {
        old = new ScriptedUpstream(upstreams, "e1");
        current = new ScriptedUpstream(upstreams, "e2");
        harness.write("config", "config", "1");
        harness.write("upstreams", "e1", "engines " + old.port + " v1");
    }

    @AfterEach
    void stop() {
        harness.close();
        upstreams.close().toCompletionStage().toCompletableFuture().join();
    }

    private void startNodes() throws IOException {
        for (int i = 0; i < NODES; i++) {
            harness.startNode("n" + i);
        }
        harness.awaitOneScheduler();
    }

    /** Ends all nodes at once. */
    private void loseNodes() {
        harness.close();
        harness = new NodeHarness(harness.store);
    }

    private HttpRequest.Builder request(int node, String id) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + "/resumable/x"))
                .timeout(TIMEOUT)
                .header("left", "4000")
                .header("id", id)
                .POST(HttpRequest.BodyPublishers.ofString("p"));
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Begins a stream at each node; each is cut after two events of version v1. */
    private void beginStreams() {
        old.script = (request, body) -> ScriptedUpstream.stream(upstreams, request, 10, 2);
        for (int node = 0; node < NODES; node++) {
            CompletableFuture<HttpResponse<String>> cut = send(request(node, "r" + node));
            assertTrue(cut.handle((response, failure) -> failure instanceof CompletionException)
                    .join());
        }
    }

    /** Resumes the streams, each at each node; returns the statuses. */
    private List<Integer> resumeStreams() {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            for (int stream = 0; stream < NODES; stream++) {
                sent.add(send(request(node, "again" + node + stream)
                        .header("after", "2")
                        .header("resumes", "r" + stream)));
            }
        }
        return sent.stream().map(response -> response.join().statusCode()).toList();
    }

    private static long count(List<Integer> statuses, int status) {
        return statuses.stream().filter(received -> received == status).count();
    }

    private void assertAllRefused() {
        List<Integer> statuses = resumeStreams();
        assertEquals(List.of(), current.resumedAfter, "continued on v2: " + count(statuses, 200) + " of " + statuses);
        assertEquals(NODES * NODES, count(statuses, 503), () -> "not refused: " + statuses);
    }

    /** Guards against the conclusion that the only version listed now was the only one in service. */
    @Test
    void streamOfVersionThatVanishedWithAllNodesIsNotContinuedOnAnother() throws IOException {
        startNodes();
        beginStreams();
        harness.write("upstreams", "e2", "engines " + current.port + " v2");
        await().pollDelay(Duration.ofMillis(700)).atMost(TIMEOUT).until(() -> true);
        loseNodes();
        harness.write("upstreams", "e1", "");
        startNodes();
        assertAllRefused();
    }

    /** As above, but the new version appears only when no node is there. */
    @Test
    void streamIsNotContinuedOnVersionThatAppearedWhileAllNodesWereGone() throws IOException {
        startNodes();
        beginStreams();
        loseNodes();
        harness.write("upstreams", "e1", "");
        harness.write("upstreams", "e2", "engines " + current.port + " v2");
        startNodes();
        assertAllRefused();
    }

    /** As above, but the upstream comes back under its id. */
    @Test
    void streamIsNotContinuedOnUpstreamThatHasChangedItsVersion() throws IOException {
        startNodes();
        beginStreams();
        loseNodes();
        harness.write("upstreams", "e1", "engines " + current.port + " v2");
        startNodes();
        assertAllRefused();
    }

    /** As above, but the store knew that there had been no other version. */
    @Test
    void streamIsNotContinuedOnVersionThatReplacedTheOnlyRecordedOne() throws IOException {
        startNodes();
        harness.writeSettledVersion("v1");
        beginStreams();
        loseNodes();
        harness.write("upstreams", "e1", "");
        harness.write("upstreams", "e2", "engines " + current.port + " v2");
        startNodes();
        assertAllRefused();
    }

    /** Guards against refusing all resumptions after the loss of all nodes although there was only one version. */
    @Test
    void streamIsContinuedOnTheOnlyVersionThatWasInService() throws IOException {
        startNodes();
        harness.writeSettledVersion("v1");
        beginStreams();
        loseNodes();
        startNodes();
        old.script = (request, body) -> ScriptedUpstream.stream(upstreams, request, 10, ScriptedUpstream.EVENT_COUNT);
        List<Integer> statuses = resumeStreams();
        assertEquals(NODES * NODES, count(statuses, 200), () -> "not continued: " + statuses);
        assertEquals(NODES * NODES, old.resumedAfter.size());
    }
}
