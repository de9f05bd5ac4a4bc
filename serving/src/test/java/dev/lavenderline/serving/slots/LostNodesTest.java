package dev.lavenderline.serving.slots;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that can't be resumed, or are resumed on another software version, after the loss of the nodes
 * that knew where they began. Each node has its own event loop, and is lost when that is closed.
 */
class LostNodesTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final int NODES = 5;

    private final List<Node> nodes = new ArrayList<>();

    private static final class Node {
        final Vertx vertx = Vertx.vertx();
        final Context context = vertx.getOrCreateContext();
        final NodeEntry entry;
        SlotService slots;

        Node(int number) throws IOException {
            try (ServerSocket socket = new ServerSocket(0)) {
                // The first node is the preferred scheduler, the next ones succeed it.
                entry = new NodeEntry("n" + number, LOOPBACK, socket.getLocalPort(), "d" + number, 0, NODES - number);
            }
        }

        void start() {
            Ticker ticker = Ticker.system();
            UpstreamDirectory directory = new UpstreamDirectory(ticker);
            directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "d0", 4, false, "v1"));
            directory.put(new Upstream("e2", "s", "10.0.0.2", 80, "d0", 4, false, "v2"));
            slots = new SlotService(
                    vertx,
                    entry,
                    directory,
                    visitor -> {},
                    new LocalPlacement(ticker, directory, new UpstreamHealth(ticker), "d0", () -> 0.5),
                    ticker,
                    new VertxTimers(vertx),
                    EventLog.NONE,
                    () -> 0.5,
                    () -> Duration.ZERO,
                    new CrashingPrompts(ticker, EventLog.NONE),
                    SlotScheduler.Options.defaults());
            slots.client().start(null);
            slots.listen(LOOPBACK, entry.port());
            vertx.setPeriodic(20, timer -> slots.scheduler().schedule());
        }

        void run(Runnable task) {
            context.runOnContext(now -> task.run());
        }

        /** Requests a slot for a stream that its caller resumes; returns the upstream, or "rejected". */
        CompletableFuture<String> resume(String attempt) {
            CompletableFuture<String> decision = new CompletableFuture<>();
            run(() -> slots.client()
                    .acquire(
                            new SlotRequest(
                                    entry.name(),
                                    slots.client().newLease(),
                                    "s",
                                    Duration.ofMillis(300),
                                    Duration.ofSeconds(5),
                                    Set.of(),
                                    0,
                                    true,
                                    Optional.of(StreamOrigin.ofAttempt(Optional.of(attempt), System.nanoTime()))),
                            new SlotClient.Listener() {
                                @Override
                                public void granted(String upstream) {
                                    decision.complete(upstream);
                                }

                                @Override
                                public void rejected(Duration retryAfter) {
                                    decision.complete("rejected");
                                }
                            }));
            return decision;
        }
    }

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
        List<NodeEntry> registered = nodes.stream().map(node -> node.entry).toList();
        nodes.forEach(node -> node.run(() -> {
            node.start();
            node.vertx.setTimer(200, later -> node.slots.client().replaceNodes(registered));
        }));
        nodes.forEach(node -> await().atMost(TIMEOUT)
                .until(() -> node.slots != null
                        && node.slots.client().schedulerName().equals(Optional.of("n0"))));
    }

    @AfterEach
    void stop() {
        nodes.forEach(this::lose);
    }

    private void lose(Node node) {
        node.vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void beginStreams(Node node) {
        node.run(() -> {
            node.slots.client().streamBegan(List.of("began on v1"), new ServiceVersion("s", "v1"));
            node.slots.client().streamBegan(List.of("began on v2"), new ServiceVersion("s", "v2"));
        });
        await().pollDelay(Duration.ofMillis(300)).atMost(TIMEOUT).until(() -> true);
    }

    private static void assertResumed(Node node) throws Exception {
        assertEquals("e1", node.resume("began on v1").get(10, TimeUnit.SECONDS));
        assertEquals("e2", node.resume("began on v2").get(10, TimeUnit.SECONDS));
        assertEquals("rejected", node.resume("unknown").get(10, TimeUnit.SECONDS));
    }

    @Test
    void streamOfALostNodeIsResumedOnItsVersion() throws Exception {
        beginStreams(nodes.get(4));
        lose(nodes.get(4));
        assertResumed(nodes.get(3));
    }

    @Test
    void streamOfTheSchedulersNodeIsResumedOnItsVersionAfterItsLoss() throws Exception {
        beginStreams(nodes.get(0));
        lose(nodes.get(0));
        assertResumed(nodes.get(4));
    }

    @Test
    void streamIsResumedOnItsVersionAfterTheLossOfItsNodeAndTheScheduler() throws Exception {
        beginStreams(nodes.get(4));
        lose(nodes.get(0));
        lose(nodes.get(4));
        assertResumed(nodes.get(3));
    }

    @Test
    void streamIsResumedOnItsVersionAfterTheLossOfItsNodeTheSchedulerAndItsSuccessor() throws Exception {
        beginStreams(nodes.get(4));
        lose(nodes.get(0));
        lose(nodes.get(1));
        lose(nodes.get(4));
        assertResumed(nodes.get(3));
    }

    /** Guards against continuing a stream at random after the loss of its node, the scheduler and both copies. */
    @Test
    void streamIsRefusedAfterTheLossOfAllNodesThatKnewItsVersion() throws Exception {
        beginStreams(nodes.get(4));
        // At once, since the node of the streams tells each scheduler that it turns to.
        List<CompletableFuture<Void>> lost = Stream.of(4, 0, 1, 2)
                .map(number ->
                        nodes.get(number).vertx.close().toCompletionStage().toCompletableFuture())
                .toList();
        lost.forEach(CompletableFuture::join);
        assertEquals("rejected", nodes.get(3).resume("began on v1").get(10, TimeUnit.SECONDS));
        assertEquals("rejected", nodes.get(3).resume("began on v2").get(10, TimeUnit.SECONDS));
    }
}
