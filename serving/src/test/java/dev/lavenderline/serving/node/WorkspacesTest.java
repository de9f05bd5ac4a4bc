package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs nodes whose callers need keys. Guards against requests that run without a key or for another workspace, jobs
 * that others can see or end, and keys that reach an upstream, a response, the log or the metrics.
 */
class WorkspacesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private ScriptedUpstream first;

    @BeforeEach
    void start() throws IOException {
        first = new ScriptedUpstream(harness.vertx, "e1");
        harness.write("config", "config", "2 workspaces acme=key-a1+key-a2 beta=key-b1");
        harness.write("upstreams", "e1", "engines " + first.port);
        harness.write("upstreams", "p1", "plain " + first.port);
        harness.startNode("n1");
    }

    @AfterEach
    void stop() {
        harness.close();
        assertFalse(logged("key-"), () -> harness.logged.toString());
        harness.nodes.forEach(node -> assertFalse(node.metrics().contains("key-"), node::metrics));
    }

    private boolean logged(String text) {
        return harness.logged.toString().contains(text);
    }

    private HttpResponse<String> send(int node, String method, String path, String id, String key) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + path))
                .timeout(TIMEOUT)
                .headers("left", "4000", "id", id, "tenant", "claimed")
                .method(method, HttpRequest.BodyPublishers.ofString(id + "-a," + id + "-b," + id + "-c"));
        if (!key.isEmpty()) {
            request.header("key", key);
        }
        HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        assertFalse(response.body().contains("key-"), response.body());
        return response;
    }

    private int post(String path, String id, String key) throws Exception {
        return send(0, "POST", path, id, key).statusCode();
    }

    private int end(String job, String key) throws Exception {
        return send(0, "DELETE", "/jobs/" + job, "", key).statusCode();
    }

    private String endResponse(String job, String key) throws Exception {
        HttpResponse<String> response = send(0, "DELETE", "/jobs/" + job, "", key);
        return response.statusCode() + " " + response.body();
    }

    private HttpResponse<String> get(String path, String key) throws Exception {
        return send(harness.nodes.size() - 1, "GET", path, "", key);
    }

    private void awaitStatus(int status, String key) {
        await().atMost(TIMEOUT).until(() -> post("/safe/x", "r", key) == status);
    }

    /** Returns the workspaces and keys that requests to paths with a prefix brought to the upstream. */
    private Set<String> callers(String prefix) {
        return first.callers.stream()
                .filter(caller -> caller.startsWith(prefix))
                .map(caller -> caller.substring(caller.indexOf(' ') + 1))
                .collect(Collectors.toSet());
    }

    /** Returns the id under which the job accepted first is kept. */
    private String internalId() {
        return harness.logged.stream()
                .filter(line -> line.startsWith("JOB_ACCEPTED"))
                .map(line -> line.replaceFirst(".*?job, ([^,]*),.*", "$1"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void onlyKnownKeysRunAndUpstreamsGetTheWorkspace() throws Exception {
        assertEquals(200, post("/stream/x", "r1", "key-a2"));
        assertEquals(200, post("/safe/x", "r2", "key-b1"));
        assertEquals(Set.of("acme null"), callers("/stream/"));
        assertEquals(Set.of("beta null"), callers("/safe/"));
        HttpResponse<String> denied = send(0, "POST", "/safe/denied", "r3", "key-none");
        assertEquals(401, denied.statusCode());
        assertEquals("Bearer", denied.headers().firstValue("WWW-Authenticate").orElse(""));
        assertEquals(401, post("/safe/denied", "r4", ""));
        assertEquals(401, post("/batch/", "j", "key-none"));
        assertEquals(401, get("/jobs/j", "").statusCode());
        assertEquals(404, post("/other/", "r5", ""));
        assertTrue(callers("/safe/denied").isEmpty());
        assertTrue(logged("KEY_REJECTED [request, r3, route, safe, cause, UNKNOWN_KEY"));
        assertTrue(harness.nodes.get(0).metrics().contains("requests_total{workspace=\"acme\"} 1"));
    }

    @Test
    void publicRouteNeedsNoKeyButRecognizesOne() throws Exception {
        assertEquals(200, post("/public/none", "r1", ""));
        assertEquals(200, post("/public/unknown", "r2", "key-none"));
        assertEquals(200, post("/public/known", "r3", "key-b1"));
        assertEquals(Set.of("null null"), callers("/public/none"));
        assertEquals(Set.of("null null"), callers("/public/unknown"));
        assertEquals(Set.of("beta null"), callers("/public/known"));
    }

    /** Guards against a 401 for a key that was added meanwhile, by a node that can't know of it. */
    @Test
    void unknownKeyIsNotDeniedWhileConfigurationMayBeOutdated() throws Exception {
        harness.context.runOnContext(now -> harness.store.down(true));
        awaitStatus(503, "key-none");
        HttpResponse<String> refused = send(0, "POST", "/safe/x", "r", "key-none");
        assertTrue(refused.headers().firstValue("retry").isPresent()
                && refused.body().startsWith("not run"));
        assertEquals(200, post("/safe/x", "r1", "key-a1"));
        harness.context.runOnContext(now -> harness.store.down(false));
        await().atMost(TIMEOUT).until(() -> post("/safe/x", "r", "key-a1") == 200 && logged("KEYS_CHECKED_AGAIN"));
        assertEquals(401, post("/safe/x", "r", "key-none"));
        assertTrue(logged("KEYS_NOT_CHECKED"));
    }

    @Test
    void resumedStreamCarriesTheWorkspaceThoughItsKeyIsGone() throws Exception {
        ScriptedUpstream second = new ScriptedUpstream(harness.vertx, "e2");
        harness.write("upstreams", "e2", "engines " + second.port);
        AtomicInteger sends = new AtomicInteger();
        first.script = (request, body) -> {
            if (sends.getAndIncrement() == 0) {
                harness.writeLater("config", "config", "3 workspaces beta=key-b1");
            }
            ScriptedUpstream.stream(harness.vertx, request, 250, 3);
        };
        second.script = first.script;
        HttpResponse<String> response = send(0, "POST", "/resumable/x", "r1", "key-a1");
        assertEquals(ScriptedUpstream.EVENT_COUNT, response.body().split("\n\n").length);
        assertEquals(List.of("/resumable/x acme null"), first.callers);
        assertEquals(List.of("/resumable/x acme null"), second.callers);
        assertEquals(401, post("/resumable/x", "r2", "key-a1"));
    }

    @Test
    void jobIsThatOfItsWorkspaceAtEachNode() throws Exception {
        harness.startNode("n2");
        first.script = (request, body) -> ScriptedUpstream.stream(harness.vertx, request, 100, 5);
        assertEquals(202, post("/batch/", "job", "key-a1"));
        for (String guess : List.of("job", internalId())) {
            assertEquals(404, get("/jobs/" + guess, "key-b1").statusCode());
            assertEquals(404, get("/jobs/" + guess + "/job-a", "key-b1").statusCode());
        }
        assertEquals(202, post("/batch/", "kept", "key-a1"));
        for (String guess : List.of("kept", internalId().replace("job", "kept"))) {
            assertEquals(endResponse("none", "key-b1"), endResponse(guess, "key-b1"));
        }
        assertEquals("body of job-a", get("/jobs/job/job-a", "key-a2").body());
        assertEquals(404, get("/jobs/" + internalId(), "key-a1").statusCode());
        assertEquals(202, send(1, "POST", "/batch/", "job", "key-a2").statusCode());
        for (String job : List.of("job", "kept")) {
            await().atMost(TIMEOUT)
                    .until(() -> get("/jobs/" + job, "key-a2").body().lines().count() == 3);
        }
        assertEquals(Set.of("acme null"), callers("/batch/"));
        assertEquals(202, post("/batch/", "job", "key-b1"));
        await().atMost(TIMEOUT)
                .until(() -> get("/jobs/job", "key-b1").body().lines().count() == 3);
        assertEquals(Set.of("acme null", "beta null"), callers("/batch/job-a"));
    }

    /** Guards also against callers that name a job by its internal id once nobody needs a key any more. */
    @Test
    void jobOutlivesItsKeysAndIsHiddenFromOthers() throws Exception {
        first.script = (request, body) -> {
            long pauseMs = request.path().startsWith("/batch/") ? 500 : 1;
            ScriptedUpstream.stream(harness.vertx, request, pauseMs, 5);
        };
        assertEquals(202, post("/batch/", "job", "key-a1"));
        await().atMost(TIMEOUT).until(() -> first.requests.size() == 2);
        harness.write("config", "config", "3");
        awaitStatus(200, "");
        assertEquals(409, post("/batch/", internalId(), ""));
        assertEquals(404, get("/jobs/" + internalId(), "").statusCode());
        assertEquals(404, end(internalId(), ""));
        harness.write("config", "config", "4 workspaces beta=key-b1");
        awaitStatus(401, "key-a2");
        await().atMost(TIMEOUT).until(() -> !callers("/batch/job-c").isEmpty());
        assertEquals(Set.of("acme null"), callers("/batch/"));
        harness.write("config", "config", "5 workspaces acme=key-a3");
        awaitStatus(200, "key-a3");
        assertEquals(200, end("job", "key-a3"));
        assertEquals(200, end("none", "key-a3"));
    }

    /** Guards against a job that runs after its end, because its submission came later than the end. */
    @Test
    void endOfAJobOnItsWayIsKept() throws Exception {
        assertEquals(200, end("late", "key-a1"));
        assertEquals(200, end("late", "key-a2"));
        assertEquals(202, post("/batch/", "late", "key-a1"));
        assertEquals(202, post("/batch/", "late", "key-b1"));
        await().atMost(TIMEOUT)
                .until(() -> get("/jobs/late", "key-b1").body().lines().count() == 3);
        assertEquals(Set.of("beta null"), callers("/batch/"));
        assertEquals("", get("/jobs/late", "key-a1").body());
    }

    /** Guards against other bytes at upstreams, and other ids of jobs, in fleets that do not use workspaces. */
    @Test
    void withoutWorkspacesHeadersAreForwarded() throws Exception {
        harness.write("config", "config", "3");
        awaitStatus(200, "");
        assertEquals(200, post("/stream/x", "r1", "key-a1"));
        assertEquals(Set.of("claimed key-a1"), callers("/stream/"));
        assertEquals(202, post("/batch/", "job", ""));
        assertEquals("job", internalId());
        assertEquals(200, end("none", ""));
    }
}
