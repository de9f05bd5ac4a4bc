package dev.lavenderline.serving.slots;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a connection between nodes whose later frames are not handled after one that fails. */
class SlotServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Vertx vertx = Vertx.vertx();
    private final List<ServingEvent> events = new CopyOnWriteArrayList<>();
    private final CompletableFuture<UpstreamDirectory> filled = new CompletableFuture<>();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "127.0.0.1", 80, "a", 2, false, "v1");
    }

    /** Starts a server without a scheduler, so that the frames for the scheduler fail. */
    private int startServer() {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(now -> {
            Ticker ticker = Ticker.system();
            UpstreamDirectory directory = new UpstreamDirectory(ticker);
            directory.replaceAll(List.of(upstream("e1"), upstream("e2")));
            EventLog log = (event, fields) -> events.add(event);
            SlotServer server = new SlotServer(
                    vertx,
                    ticker,
                    new VertxTimers(vertx),
                    log,
                    () -> Duration.ZERO,
                    new CrashingPrompts(ticker, log),
                    directory);
            server.listen("127.0.0.1", 0).onSuccess(listening -> {
                filled.complete(directory);
                port.complete(listening);
            });
        });
        return port.join();
    }

    private static UpstreamNotice leaving(String upstream) {
        return new UpstreamNotice(upstream, 0, true, OptionalDouble.empty());
    }

    @Test
    void framesAfterOneThatFailsAreHandledOnce() {
        int port = startServer();
        NetSocket socket = vertx.createNetClient()
                .connect(port, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        socket.write(SlotFrames.suspect("e1").appendBuffer(SlotFrames.upstreamNotice(leaving("e1"))));
        await().atMost(TIMEOUT).until(() -> notices() == 1);
        socket.write(SlotFrames.upstreamNotice(leaving("e2")));
        await().atMost(TIMEOUT).until(() -> notices() == 2);
        assertEquals(
                1,
                events.stream()
                        .filter(event -> event == ServingEvent.UNEXPECTED)
                        .count());
    }

    private int notices() {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        vertx.runOnContext(now -> count.complete(filled.join().notices().size()));
        return count.join();
    }
}
