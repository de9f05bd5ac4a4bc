package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.config.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against engine responses that are accepted as complete or correct although they are not. */
class UpstreamClientTest {
    private static final String TOKEN_0 = chunk("r1", "\"delta\":{\"content\":\"ä0\"}");
    private static final String TOKEN_1 = chunk("r1", "\"delta\":{\"content\":\"ö1\"}");
    private static final String FINISH = chunk("r1", "\"delta\":{},\"finish_reason\":\"stop\"");
    private static final String DONE = "data: [DONE]\n\n";

    private final Vertx vertx = Vertx.vertx();
    private final Context eventLoop = vertx.getOrCreateContext();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final AtomicInteger openConnections = new AtomicInteger();
    private UpstreamClient client;
    private Upstream upstream;

    private static String chunk(String id, String choice) {
        return "data: {\"id\":\"" + id + "\",\"choices\":[{" + choice + "}]}\n\n";
    }

    private void serve(UpstreamClient.Options options, Consumer<HttpServerRequest> handler) {
        HttpServer server = vertx.createHttpServer()
                .connectionHandler(this::count)
                .requestHandler(handler::accept)
                .listen(0, "127.0.0.1")
                .await();
        upstream = new Upstream("e1", Upstream.Kind.ENGINE, "g", "127.0.0.1:" + server.actualPort(), "r", "d", 1, true);
        eventLoop.runOnContext(run -> client = new UpstreamClient(vertx, options));
        Awaitility.await().until(() -> client != null);
    }

