package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests to an upstream that has said in a response that it is leaving, while its entry in the store
 * does not say so or can't be read.
 */
@Timeout(60)
class LeavingResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int REQUESTS = 12;

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private ScriptedUpstream leaving;
    private ScriptedUpstream other;
    private int sent;

    @BeforeEach
    void start() throws IOException {
        leaving = new ScriptedUpstream(harness.vertx, "e1");
        other = new ScriptedUpstream(harness.vertx, "e2");
        harness.write("config", "config", "1");
        for (String service : new String[] {"engines", "plain"}) {
            harness.write("upstreams", service + "1", service + " " + leaving.port);
        }
        harness.startNode("n0");
        harness.startNode("n1");
        // A node that turns to another scheduler may get 503 until that one has read the entry of a new upstream.
        harness.awaitOneScheduler();
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private void sayLeaving() {
        leaving.script = (request, body) -> request.response()
                .putHeader("leaving", "1")
                .putHeader("Content-Type", "text/event-stream")
                .end("id: 1\ndata: text\n\n");
    }

    private void addOther() {
        harness.write("upstreams", "engines2", "engines " + other.port);
        harness.write("upstreams", "plain2", "plain " + other.port);
    }

    private int post(int node, String route) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + "/" + route + "/x"))
                .timeout(TIMEOUT)
                .header("left", "4000")
                .header("id", "r" + sent++)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .join()
                .statusCode();
    }

    private void assertAllGoToTheOther(int node, String route) {
        sayLeaving();
        assertEquals(200, post(node, route));
        addOther();
        await().atMost(TIMEOUT).until(() -> post(node, route) == 200);
        int before = leaving.requests.size();
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, post(node, route));
        }
        assertEquals(before, leaving.requests.size(), "requests at the upstream that is leaving");
    }

    @Test
    void engineGetsNoFurtherStreams() {
        assertAllGoToTheOther(0, "stream");
        // Each node reads the list of upstreams for itself.
        await().atMost(TIMEOUT).until(() -> post(1, "resumable") == 200);
        assertAllGoToTheOther(1, "resumable");
    }

    @Test
    void plainServiceGetsNoFurtherRequests() {
        assertAllGoToTheOther(0, "unsafe");
    }

    private void assertNoneGoesToTheLeaving(int... nodes) {
        int before = leaving.requests.size();
        for (int i = 0; i < REQUESTS; i++) {
            for (int node : nodes) {
                assertEquals(200, post(node, "unsafe"));
            }
        }
        assertEquals(before, leaving.requests.size(), "requests at the upstream that is leaving");
    }

    /** The other nodes have not had the response that says so. */
    @Test
    void otherNodesSendNoFurtherRequests() throws IOException {
        harness.startNode("n2");
        harness.awaitOneScheduler();
        sayLeaving();
        assertEquals(200, post(0, "unsafe"));
        addOther();
        await().atMost(TIMEOUT).until(() -> post(0, "unsafe") == 200);
        assertNoneGoesToTheLeaving(1, 2);
    }

    /** A node that starts later learns it when it joins the scheduler. */
    @Test
    void nodeThatStartsLaterSendsNoRequests() throws IOException {
        sayLeaving();
        assertEquals(200, post(0, "unsafe"));
        addOther();
        harness.startNode("late");
        harness.awaitOneScheduler();
        await().atMost(TIMEOUT).until(() -> post(2, "stream") == 200);
        assertNoneGoesToTheLeaving(2);
    }

    /** An upstream may start again under its id. */
    @Test
    void upstreamThatStartsAgainIsUsed() {
        sayLeaving();
        assertEquals(200, post(0, "stream"));
        assertEquals(503, post(0, "stream"));
        leaving.script = (request, body) -> request.response().end("id: 1\ndata: text\n\n");
        harness.write("upstreams", "engines1", "engines " + leaving.port + " started5");
        await().atMost(TIMEOUT).until(() -> post(0, "stream") == 200);
    }
}
