package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.proto.jobs.JobRecord;
import dev.lavenderline.proto.slots.NodeRecord;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against whole nodes that follow the store no further, or find nothing in it, after an odd entry. */
class OddEntriesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private ScriptedUpstream first;
    private ScriptedUpstream second;
    private int sent;

    @BeforeEach
    void start() {
        first = new ScriptedUpstream(harness.vertx, "e1");
        second = new ScriptedUpstream(harness.vertx, "e2");
        harness.write("config", "config", "1");
        harness.write("upstreams", "e1", "engines " + first.port);
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Writes entries for which the decoder throws or names a port out of range, and records of jobs and nodes. */
    private void writeOddEntries() {
        harness.write("upstreams", "a-odd", "nonsense");
        harness.write("upstreams", "z-odd", "engines 99999999999");
        harness.write(
                "nodes",
                "a-odd",
                NodeRecord.newBuilder()
                        .setName("a-odd")
                        .setHost("127.0.0.1")
                        .setPort(70_000)
                        .build()
                        .toByteArray());
        harness.write(
                "jobs",
                "job/odd/0",
                JobRecord.newBuilder()
                        .setPart(JobPart.newBuilder().setJob("odd").setParts(1).setItemsTotal(Integer.MAX_VALUE))
                        .build()
                        .toByteArray());
    }

    private int post(int node) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + "/stream/x"))
                .timeout(TIMEOUT)
                .header("left", "4000")
                .header("id", "r" + sent++)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .join()
                .statusCode();
    }

    @Test
    void processThatStartsWithOddEntriesServesTheOtherUpstreams() throws IOException {
        writeOddEntries();
        harness.startNode("n1");
        assertEquals(200, post(0));
        assertEquals(1, first.requests.size());
    }

    @Test
    void listIsFollowedAfterOddEntries() throws IOException {
        harness.startNode("n1");
        harness.startNode("n2");
        harness.awaitOneScheduler();
        writeOddEntries();
        harness.write("upstreams", "e1", "");
        harness.write("upstreams", "e2", "engines " + second.port);
        await().atMost(TIMEOUT).until(() -> {
            int before = second.requests.size();
            return post(0) == 200 && post(1) == 200 && second.requests.size() == before + 2;
        });
    }
}