    private void count(HttpConnection connection) {
        openConnections.incrementAndGet();
        connection.closeHandler(closed -> openConnections.decrementAndGet());
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    private void send(String id, TrafficClass trafficClass) {
        eventLoop.runOnContext(run -> send(id, trafficClass, Optional.empty()));
    }

    /** Sends a request; must be called on the event loop. */
    private void send(String id, TrafficClass trafficClass, Optional<BooleanSupplier> precondition) {
        Duration limit = Duration.ofSeconds(20);
        StreamRequest request = new StreamRequest(
                id, "/v1/completions", Buffer.buffer("{}"), trafficClass, limit, limit, false, precondition);
        client.stream(upstream, request, new StreamListener() {
            @Override
            public void token(Token token) {
                events.add(token.index() + ":" + token.text());
            }

            @Override
            public void end(End end) {
                events.add("end:" + end.finishReason());
            }

            @Override
            public void failed(UpstreamFailure failure) {
                events.add("failed:" + failure.kind());
            }
        });
    }

    static Stream<Arguments> responses() {
        return Stream.of(
                Arguments.of("complete", TOKEN_0 + TOKEN_1 + FINISH + DONE, List.of("0:ä0", "1:ö1", "end:stop")),
                Arguments.of(
                        "comments and carriage returns",
                        ": hello\r\n\r\n" + (TOKEN_0 + FINISH + DONE).replace("\n", "\r\n"),
                        List.of("0:ä0", "end:stop")),
                Arguments.of("no end marker", TOKEN_0 + FINISH, List.of("0:ä0", "failed:BROKEN")),
                Arguments.of("no finish reason", TOKEN_0 + DONE, List.of("0:ä0", "failed:BROKEN")),
                Arguments.of(
                        "cut inside an event", TOKEN_0 + TOKEN_1.substring(0, 20), List.of("0:ä0", "failed:BROKEN")),
                Arguments.of(
                        "another request's token",
                        TOKEN_0 + chunk("r2", "\"delta\":{\"content\":\"x\"}") + FINISH + DONE,
                        List.of("0:ä0", "failed:CROSSED")),
                Arguments.of(
                        "repeated token",
                        "id: 0\n" + TOKEN_0 + "id: 0\n" + TOKEN_0 + FINISH + DONE,
                        List.of("0:ä0", "end:stop")),
                Arguments.of(
                        "missing token",
                        "id: 0\n" + TOKEN_0 + "id: 2\n" + TOKEN_1 + FINISH + DONE,
                        List.of("0:ä0", "failed:BROKEN")),
                Arguments.of("not JSON", TOKEN_0 + "data: {oops\n\n" + DONE, List.of("0:ä0", "failed:BROKEN")),
                Arguments.of("not an object", "data: 7\n\n" + DONE, List.of("failed:BROKEN")),
                Arguments.of(
                        "error event",
                        TOKEN_0 + "data: {\"error\":{\"message\":\"gone\"}}\n\n",
                        List.of("0:ä0", "failed:BROKEN")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void responseIsParsedFromSingleByteChunks(String name, String response, List<String> expected) {
        byte[] bytes = response.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        serve(UpstreamClient.Options.defaults(), request -> {
            request.response().setChunked(true);
            // Single-byte chunks also split two-byte characters.
            for (byte one : bytes) {
                request.response().write(Buffer.buffer(new byte[] {one}));
            }
            request.response().end();
        });
        send("r1", TrafficClass.ONLINE);

        Awaitility.await().untilAsserted(() -> assertEquals(expected, events));
    }

    @Test
    void batchTrafficDoesNotExhaustOnlineConnections() {
        serve(new UpstreamClient.Options(Duration.ofSeconds(1), Duration.ofSeconds(10), 1), request -> {
            if (request.getHeader("X-Request-Class").equals("online")) {
                request.response().setChunked(true).end(TOKEN_0 + FINISH + DONE);
            }
        });
        send("batch-1", TrafficClass.BATCH);
        send("batch-2", TrafficClass.BATCH);
        Awaitility.await().until(() -> openConnections.get() == 1);
        send("r1", TrafficClass.ONLINE);

        Awaitility.await().untilAsserted(() -> assertEquals(List.of("0:ä0", "end:stop"), events));
    }

    @Test
    void idleConnectionIsClosed() {
        serve(
                new UpstreamClient.Options(Duration.ofSeconds(1), Duration.ofSeconds(1), 8),
                request -> request.response()
                        .setChunked(true)
                        .putHeader("X-Request-Id", request.getHeader("X-Request-Id"))
                        .end(TOKEN_0 + FINISH + DONE));
        send("r1", TrafficClass.ONLINE);
        Awaitility.await().until(() -> events.size() == 2);
        assertEquals(1, openConnections.get());

        Awaitility.await().until(() -> openConnections.get() == 0);
    }

    /** Guards against items that start long after their job was cancelled, because the process was suspended. */
    @Test
    void bodyIsNotWrittenIfPreconditionFailsWhileConnecting() {
        List<String> received = new CopyOnWriteArrayList<>();
        serve(
                UpstreamClient.Options.defaults(),
                request -> request.body().onSuccess(body -> {
                    received.add(request.getHeader("X-Request-Id"));
                    request.response().setChunked(true).end(TOKEN_0 + FINISH + DONE);
                }));
        AtomicBoolean cancelled = new AtomicBoolean();
        eventLoop.runOnContext(run -> {
            send("late", TrafficClass.BATCH, Optional.of(() -> !cancelled.get()));
            cancelled.set(true);
        });
        Awaitility.await().until(() -> !events.isEmpty());
        send("r1", TrafficClass.BATCH);

        Awaitility.await().untilAsserted(() -> assertEquals(List.of("failed:NOT_WANTED", "0:ä0", "end:stop"), events));
        assertEquals(List.of("r1"), received);
    }

    @Test
    void failureReportsWhetherBytesMayHaveBeenWritten() {
        serve(UpstreamClient.Options.defaults(), request -> request.connection().close());
        List<UpstreamFailure> failures = new CopyOnWriteArrayList<>();
        CallRequest call = new CallRequest(
                "c1",
                io.vertx.core.http.HttpMethod.POST,
                "/lockout",
                io.vertx.core.MultiMap.caseInsensitiveMultiMap(),
                Buffer.buffer("body"),
                true,
                Duration.ofSeconds(5),
                Duration.ofSeconds(5));
        CallListener listener = new CallListener() {
            @Override
            public void head(int status, io.vertx.core.MultiMap headers) {}

            @Override
            public void data(Buffer chunk) {}

            @Override
            public void end() {}

            @Override
            public void failed(UpstreamFailure failure) {
                failures.add(failure);
            }
        };
        Upstream unreachable = new Upstream("s2", Upstream.Kind.SERVICE, "g", "127.0.0.1:1", "r", "d", 1, true);
        eventLoop.runOnContext(run -> client.call(upstream, call, listener));
        Awaitility.await().until(() -> failures.size() == 1);
        eventLoop.runOnContext(run -> client.call(unreachable, call, listener));
        Awaitility.await().until(() -> failures.size() == 2);

        assertTrue(failures.get(0).maybeSent());
        assertFalse(failures.get(1).maybeSent());
        assertEquals(UpstreamFailure.Kind.CONNECT, failures.get(1).kind());
    }

    /** Guards against a response without length that counts as complete although its connection was reset. */
    @Test
    void closeDelimitedResponseIsBrokenIfConnectionIsReset() throws Exception {
        serve(UpstreamClient.Options.defaults(), request -> {});
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + server.getLocalPort();
            upstream = new Upstream("s1", Upstream.Kind.SERVICE, "g", address, "r", "d", 1, true);
            CompletableFuture<Void> reset = CompletableFuture.runAsync(() -> respondAndReset(server));
            call("r1");
            Awaitility.await().until(() -> !events.isEmpty());
            reset.join();
        }
        assertEquals(List.of("failed:BROKEN"), events);
    }

    private static void respondAndReset(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\ntext".getBytes(StandardCharsets.UTF_8));
            Awaitility.await().pollDelay(Duration.ofMillis(50)).until(() -> true);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void call(String id) {
        Duration limit = Duration.ofSeconds(20);
        CallRequest request = new CallRequest(
                id, HttpMethod.GET, "/", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(), true, limit, limit);
        eventLoop.runOnContext(run -> client.call(upstream, request, new CallListener() {
            @Override
            public void head(int status, MultiMap headers) {}

            @Override
            public void data(Buffer chunk) {}

            @Override
            public void end() {
                events.add("end");
            }

            @Override
            public void failed(UpstreamFailure failure) {
                events.add("failed:" + failure.kind());
            }
        }));
    }
}
