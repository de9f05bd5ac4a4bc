package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.store.KeyedPage;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.LogSlice;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls about accepted jobs that are answered by the routes, limits and keys of a later configuration,
 * at nodes that have read the job and at nodes that have not. docs/design/earlier-work.md has the table of these cells.
 */
@Timeout(60)
class EarlierWorkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private static final Duration SETTLE_TIME = Duration.ofMillis(1600);

    /** The node that accepts the jobs, and has read them. */
    private static final int ACCEPTING = 0;

    /** Nodes that have read none of the jobs, one for each call, as a call lets its node read them. */
    private static final int READS_RESULTS = 1;

    private static final int READS_BODY = 2;
    private static final int REPEATS = 3;
    private static final int ENDS = 4;

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScriptedUpstream upstream = new ScriptedUpstream(harness.vertx, "e1");

    /** A view of the store of a node that has read the jobs before the first one, and whose polls get no response. */
    private final class UnreadJobs implements MetadataStore {
        @Override
        public Future<LogSlice> read(Partition partition, long from, Duration wait) {
            return partition.topic().equals("jobs") && !wait.isZero()
                    ? Promise.<LogSlice>promise().future()
                    : harness.store.read(partition, from, wait);
        }

        @Override
        public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
            return harness.store.readAt(partition, offset, bytes);
        }

        @Override
        public Future<KeyedPage> newest(Partition partition, String after) {
            return partition.topic().equals("jobs")
                    ? Future.succeededFuture(new KeyedPage(List.of(), 0, false))
                    : harness.store.newest(partition, after);
        }

        @Override
        public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
            return harness.store.append(partition, expectedEnd, records);
        }

        @Override
        public void renewConnections() {}
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private void start(String config) throws IOException {
        harness.write("config", "config", config);
        harness.write("upstreams", "e1", "engines " + upstream.port);
        harness.write("upstreams", "p1", "plain " + upstream.port);
        harness.startNode("n0");
    }

    private void startUnreadNodes(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            harness.startNode("n" + i, new UnreadJobs(), Ticker.system(), Optional.empty());
        }
        // A node has to know a job a second after its acceptance, and notices later that the store has fallen silent.
        await().pollDelay(SETTLE_TIME).until(() -> true);
    }

    private HttpResponse<String> send(int node, String method, String path, String id, String key, String body)
            throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + path))
                .timeout(TIMEOUT)
                .headers("left", "4000", "id", id)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("key", key);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private int submit(int node, String job, String key, String items) throws Exception {
        return send(node, "POST", "/batch/", job, key, items).statusCode();
    }

    private HttpResponse<String> get(int node, String path, String key) throws Exception {
        return send(node, "GET", path, "", key, "");
    }

    private int end(int node, String job, String key) throws Exception {
        return send(node, "DELETE", "/jobs/" + job, "", key, "").statusCode();
    }

    /** Accepts a job that is done, and others of which no item ends; returns the results of the first. */
    private String acceptJobs(String key) throws Exception {
        assertEquals(202, submit(ACCEPTING, "done", key, "a"));
        await().atMost(TIMEOUT)
                .until(() -> !get(ACCEPTING, "/jobs/done", key).body().isEmpty());
        upstream.crash();
        for (String job : List.of("open", "ended", "repeated")) {
            assertEquals(202, submit(ACCEPTING, job, key, job + "-a," + job + "-b"));
        }
        return get(ACCEPTING, "/jobs/done", key).body();
    }

    private void change(String config) {
        harness.write("config", "config", config);
        String version = config.substring(0, 1);
        await().atMost(TIMEOUT)
                .until(() -> harness.logged.stream()
                                .filter(line -> line.startsWith("CONFIG_IN_FORCE [version, " + version))
                                .count()
                        == harness.nodes.size());
    }

    @ParameterizedTest
    @CsvSource({
        "1 workspaces acme=key-1, key-1, 2 +no-routes workspaces acme=key-1, key-1",
        "1 workspaces acme=key-1, key-1, 2 +no-routes workspaces acme=key-2, key-2",
        "1 workspaces acme=key-1, key-1, 2 +no-batch workspaces acme=key-1, key-1",
        "1 workspaces acme=key-1, key-1, 2 +online-batch workspaces acme=key-1, key-1",
        "1 workspaces acme=key-1, key-1, 2 +no-batch +catch-all workspaces acme=key-1, key-1",
        "1 workspaces acme=key-1, key-1, 2 +small-bodies workspaces acme=key-1, key-1",
        "1, '', 2 +no-routes, ''",
        "1, '', 2 +online-batch, ''",
        "1, '', 2 +catch-all, ''",
        "1, '', 2 +small-bodies, ''",
        "1, '', 2 workspaces acme=key-1, key-1",
        "1, '', 2 +no-routes workspaces acme=key-1, key-1",
    })
    void callsAboutJobsAreServedAfterAChange(String before, String firstKey, String after, String key)
            throws Exception {
        start(before);
        String results = acceptJobs(firstKey);
        startUnreadNodes(4);
        change(after);
        for (int node : List.of(READS_RESULTS, ACCEPTING)) {
            HttpResponse<String> read = get(node, "/jobs/done", key);
            assertEquals(200, read.statusCode(), "results at node " + node);
            assertEquals(results, read.body(), "results at node " + node);
        }
        for (int node : List.of(READS_BODY, ACCEPTING)) {
            assertEquals("body of open-b", get(node, "/jobs/open/open-b", key).body(), "body at node " + node);
        }
        for (int node : List.of(REPEATS, ACCEPTING)) {
            assertEquals(202, submit(node, "repeated", key, "repeated-a,repeated-b"), "repeat at node " + node);
        }
        for (int node : List.of(ENDS, ACCEPTING)) {
            assertEquals(200, end(node, "ended", key), "end at node " + node);
        }
        assertEquals(
                4,
                harness.logged.stream()
                        .filter(line -> line.startsWith("JOB_ACCEPTED"))
                        .map(line -> line.substring(0, line.indexOf(", route")))
                        .distinct()
                        .count(),
                "a repeat became another job");
    }

    /** Guards against results that become public, and jobs that run twice, once nobody has to show a key. */
    @Test
    void jobsOfWorkspacesWaitForTheirReturn() throws Exception {
        start("1 workspaces acme=key-1");
        String results = acceptJobs("key-1");
        change("2");
        assertEquals(503, get(ACCEPTING, "/jobs/done", "").statusCode());
        assertEquals(503, get(ACCEPTING, "/jobs/open/open-b", "").statusCode());
        assertEquals(503, submit(ACCEPTING, "repeated", "", "repeated-a,repeated-b"));
        assertEquals(503, end(ACCEPTING, "ended", ""));
        assertEquals(404, get(ACCEPTING, "/jobs/none", "").statusCode());
        change("3 workspaces beta=key-b acme=key-1");
        assertEquals(results, get(ACCEPTING, "/jobs/done", "key-1").body());
        assertEquals(404, get(ACCEPTING, "/jobs/done", "key-b").statusCode());
    }

    /** Guards against calls that reach the job of another workspace where no route decides about them. */
    @Test
    void othersAreJudgedByTheNewConfiguration() throws Exception {
        start("1 workspaces acme=key-1 beta=key-b");
        acceptJobs("key-1");
        startUnreadNodes(1);
        change("2 +no-routes workspaces acme=key-1 beta=key-b");
        for (int node : List.of(READS_RESULTS, ACCEPTING)) {
            assertEquals(404, get(node, "/jobs/done", "key-b").statusCode());
            assertEquals(404, get(node, "/jobs/open/open-b", "key-b").statusCode());
            assertEquals(404, submit(node, "repeated", "key-b", "repeated-a,repeated-b"));
            assertEquals(404, submit(node, "unknown", "key-1", "repeated-a,repeated-b"));
            assertEquals(404, submit(node, "repeated", "", "repeated-a,repeated-b"));
            assertEquals(404, end(node, "ended", "key-b"));
            assertEquals(401, get(node, "/jobs/done", "").statusCode());
        }
        upstream.restart().toCompletionStage().toCompletableFuture().join();
        change("3 +online-batch workspaces acme=key-1 beta=key-b");
        await().atMost(TIMEOUT).until(() -> submit(ACCEPTING, "repeated", "key-1", "other items") == 200);
        assertEquals(200, submit(ACCEPTING, "repeated", "key-b", "repeated-a,repeated-b"));
        change("4 workspaces acme=key-1 beta=key-b");
        assertTrue(get(ACCEPTING, "/jobs/ended", "key-1").statusCode() == 200, "ended by another workspace");
        assertFalse(harness.logged.stream().anyMatch(line -> line.startsWith("JOB_ENDED")));
    }

    /** Guards against items that run on a route that has taken over the name of theirs for another kind of request. */
    @Test
    void itemsDoNotRunOnARouteOfAnotherKind() throws Exception {
        start("1");
        upstream.crash();
        assertEquals(202, submit(ACCEPTING, "job", "", "a,b"));
        change("2 +online-batch");
        upstream.restart().toCompletionStage().toCompletableFuture().join();
        await().atMost(TIMEOUT)
                .until(() -> get(ACCEPTING, "/jobs/job", "").body().lines().count() == 2);
        assertEquals(
                "a!|b!|".replace('|', '\n'), get(ACCEPTING, "/jobs/job", "").body());
        assertEquals(List.of(), upstream.requests);
    }
}
