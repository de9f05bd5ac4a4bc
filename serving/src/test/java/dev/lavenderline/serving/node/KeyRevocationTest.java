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
import dev.lavenderline.serving.store.StoreException;
import io.vertx.core.Future;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests with a removed key that run on a node that cannot know of the removal. */
@Timeout(60)
class KeyRevocationTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Optional<Duration> BOUND = Optional.of(Duration.ofSeconds(5));

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ShiftedClock clock = new ShiftedClock();
    private final List<RejectingStore> stores = new ArrayList<>();
    private ScriptedUpstream upstream;

    /** System clocks that a test can set forward or back. */
    private static final class ShiftedClock implements Ticker {
        volatile Duration wallShift = Duration.ZERO;
        volatile Duration monotonicShift = Duration.ZERO;

        @Override
        public Instant now() {
            return Instant.now().plus(wallShift);
        }

        @Override
        public long nanos() {
            return System.nanoTime() + monotonicShift.toNanos();
        }
    }

    /** A node's view of the store, which rejects its calls or loses the responses to those in progress. */
    private final class RejectingStore implements MetadataStore {
        volatile boolean rejecting;

        private <T> Future<T> unlessRejecting(Future<T> response) {
            return response.compose(result -> rejecting
                    ? Future.failedFuture(new StoreException(StoreException.Reason.REJECTED, "rejected"))
                    : Future.succeededFuture(result));
        }

        @Override
        public Future<LogSlice> read(Partition partition, long from, Duration wait) {
            return unlessRejecting(harness.store.read(partition, from, rejecting ? Duration.ZERO : wait));
        }

        @Override
        public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
            return unlessRejecting(harness.store.readAt(partition, offset, bytes));
        }

        @Override
        public Future<KeyedPage> newest(Partition partition, String after) {
            return unlessRejecting(harness.store.newest(partition, after));
        }

        @Override
        public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
            return rejecting
                    ? Future.failedFuture(new StoreException(StoreException.Reason.REJECTED, "rejected"))
                    : harness.store.append(partition, expectedEnd, records);
        }

        @Override
        public void renewConnections() {}
    }

    @BeforeEach
    void start() {
        upstream = new ScriptedUpstream(harness.vertx, "e1");
        upstream.script = (request, body) -> request.response().end("done");
        harness.write("config", "config", "1 k1 k2");
        harness.write("upstreams", "p1", "plain " + upstream.port);
        harness.write("upstreams", "e1", "engines " + upstream.port);
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private void startNode(String name) throws IOException {
        RejectingStore store = new RejectingStore();
        stores.add(store);
        harness.startNode(name, store, clock, BOUND);
    }

    private CompletableFuture<HttpResponse<String>> send(int node, String method, String path, String key, String id) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + path))
                .timeout(TIMEOUT)
                .header("left", "4000")
                .header("id", id)
                .header("key", key)
                .method(method, HttpRequest.BodyPublishers.ofString("body"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private int post(int node, String path, String key) {
        return send(node, "POST", path, key, "r").join().statusCode();
    }

    private void assertNotRun(HttpResponse<String> response) {
        assertEquals(503, response.statusCode());
        assertTrue(response.body().startsWith("not run"), response.body());
        assertEquals("500", response.headers().firstValue("retry").orElse(""));
    }

    /** The node hears of the removal from the scheduler's node, and goes on serving other keys. */
    @Test
    void removedKeyIsRefusedWhileTheStoreRejectsTheNode() throws Exception {
        for (int i = 0; i < 3; i++) {
            startNode("n" + i);
        }
        harness.awaitOneScheduler();
        for (int node = 0; node < 3; node++) {
            stores.get(node).rejecting = true;
            String removed = "r" + node;
            harness.write("config", "config", 2 + 2 * node + " k1 k2 " + removed);
            int rejected = node;
            await().atMost(TIMEOUT).until(() -> post(rejected, "/safe/x", removed) == 200);
            harness.write("config", "config", 3 + 2 * node + " k1 k2");
            await().atMost(Duration.ofSeconds(5)).until(() -> post(rejected, "/safe/x", removed) != 200);
            assertEquals(401, post(node, "/safe/x", removed));
            assertEquals(200, post(node, "/safe/x", "k1"));
            stores.get(node).rejecting = false;
        }
    }

    /** Guards against refusals in a fleet whose nodes can reach each other, but not all of them the store. */
    @Test
    void fleetKeepsServingWhileTheStoreRejectsAThirdOfIt() throws Exception {
        for (int i = 0; i < 6; i++) {
            startNode("n" + i);
        }
        harness.awaitOneScheduler();
        CompletableFuture<String> scheduler = new CompletableFuture<>();
        harness.context.runOnContext(
                now -> scheduler.complete(harness.nodes.get(0).schedulerName().orElseThrow()));
        int first = Integer.parseInt(scheduler.join().substring(1));
        stores.get(first).rejecting = true;
        stores.get((first + 1) % 6).rejecting = true;
        long end = System.nanoTime() + Duration.ofSeconds(8).toNanos();
        while (System.nanoTime() - end < 0) {
            for (int node = 0; node < 6; node++) {
                assertEquals(200, post(node, "/safe/x", "k1"), "node " + node + ", scheduler " + first);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        // The store has not answered this node for 8 s, but other nodes confirm that there is no such route.
        await().atMost(TIMEOUT).until(() -> post(first, "/unknown/x", "k1") == 404);
    }

    /** Starts a node, lets the store reject it, and removes the key k1. */
    private void removeKeyUnseen() throws Exception {
        startNode("n0");
        assertEquals(200, post(0, "/safe/x", "k1"));
        stores.get(0).rejecting = true;
        harness.write("config", "config", "2 k2");
    }

    private void assertRefusedUntilConfirmed() {
        int before = upstream.requests.size();
        for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x", "/batch/x")) {
            assertNotRun(send(0, "POST", path, "k1", "r").join());
        }
        assertNotRun(send(0, "GET", "/jobs/j1", "k1", "r").join());
        assertNotRun(send(0, "GET", "/jobs/j1/i1", "k1", "r").join());
        assertNotRun(send(0, "DELETE", "/jobs/j1", "k1", "r").join());
        assertEquals(before, upstream.requests.size());
        assertEquals(200, post(0, "/public/x", "k1"), "public routes need no key");
        stores.get(0).rejecting = false;
        await().atMost(TIMEOUT).until(() -> post(0, "/safe/x", "k2") == 200);
        assertEquals(401, post(0, "/safe/x", "k1"));
    }

    @Test
    void disconnectedNodeRefusesKeysAfterTheBound() throws Exception {
        removeKeyUnseen();
        clock.monotonicShift = Duration.ofMillis(4750);
        clock.wallShift = Duration.ofMillis(4750);
        assertRefusedUntilConfirmed();
    }

    /** The host was suspended for 6 s: its monotonic clock stood still, its wall clock jumps. */
    @Test
    void resumedNodeRefusesKeysUntilConfirmed() throws Exception {
        removeKeyUnseen();
        clock.wallShift = Duration.ofSeconds(6);
        assertRefusedUntilConfirmed();
    }

    @Test
    void wallClockSetBackDoesNotExtendTheBound() throws Exception {
        removeKeyUnseen();
        clock.wallShift = Duration.ofHours(-1);
        clock.monotonicShift = Duration.ofMillis(4750);
        assertRefusedUntilConfirmed();
    }

    @Test
    void restartedNodeDoesNotServeTheRemovedKey() throws Exception {
        startNode("n0");
        harness.awaitOneScheduler();
        assertEquals(200, post(0, "/safe/x", "k1"));
        harness.write("config", "config", "2 k2");
        startNode("n1");
        assertEquals(401, post(1, "/safe/x", "k1"));
        assertEquals(200, post(1, "/safe/x", "k2"));
    }

    /** Rejects the first request without running it, after an action; further ones are answered. */
    private void rejectFirst(Runnable action, boolean mayHaveRun) {
        upstream.script = (request, body) -> {
            if (upstream.requests.size() > 1) {
                request.response().end("done");
                return;
            }
            action.run();
            harness.vertx.setTimer(300, later -> {
                if (mayHaveRun) {
                    request.connection().close();
                } else {
                    request.response()
                            .putHeader("Not-Run", "1")
                            .setStatusCode(503)
                            .end();
                }
            });
        };
    }

    private HttpResponse<String> postOnTwoUpstreams(Runnable action, boolean mayHaveRun) throws IOException {
        harness.write("upstreams", "p2", "plain " + upstream.port);
        startNode("n0");
        rejectFirst(action, mayHaveRun);
        return send(0, "POST", "/safe/x", "k1", "r").join();
    }

    private void removeKey() {
        harness.writeLater("config", "config", "2 k2");
    }

    /** The store rejects the node, which is suspended. */
    private void suspend() {
        stores.get(0).rejecting = true;
        clock.wallShift = Duration.ofSeconds(6);
    }

    @Test
    void requestIsNotSentAgainOnceItsKeyIsRemoved() throws Exception {
        assertEquals(401, postOnTwoUpstreams(this::removeKey, false).statusCode());
        assertEquals(1, upstream.requests.size());
    }

    @Test
    void requestThatMayHaveRunIsNotCalledUnauthorized() throws Exception {
        assertEquals(502, postOnTwoUpstreams(this::removeKey, true).statusCode());
        assertEquals(1, upstream.requests.size());
    }

    @Test
    void requestIsNotSentAgainOnceTheConfigurationIsTooOld() throws Exception {
        assertNotRun(postOnTwoUpstreams(this::suspend, false));
        assertEquals(1, upstream.requests.size());
    }

    @Test
    void requestThatMayHaveRunIsNotCalledNotRunOnceTheConfigurationIsTooOld() throws Exception {
        assertEquals(502, postOnTwoUpstreams(this::suspend, true).statusCode());
        assertEquals(1, upstream.requests.size());
    }

    /** Guards against a key that is removed while its request waits for a slot; the engine takes three. */
    @Test
    void waitingRequestIsNotSentOnceItsKeyIsRemoved() throws Exception {
        startNode("n0");
        List<Runnable> held = new ArrayList<>();
        upstream.script = (request, body) -> held.add(() -> request.response().end("id: 1\ndata: text\n\n"));
        List<CompletableFuture<HttpResponse<String>>> running = Stream.of("a", "b", "c")
                .map(id -> send(0, "POST", "/long/" + id, "k2", id))
                .toList();
        await().atMost(TIMEOUT).until(() -> upstream.requests.size() == 3);
        CompletableFuture<HttpResponse<String>> waiting = send(0, "POST", "/long/d", "k1", "d");
        // Time for the request to be admitted; nothing outside the node shows that it waits.
        TimeUnit.MILLISECONDS.sleep(300);
        assertFalse(waiting.isDone());
        removeKey();
        await().atMost(TIMEOUT).until(() -> post(0, "/safe/x", "k1") == 401);
        harness.context.runOnContext(now -> held.forEach(Runnable::run));
        running.forEach(response -> assertEquals(200, response.join().statusCode()));
        assertEquals(401, waiting.join().statusCode());
        assertEquals(3, upstream.requests.size());
    }

    /** A silent upstream may still answer: no other one gets the request, and the answer is delivered. */
    @Test
    void silentRequestIsNotSentElsewhereOnceItsKeyIsRemoved() throws Exception {
        harness.write("upstreams", "p2", "plain " + upstream.port);
        startNode("n0");
        upstream.script = (request, body) -> {
            removeKey();
            harness.vertx.setTimer(2500, later -> request.response().end("late"));
        };
        assertEquals("late", send(0, "POST", "/safe/x", "k1", "r").join().body());
        assertEquals(1, upstream.requests.size());
    }
}
