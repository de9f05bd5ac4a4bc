package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams with the text of two software versions, resumed at a node that was cut off or stood still
 * while upstreams of a new version joined and the streams began on them through another node. Each node has its own
 * event loop.
 */
class OutOfStepNodeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final int STREAMS = 5;

    private final Vertx upstreams = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final NodeHarness harness = new NodeHarness();
    private final List<Node> nodes = new ArrayList<>();
    private ScriptedUpstream old;
    private ScriptedUpstream joining;

    /** A node on its own event loop, with its own view of the store. */
    private final class Node {
        final String name;
        final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        final Context context = vertx.getOrCreateContext();
        final RemoteStore store = new RemoteStore(harness.store, harness.context);
        private ServingNode serving;
        private int port;

        Node(String name) {
            this.name = name;
            nodes.add(this);
        }

        void start() throws IOException {
            serving = harness.startNode(vertx, context, name, store, Ticker.system(), Optional.empty());
            port = harness.ports.get(harness.ports.size() - 1);
        }

        /** Returns the name of the node whose scheduler this node uses, empty while there is none. */
        String scheduler() {
            CompletableFuture<String> scheduler = new CompletableFuture<>();
            context.runOnContext(
                    now -> scheduler.complete(serving.schedulerName().orElse("")));
            return scheduler.join();
        }

        /** Lets the node stand still until the latch is released. */
        CountDownLatch suspend() {
            CountDownLatch resumed = new CountDownLatch(1);
            CountDownLatch suspended = new CountDownLatch(1);
            context.runOnContext(now -> {
                suspended.countDown();
                awaitQuietly(resumed);
            });
            awaitQuietly(suspended);
            return resumed;
        }

        private HttpRequest.Builder request(String id) {
            return HttpRequest.newBuilder(URI.create("http://" + NodeHarness.LOOPBACK + ":" + port + "/resumable/x"))
                    .timeout(TIMEOUT)
                    .header("left", "4000")
                    .header("id", id)
                    .POST(HttpRequest.BodyPublishers.ofString("p"));
        }

        /** Begins streams, each of which is cut after two events of an upstream. */
        void beginStreams(ScriptedUpstream upstream) {
            upstream.script = (request, body) -> ScriptedUpstream.stream(upstreams, request, 10, 2);
            for (int stream = 0; stream < STREAMS; stream++) {
                CompletableFuture<HttpResponse<String>> cut = send(request("r" + stream));
                assertTrue(cut.handle((response, failure) -> failure instanceof CompletionException)
                        .join());
            }
            assertEquals(STREAMS, upstream.requests.size(), "began on another upstream");
            upstream.script =
                    (request, body) -> ScriptedUpstream.stream(upstreams, request, 10, ScriptedUpstream.EVENT_COUNT);
        }

        /** Resumes the streams that {@link #beginStreams} has begun. */
        List<CompletableFuture<HttpResponse<String>>> resumeStreams() {
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int stream = 0; stream < STREAMS; stream++) {
                sent.add(send(request("again" + stream).header("after", "2").header("resumes", "r" + stream)));
            }
            return sent;
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static List<Integer> statuses(List<CompletableFuture<HttpResponse<String>>> sent) {
        return sent.stream().map(response -> response.join().statusCode()).toList();
    }

    @BeforeEach
    void start() {
        old = new ScriptedUpstream(upstreams, "e1");
        joining = new ScriptedUpstream(upstreams, "e2");
        harness.write("config", "config", "1");
        harness.write("upstreams", "e1", "engines " + old.port + " v1");
        harness.writeSettledVersion("v1");
    }

    @AfterEach
    void stop() {
        nodes.forEach(node ->
                node.vertx.close().toCompletionStage().toCompletableFuture().join());
        harness.close();
        upstreams.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Starts two nodes that do not know each other; the second one is the one that will be out of step. */
    private void startSeparateNodes() throws IOException {
        for (int i = 0; i < 2; i++) {
            Node node = new Node("n" + i);
            node.store.hideNodes();
            node.start();
        }
        awaitProof();
    }

    /** Waits until polls have proven that there was one version, as after an observation of 18 s. */
    private static void awaitProof() {
        await().pollDelay(Duration.ofSeconds(6)).atMost(TIMEOUT).until(() -> true);
    }

    private static void pass(Duration time) {
        await().pollDelay(time).atMost(TIMEOUT).until(() -> true);
    }

    /** Lets a new version join, which the nodes that are in step use alone from then on. */
    private void releaseNewVersion(int nodesInStep) {
        harness.write("upstreams", "e1", "engines " + old.port + " v1 draining");
        harness.write("upstreams", "e2", "engines " + joining.port + " v2");
        await().atMost(TIMEOUT)
                .until(() -> harness.logged.stream()
                                .filter(line -> line.startsWith("UPSTREAM_CHANGED [upstream, e2"))
                                .count()
                        == nodesInStep);
    }

    private String refusals() {
        return harness.logged.stream()
                .filter(line -> line.startsWith("STREAM_NOT_CONTINUED"))
                .toList()
                .toString();
    }

    private void assertNoneContinuedOnOldVersion(List<Integer> statuses) {
        assertEquals(
                0,
                old.resumedAfter.size(),
                () -> old.resumedAfter.size() + " of " + STREAMS + " went on at v1: " + statuses);
    }

    /** The node is cut off, and then reaches the store again while it waits for the response to a lost poll. */
    @Test
    void streamIsNotContinuedOnAnotherVersionByNodeThatIsCutOff() throws IOException {
        startSeparateNodes();
        Node inStep = nodes.get(0);
        Node cutOff = nodes.get(1);
        cutOff.store.cutOff(true);
        releaseNewVersion(1);
        inStep.beginStreams(joining);
        List<Integer> statuses = statuses(cutOff.resumeStreams());
        assertNoneContinuedOnOldVersion(statuses);
        assertEquals(List.of(503, 503, 503, 503, 503), statuses);
        cutOff.store.cutOff(false);
        assertNoneContinuedOnOldVersion(statuses(cutOff.resumeStreams()));
    }

    /** As above, but the node takes the response to a poll that was answered long ago for a new one. */
    @Test
    void streamIsNotContinuedOnAnotherVersionBySchedulerThatStoodStill() throws IOException {
        for (int i = 0; i < 3; i++) {
            new Node("n" + i).start();
        }
        await().atMost(TIMEOUT)
                .until(() -> !nodes.get(0).scheduler().isEmpty()
                        && nodes.stream().map(Node::scheduler).distinct().count() == 1);
        awaitProof();
        String scheduler = nodes.get(0).scheduler();
        Node suspended = nodes.stream()
                .filter(node -> node.name.equals(scheduler))
                .findFirst()
                .orElseThrow();
        Node inStep =
                nodes.stream().filter(node -> node != suspended).findFirst().orElseThrow();
        CountDownLatch resumed = suspended.suspend();
        // Ends the suspended node's poll before the new version joins.
        harness.write("upstreams", "e1", "engines " + old.port + " v1");
        releaseNewVersion(2);
        await().atMost(TIMEOUT)
                .until(() -> !inStep.scheduler().equals(scheduler)
                        && !inStep.scheduler().isEmpty());
        pass(Duration.ofMillis(1500));
        inStep.beginStreams(joining);
        List<CompletableFuture<HttpResponse<String>>> sent = suspended.resumeStreams();
        pass(Duration.ofMillis(200));
        resumed.countDown();
        assertNoneContinuedOnOldVersion(statuses(sent));
    }

    /** Guards against refusing what a read of the list would allow, until the next poll is answered. */
    @Test
    void streamsAreContinuedOnTheOnlyVersionOnceTheListIsRead() throws IOException {
        startSeparateNodes();
        Node cutOff = nodes.get(1);
        nodes.get(0).beginStreams(old);
        cutOff.store.cutOff(true);
        pass(Duration.ofMillis(1000));
        cutOff.store.cutOff(false);
        int readsBefore = cutOff.store.immediateReads();
        List<Integer> statuses = statuses(cutOff.resumeStreams());
        assertEquals(List.of(200, 200, 200, 200, 200), statuses, this::refusals);
        assertTrue(cutOff.store.immediateReads() > readsBefore, "concluded without a read");
    }
}
