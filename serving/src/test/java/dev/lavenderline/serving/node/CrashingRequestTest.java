package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a request that comes again and again and crashes one upstream after the other. An upstream here
 * crashes a while after it has begun to run the body "crash": it closes its port and all its connections, and is back
 * under another id soon.
 */
@Timeout(60)
class CrashingRequestTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Crashes that prove a request to be the cause, and those of three retries that may be on their way. */
    private static final int MAX_CRASHES = 6;

    private static final int UPSTREAMS = 8;

    /** Time until an upstream that crashed listens again. */
    private static final long RESTART_MILLIS = 200;

    private static final long CRASH_DELAY_MILLIS = 130;

    private static final String PARTS = "1,2";

    private final NodeHarness harness = new NodeHarness();
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();

    /** Whether upstreams send the head and an event of a response before they crash. */
    private volatile boolean answersFirst;

    @BeforeEach
    void startNodes() throws IOException {
        harness.write("config", "config", "1");
        for (int i = 0; i < UPSTREAMS; i++) {
            startUpstream("plain", i);
            startUpstream("engines", i);
        }
        for (int i = 0; i < 3; i++) {
            harness.startNode("n" + i);
        }
        harness.awaitOneScheduler();
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private void startUpstream(String service, int number) {
        ScriptedUpstream upstream = new ScriptedUpstream(harness.vertx, "u");
        AtomicInteger generation = new AtomicInteger();
        AtomicBoolean crashing = new AtomicBoolean();
        String name = service + number + "-";
        upstream.script = (request, body) -> {
            if (!body.equals("crash")) {
                ScriptedUpstream.stream(harness.vertx, request, 10, ScriptedUpstream.EVENT_COUNT);
                return;
            }
            if (answersFirst) {
                request.response().setChunked(true).write("id: 1\ndata: text1\n\n");
            }
            if (crashing.getAndSet(true)) {
                return;
            }
            harness.vertx.setTimer(CRASH_DELAY_MILLIS, now -> {
                crashes.incrementAndGet();
                upstream.crash();
                harness.writeLater("upstreams", name + generation.getAndIncrement(), "");
            });
            harness.vertx.setTimer(
                    CRASH_DELAY_MILLIS + RESTART_MILLIS,
                    now -> upstream.restart().onSuccess(listening -> {
                        crashing.set(false);
                        harness.writeLater("upstreams", name + generation.get(), service + " " + upstream.port);
                    }));
        };
        harness.writeLater("upstreams", name + "0", service + " " + upstream.port);
    }

    private CompletableFuture<HttpResponse<String>> send(int node, String path, String parts, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeHarness.LOOPBACK + ":" + harness.ports.get(node) + "/" + path))
                .timeout(TIMEOUT)
                .header("left", "4000")
                .header("id", "r" + sent.incrementAndGet())
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!parts.isEmpty()) {
            request.header("parts", parts);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the status of the response, 0 if the connection was closed. */
    private int post(int node, String path, String parts, String body) {
        return send(node, path, parts, body)
                .handle((response, failure) -> failure == null ? response.statusCode() : 0)
                .join();
    }

    /** Sends the same request again and again, and sound ones with the same path, caller and parts between. */
    private void assertRejected(String path, String parts) {
        for (int i = 0; i < 24; i++) {
            int node = i % harness.nodes.size();
            post(node, path, parts, "crash");
            post(node, path, parts, "sound" + i);
        }
        assertTrue(crashes.get() <= MAX_CRASHES, crashes + " upstreams crashed");
        assertEquals(503, post(0, path, parts, "crash"));
        await().atMost(TIMEOUT).until(() -> post(1, path, parts, "sound") == 200);
    }

    @Test
    void requestToPlainServiceIsRejectedByAllNodes() {
        assertRejected("safe/x", "");
    }

    @Test
    void requestThatMustNotBeRepeatedIsRejectedByAllNodes() {
        assertRejected("unsafe/x", "");
    }

    @Test
    void streamIsRejectedByAllNodes() {
        assertRejected("stream/x", PARTS);
    }

    @Test
    void streamThatEndsAfterItsFirstEventIsRejectedByAllNodes() {
        answersFirst = true;
        assertRejected("stream/x", PARTS);
    }

    @Test
    void resumableStreamWithoutPartsIsRejectedByAllNodes() {
        assertRejected("resumable/x", "");
    }

    @Test
    void nodeThatStartsLaterRejectsTheRequest() throws IOException {
        assertRejected("safe/x", "");
        int before = crashes.get();
        harness.startNode("late");
        await().atMost(TIMEOUT).until(() -> post(3, "safe/x", "", "crash") == 503);
        assertTrue(crashes.get() <= before + 1, (crashes.get() - before) + " further upstreams crashed");
    }

    /** Requests of other callers may be in progress at each upstream that crashes. */
    @Test
    void soundRequestInProgressAtCrashesIsServed() {
        for (int i = 0; i < 5; i++) {
            CompletableFuture<HttpResponse<String>> crashing = send(0, "safe/x", "", "crash" + (i < 4 ? "" : i));
            for (int j = 0; j < UPSTREAMS; j++) {
                send(j % 3, "safe/y", "", "same");
            }
            crashing.handle((response, failure) -> 0).join();
        }
        await().atMost(TIMEOUT).until(() -> post(0, "safe/y", "", "same") == 200);
        assertEquals(200, post(1, "safe/y", "", "same"));
        assertEquals(200, post(2, "safe/y", "", "same"));
    }
}
