package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.TestWire;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers of other requests, cut answers and connections that must not be used again. */
class UpstreamExchangeTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final AtomicInteger connectionsSeen = new AtomicInteger();
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private UpstreamConnections connections;
    private volatile BiConsumer<NetSocket, String> engine;
    private Upstream upstream;

    @BeforeEach
    void start() {
        connections = new UpstreamConnections(vertx, Ticker.system());
        NetServer server = vertx.createNetServer().connectHandler(socket -> {
            connectionsSeen.incrementAndGet();
            socket.handler(bytes -> engine.accept(socket, bytes.toString()));
        });
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        upstream = new Upstream("i", "s", "127.0.0.1", port, "a", 8, false);
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void send(String id) {
        int before = heard.size();
        context.runOnContext(now -> connections.send(
                upstream,
                new UpstreamCall(id, HttpMethod.POST, "/p", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("body")),
                new TestWire(),
                new AnswerListener() {
                    private final Buffer body = Buffer.buffer();

                    @Override
                    public void head(int status, MultiMap headers) {}

                    @Override
                    public void data(Buffer piece) {
                        body.appendBuffer(piece);
                    }

                    @Override
                    public void end() {
                        heard.add("answer " + body);
                    }

                    @Override
                    public void failed(SendFailure failure, String message) {
                        heard.add(failure.name());
                    }
                }));
        await().atMost(LIMIT).until(() -> heard.size() > before);
    }

    private static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    @Test
    void answerIsHandedOverAndTheConnectionUsedAgain() {
        engine = (socket, request) -> socket.write(answer("r", "text"));
        send("r");
        send("r");
        assertEquals(List.of("answer text", "answer text"), heard);
        assertEquals(1, connectionsSeen.get());
    }

    @Test
    void answerWithAnotherIdIsNotTaken() {
        engine = (socket, request) -> socket.write(answer("other", "text"));
        send("r");
        assertEquals(List.of("LOST"), heard);
    }

    @Test
    void answerWithoutIdIsNotTaken() {
        engine = (socket, request) -> socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext");
        send("r");
        assertEquals(List.of("LOST"), heard);
    }

    @Test
    void secondAnswerDoesNotReachTheNextRequest() {
        AtomicInteger requests = new AtomicInteger();
        engine = (socket, request) -> {
            int number = requests.incrementAndGet();
            socket.write(answer("r" + number, "text" + number));
            if (number == 1) {
                socket.write(answer("r1", "text1"));
            }
        };
        send("r1");
        send("r2");
        assertEquals("answer text1", heard.get(0));
        assertTrue(List.of("answer text2", "LOST").contains(heard.get(1)), heard.toString());
    }

    @Test
    void cutAnswerIsNotComplete() {
        engine = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nContent-Length: 10\r\n\r\ntext");
            vertx.setTimer(50, later -> socket.close());
        };
        send("r");
        assertEquals(List.of("CUT"), heard);
    }

    @Test
    void cutChunkedAnswerIsNotComplete() {
        engine = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n");
            vertx.setTimer(50, later -> socket.close());
        };
        send("r");
        assertEquals(List.of("CUT"), heard);
    }

    @Test
    void answerThatEndsWithTheConnectionIsComplete() {
        engine = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nConnection: close\r\n\r\ntext");
            vertx.setTimer(50, later -> socket.close());
        };
        send("r");
        assertEquals(List.of("answer text"), heard);
    }

    @Test
    void refusalSaysThatNothingRan() {
        engine = (socket, request) ->
                socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        send("r");
        assertEquals(List.of("NOT_EXECUTED"), heard);
    }

    @Test
    void silentCloseMayHaveRun() {
        engine = (socket, request) -> socket.close();
        send("r");
        assertEquals(List.of("LOST"), heard);
    }

    @Test
    void refusedConnectionHasNotRun() {
        upstream = new Upstream("j", "s", "127.0.0.1", 1, "a", 8, false);
        send("r");
        assertEquals(List.of("NOT_CONNECTED"), heard);
    }

    @Test
    void bytesThatAreNoAnswerMayHaveRun() {
        engine = (socket, request) -> socket.write("garbage\r\n\r\nmore garbage\r\n\r\n");
        send("r");
        assertEquals(List.of("LOST"), heard);
    }
}
