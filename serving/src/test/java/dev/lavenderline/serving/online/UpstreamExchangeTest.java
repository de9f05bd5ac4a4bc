package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against passing on the response to another request, taking a truncated response for complete, and reusing a
 * connection that must be closed.
 */
class UpstreamExchangeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final List<String> outcomes = new CopyOnWriteArrayList<>();
    private UpstreamConnections connections;
    private volatile BiConsumer<NetSocket, String> upstreamHandler;
    private Upstream upstream;

    @BeforeEach
    void start() {
        connections = new UpstreamConnections(vertx, Ticker.system(), EventLog.NONE);
        NetServer server = vertx.createNetServer().connectHandler(socket -> {
            acceptedConnections.incrementAndGet();
            socket.handler(bytes -> upstreamHandler.accept(socket, bytes.toString()));
        });
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        upstream = new Upstream("i", "s", "127.0.0.1", port, "a", 8, false, "v1");
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void send(String id) {
        send(id, "/p", MultiMap.caseInsensitiveMultiMap());
    }

    private void send(String id, String uri, MultiMap requestHeaders) {
        int before = outcomes.size();
        context.runOnContext(now -> connections.send(
                upstream,
                new UpstreamRequest(id, HttpMethod.POST, uri, requestHeaders, Buffer.buffer("body")),
                new TestWireFormat(),
                new ResponseListener() {
                    private final Buffer body = Buffer.buffer();

                    @Override
                    public void headers(int status, MultiMap headers) {}

                    @Override
                    public void chunk(Buffer chunk) {
                        body.appendBuffer(chunk);
                    }

                    @Override
                    public void end() {
                        outcomes.add("response " + body);
                    }

                    @Override
                    public void failed(SendFailure failure, String message) {
                        outcomes.add(failure.name());
                    }
                }));
        await().atMost(TIMEOUT).until(() -> outcomes.size() > before);
    }

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    @Test
    void responseIsDeliveredAndConnectionReused() {
        AtomicInteger requests = new AtomicInteger();
        upstreamHandler = (socket, request) -> socket.write(response("r" + requests.incrementAndGet(), "text"));
        send("r1");
        send("r2");
        assertEquals(List.of("response text", "response text"), outcomes);
        assertEquals(1, acceptedConnections.get());
    }

    /** Guards against a request whose outcome is never reported, as HTTP does not allow what it consists of. */
    @Test
    void requestThatCantBeWrittenFails() {
        upstreamHandler = (socket, request) -> socket.write(response("r", "text"));
        send("r1", "/p", MultiMap.caseInsensitiveMultiMap().add("name", "text\u0001"));
        send("r2", "/p", MultiMap.caseInsensitiveMultiMap().add("na me", "text"));
        send("r3", "/p HTTP/1.1\r\nid: r", MultiMap.caseInsensitiveMultiMap());
        assertEquals(List.of("NOT_CONNECTED", "NOT_CONNECTED", "LOST"), outcomes);
    }

    @Test
    void responseWithAnotherIdIsRejected() {
        upstreamHandler = (socket, request) -> socket.write(response("other", "text"));
        send("r");
        assertEquals(List.of("LOST"), outcomes);
    }

    @Test
    void responseWithoutIdIsRejected() {
        upstreamHandler = (socket, request) -> socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext");
        send("r");
        assertEquals(List.of("LOST"), outcomes);
    }

    @Test
    void duplicateResponseDoesNotReachTheNextRequest() {
        AtomicInteger requests = new AtomicInteger();
        upstreamHandler = (socket, request) -> {
            int number = requests.incrementAndGet();
            socket.write(response("r" + number, "text" + number));
            if (number == 1) {
                socket.write(response("r1", "text1"));
            }
        };
        send("r1");
        send("r2");
        assertEquals("response text1", outcomes.get(0));
        assertTrue(List.of("response text2", "LOST").contains(outcomes.get(1)), outcomes.toString());
    }

    @Test
    void truncatedResponseIsNotComplete() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nContent-Length: 10\r\n\r\ntext");
            vertx.setTimer(50, later -> socket.close());
        };
        send("r");
        assertEquals(List.of("CUT"), outcomes);
    }

    @Test
    void truncatedChunkedResponseIsNotComplete() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n");
            vertx.setTimer(50, later -> socket.close());
        };
        send("r");
        assertEquals(List.of("CUT"), outcomes);
    }

    @Test
    void closeDelimitedResponseIsComplete() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nConnection: close\r\n\r\ntext");
            vertx.setTimer(50, later -> socket.close());
        };
        send("r");
        assertEquals(List.of("response text"), outcomes);
    }

    /** Guards against taking a response without length for complete although its connection was reset. */
    @Test
    void closeDelimitedResponseIsCutIfConnectionIsReset() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            upstream = new Upstream("reset", "s", "127.0.0.1", server.getLocalPort(), "a", 8, false, "v1");
            CompletableFuture<Void> reset = CompletableFuture.runAsync(() -> respondAndReset(server));
            send("r");
            reset.join();
        }
        assertEquals(List.of("CUT"), outcomes);
    }

    private static void respondAndReset(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nid: r\r\n\r\ntext".getBytes(StandardCharsets.UTF_8));
            await().pollDelay(Duration.ofMillis(50)).until(() -> true);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void rejectedRequestHasNotRun() {
        upstreamHandler = (socket, request) ->
                socket.write("HTTP/1.1 503 Service Unavailable\r\nid: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        send("r");
        assertEquals(List.of("NOT_EXECUTED"), outcomes);
    }

    /** Guards against sending a running request again for a rejection that need not be its own. */
    @Test
    void requestMayHaveRunAfterRejectionWithoutId() {
        upstreamHandler = (socket, request) ->
                socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        send("r");
        assertEquals(List.of("LOST"), outcomes);
    }

    @Test
    void requestMayHaveRunAfterCloseWithoutResponse() {
        upstreamHandler = (socket, request) -> socket.close();
        send("r");
        assertEquals(List.of("LOST"), outcomes);
    }

    @Test
    void requestHasNotRunAfterRefusedConnection() {
        upstream = new Upstream("j", "s", "127.0.0.1", 1, "a", 8, false, "v1");
        send("r");
        assertEquals(List.of("NOT_CONNECTED"), outcomes);
    }

    @Test
    void requestMayHaveRunAfterMalformedResponse() {
        upstreamHandler = (socket, request) -> socket.write("garbage\r\n\r\nmore garbage\r\n\r\n");
        send("r");
        assertEquals(List.of("LOST"), outcomes);
    }

    /** Sends a request, reads the first chunk, pauses for 300 ms and records the outcome. */
    private void sendAndPause() {
        Buffer received = Buffer.buffer();
        context.runOnContext(now -> {
            UpstreamExchange[] exchange = new UpstreamExchange[1];
            exchange[0] = connections.send(
                    upstream,
                    new UpstreamRequest(
                            "r", HttpMethod.POST, "/p", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("body")),
                    new TestWireFormat(),
                    new ResponseListener() {
                        @Override
                        public void headers(int status, MultiMap headers) {}

                        @Override
                        public void chunk(Buffer chunk) {
                            if (received.length() == 0) {
                                exchange[0].pause();
                                vertx.setTimer(300, later -> exchange[0].resume());
                            }
                            received.appendBuffer(chunk);
                        }

                        @Override
                        public void end() {
                            outcomes.add("response " + received);
                        }

                        @Override
                        public void failed(SendFailure failure, String message) {
                            outcomes.add(failure.name());
                        }
                    });
        });
        await().atMost(TIMEOUT).until(() -> !outcomes.isEmpty());
    }

    /**
     * Guards against taking a complete response for truncated because the upstream closes the connection while the
     * rest of the response waits for a slow caller.
     */
    @Test
    void responseIsCompleteIfConnectionClosesWhileReadingIsPaused() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
            socket.write("4\r\ntext\r\n");
            vertx.setTimer(50, later -> socket.end(Buffer.buffer("4\r\nmore\r\n0\r\n\r\n")));
        };
        sendAndPause();
        assertEquals(List.of("response textmore"), outcomes);
    }

    /** Guards against a response without length that looks truncated as its end is queued while reading is paused. */
    @Test
    void responseWithoutLengthIsCompleteIfConnectionClosesWhileReadingIsPaused() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\n\r\ntext");
            vertx.setTimer(50, later -> socket.end(Buffer.buffer("more")));
        };
        sendAndPause();
        assertEquals(List.of("response textmore"), outcomes);
    }

    /** Guards against waiting forever for the end of a response that was truncated while reading was paused. */
    @Test
    void responseIsCutIfConnectionClosesEarlyWhileReadingIsPaused() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n");
            vertx.setTimer(50, later -> socket.end(Buffer.buffer("4\r\nmo")));
        };
        sendAndPause();
        assertEquals(List.of("CUT"), outcomes);
    }

    /** Guards against taking a response for complete that was truncated while reading was paused. */
    @Test
    void responseWithLengthIsCutIfConnectionClosesEarlyWhileReadingIsPaused() {
        upstreamHandler = (socket, request) -> {
            socket.write("HTTP/1.1 200 OK\r\nid: r\r\nContent-Length: 20\r\n\r\ntext");
            vertx.setTimer(50, later -> socket.end(Buffer.buffer("more")));
        };
        sendAndPause();
        assertEquals(List.of("CUT"), outcomes);
    }
}
