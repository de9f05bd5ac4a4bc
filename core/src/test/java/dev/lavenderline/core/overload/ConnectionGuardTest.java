package dev.lavenderline.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against charges that outlive what they are for, untrue refusals, and requests that the guard disturbs. */
class ConnectionGuardTest {
    private static final ConnectionLimits LIMITS =
            new ConnectionLimits(1024, Duration.ofSeconds(3), Duration.ofSeconds(5), Duration.ofSeconds(15));
    private static final long ROOM = 256 << 10;
    private static final int MAX_CONNECTIONS = 4;
    private static final int READ_TIMEOUT_MS = 5000;

    private final Vertx vertx = Vertx.vertx();

    /** The server's connections have the event loop on which it listens. */
    private final Context context = vertx.getOrCreateContext();

    private final AtomicLong nanos = new AtomicLong();
    private final List<RefusalReason> refusals = new CopyOnWriteArrayList<>();
    private final List<String> begun = new CopyOnWriteArrayList<>();
    private final List<HttpServerRequest> unanswered = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final HoldingAccount account = new HoldingAccount(
            new ProcessLimits(ROOM, MAX_CONNECTIONS),
            new ManualTicker(),
            (name, reason, peer, bytes) -> refusals.add(reason));
    private final ListenerGuard guard = new ListenerGuard("test", account, MAX_CONNECTIONS, () -> LIMITS);
    private HttpServer server;

    private final class ManualTicker implements Ticker {
        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public long nanos() {
            return nanos.get();
        }
    }

    @BeforeEach
    void start() throws Exception {
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        context.runOnContext(now -> vertx.createHttpServer(
                        new HttpServerOptions().setHttp2ClearTextEnabled(false).setHandle100ContinueAutomatically(true))
                .connectionHandler(guard::accepted)
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .onSuccess(listening::complete));
        server = listening.get();
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private void handle(HttpServerRequest request) {
        begun.add(request.path());
        if (request.path().startsWith("/early")) {
            request.response().setStatusCode(404).end("none");
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(body::appendBuffer);
        request.endHandler(end -> {
            if (request.path().startsWith("/hold")) {
                unanswered.add(request);
            } else if (request.path().startsWith("/close")) {
                request.response().putHeader("Connection", "close").end(request.path() + " " + body.length());
            } else if (request.path().startsWith("/large")) {
                request.response().end(Buffer.buffer(new byte[8 << 20]));
            } else {
                request.response().end(request.path() + " " + body.length());
            }
        });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), server.actualPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String head(String path, String fields) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
    }

    private static String withBody(String path, int length) {
        return head(path, "Content-Length: " + length + "\r\n") + "x".repeat(length);
    }

    /** Reads one response and returns its status and body; the empty string at the end of the connection. */
    private static String read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String length = head.toString().toLowerCase(Locale.ROOT).replaceAll("(?s).*content-length: (\\d+).*", "$1");
        byte[] body = in.readNBytes(Integer.parseInt(length));
        return head.substring(9, 12) + " " + new String(body, StandardCharsets.ISO_8859_1).strip();
    }

    private static void await(BooleanSupplier condition) {
        Awaitility.await().until(condition::getAsBoolean);
    }

    private void passTime(Duration time) throws Exception {
        for (long left = time.toMillis(); left > 0; left -= 1000) {
            nanos.addAndGet(Duration.ofSeconds(1).toNanos());
            enforceTimes();
        }
    }

    private void enforceTimes() throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(now -> {
            guard.enforceTimes();
            done.complete(null);
        });
        done.get();
    }

    @Test
    void chargeEndsWithTheResponse() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/a", 20_000));
        assertEquals("200 /a 20000", read(socket));
        await(() -> account.heldBytes() == HeldMemory.CONNECTION_BYTES);
        socket.close();
        await(() -> account.heldBytes() == 0 && account.holders() == 0 && guard.connections() == 0);
    }

    @Test
    void requestThatWaitsKeepsItsCharge() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/hold", 20_000));
        await(() -> unanswered.size() == 1);
        assertTrue(account.heldBytes() > HeldMemory.ofBody(20_000));
        socket.close();
        await(() -> account.heldBytes() == 0);
    }

    @Test
    void connectionServesOnAfterAnEarlyResponse() throws Exception {
        Socket socket = connect();
        write(socket, head("/early", "Content-Length: 30000\r\n") + "x".repeat(10_000));
        assertEquals("404 none", read(socket));
        write(socket, "x".repeat(20_000) + withBody("/next", 3));
        assertEquals("200 /next 3", read(socket));
        assertEquals(List.of(), refusals);
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/1", 5) + withBody("/2", 6000) + head("/3", "Content-Length: 0\r\n"));
        assertEquals("200 /1 5", read(socket));
        assertEquals("200 /2 6000", read(socket));
        assertEquals("200 /3 0", read(socket));
        write(socket, withBody("/4", 4));
        assertEquals("200 /4 4", read(socket));
    }

    @Test
    void pipelinedRequestBeginsBehindTheOneBefore() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/hold", 1) + withBody("/2", 5));
        await(() -> unanswered.size() == 1);
        write(socket, withBody("/3", 5));
        assertEquals(List.of("/hold"), begun);
        context.runOnContext(now -> unanswered.get(0).response().end("late"));
        assertEquals("200 late", read(socket));
        assertEquals("200 /2 5", read(socket));
        assertEquals("200 /3 5", read(socket));
    }

    /** The connection closes behind the response to the first one, so that the second one could not be answered. */
    @Test
    void requestBehindTheLastOneIsNotBegun() throws Exception {
        Socket socket = connect();
        write(socket, head("/1", "Connection: close\r\nContent-Length: 0\r\n") + withBody("/2", 1));
        assertEquals("200 /1 0", read(socket));
        assertEquals("", read(socket));
        assertEquals(List.of("/1"), begun);
        await(() -> account.heldBytes() == 0);
    }

    /** A server that is about to stop asks its callers to close, and serves those that send on. */
    @Test
    void requestBehindAResponseThatAsksToCloseIsServed() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/close", 1) + withBody("/2", 1));
        assertEquals("200 /close 1", read(socket));
        assertEquals("200 /2 1", read(socket));
    }

    @Test
    void tooManyPipelinedRequestsEndTheConnection() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/hold", 1) + withBody("/2", 1).repeat(40));
        assertEquals("", read(socket));
        assertEquals(List.of(RefusalReason.PIPELINE), refusals);
        await(() -> account.heldBytes() == 0);
    }

    /** A body of three quarters of the room is more than its share, as it is held in two copies. */
    @Test
    void incompleteRequestWithoutRoomIsNotRunAndToldSo() throws Exception {
        Socket socket = connect();
        write(socket, head("/a", "Content-Length: 200000\r\n") + "x".repeat(150_000));
        assertEquals("503 not run: memory", read(socket));
        await(() -> account.heldBytes() == HeldMemory.CONNECTION_BYTES);
        Socket ordinary = connect();
        write(ordinary, withBody("/b", 2000));
        assertEquals("200 /b 2000", read(ordinary));
    }

    @Test
    void chunkedBodyIsChargedAsItComes() throws Exception {
        Socket socket = connect();
        write(socket, head("/a", "Transfer-Encoding: chunked\r\n") + ("1\r\nx\r\n").repeat(2000));
        await(() -> account.heldBytes() > HeldMemory.ofBody(2000));
        write(socket, "0\r\n\r\n");
        assertEquals("200 /a 2000", read(socket));
    }

    @Test
    void trailersAreChargedAsLines() throws Exception {
        Socket socket = connect();
        write(socket, head("/hold", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n" + "a:\r\n".repeat(200));
        await(() -> account.heldBytes() > HeldMemory.CONNECTION_BYTES + 200 * 400);
        write(socket, "\r\n");
        await(() -> unanswered.size() == 1);
        assertTrue(account.heldBytes() > HeldMemory.CONNECTION_BYTES + 200 * 400);
        socket.close();
        await(() -> account.heldBytes() == 0);
    }

    @Test
    void headThatBeginsBehindAnotherRequestIsCharged() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/1", 1) + "POST /2 HTTP/1.1\r\n" + "a:\r\n".repeat(150));
        assertEquals("200 /1 1", read(socket));
        assertTrue(account.heldBytes() > HeldMemory.CONNECTION_BYTES + 150 * 400);
        write(socket, "Host: a\r\nContent-Length: 0\r\n\r\n");
        assertEquals("200 /2 0", read(socket));
        await(() -> account.heldBytes() == HeldMemory.CONNECTION_BYTES);
    }

    @Test
    void headWithTooManyBytesIsRefused() throws Exception {
        Socket socket = connect();
        write(socket, "POST / HTTP/1.1\r\n" + "a: b\r\n".repeat(200));
        assertEquals("431 not run: head_too_large", read(socket));
        assertEquals(List.of(), begun);
    }

    @Test
    void headAtTheLimitIsServed() throws Exception {
        Socket socket = connect();
        String fixed = "Host: a\r\nContent-Length: 0\r\nx: ";
        String fields = fixed + "y".repeat(LIMITS.headerBytes() - fixed.length() - 4) + "\r\n\r\n";
        write(socket, "POST /a HTTP/1.1\r\n" + fields);
        assertEquals("200 /a 0", read(socket));
    }

    @Test
    void slowHeadIsRefusedThoughBytesArrive() throws Exception {
        Socket socket = connect();
        write(socket, "POST /a HT");
        await(() -> account.heldBytes() > HeldMemory.CONNECTION_BYTES);
        passTime(Duration.ofSeconds(2));
        long held = account.heldBytes();
        write(socket, "TP/1.1\r\n");
        await(() -> account.heldBytes() > held);
        passTime(Duration.ofSeconds(2));
        assertEquals("408 not run: head_timeout", read(socket));
    }

    @Test
    void slowBodyIsRefusedThoughBytesArrive() throws Exception {
        Socket socket = connect();
        write(socket, head("/a", "Content-Length: 100\r\n"));
        await(() -> !begun.isEmpty());
        for (int i = 0; i < 6; i++) {
            write(socket, "x");
            passTime(Duration.ofSeconds(1));
        }
        assertEquals("408 not run: body_timeout", read(socket));
    }

    @Test
    void idleConnectionIsClosedAtItsTimeout() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/a", 1));
        assertEquals("200 /a 1", read(socket));
        passTime(Duration.ofSeconds(14));
        write(socket, withBody("/b", 1));
        assertEquals("200 /b 1", read(socket));
        passTime(Duration.ofSeconds(17));
        assertEquals("", read(socket));
        assertEquals(List.of(RefusalReason.IDLE), refusals);
    }

    @Test
    void suspendedProcessClosesNothingOnItsReturn() throws Exception {
        Socket socket = connect();
        await(() -> guard.connections() == 1);
        nanos.addAndGet(Duration.ofSeconds(30).toNanos());
        enforceTimes();
        write(socket, withBody("/a", 1));
        assertEquals("200 /a 1", read(socket));
    }

    @Test
    void runningRequestIsNotTimedOut() throws Exception {
        Socket socket = connect();
        write(socket, withBody("/hold", 1));
        await(() -> unanswered.size() == 1);
        passTime(Duration.ofSeconds(60));
        context.runOnContext(now -> unanswered.get(0).response().end("late"));
        assertEquals("200 late", read(socket));
    }

    @Test
    void unreadResponseGivesUpItsRoom() throws Exception {
        Socket slow = connect();
        slow.setReceiveBufferSize(4096);
        write(slow, withBody("/large", 1));
        await(() -> refusals.contains(RefusalReason.MEMORY));
        await(() -> account.heldBytes() == 0);
        Socket ordinary = connect();
        write(ordinary, withBody("/b", 2000));
        assertEquals("200 /b 2000", read(ordinary));
    }

    @Test
    void newConnectionTakesThePlaceOfTheMostSilent() throws Exception {
        Socket first = connect();
        await(() -> guard.connections() == 1);
        nanos.addAndGet(Duration.ofSeconds(2).toNanos());
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            connect();
        }
        await(() -> guard.connections() == MAX_CONNECTIONS);
        Socket ordinary = connect();
        write(ordinary, withBody("/b", 1));
        assertEquals("200 /b 1", read(ordinary));
        assertEquals("", read(first));
        assertEquals(MAX_CONNECTIONS, guard.connections());
    }

    @Test
    void continueIsNoResponse() throws Exception {
        Socket socket = connect();
        write(socket, head("/a", "Expect: 100-continue\r\nContent-Length: 3\r\n"));
        byte[] interim = socket.getInputStream().readNBytes("HTTP/1.1 100 Continue\r\n\r\n".length());
        assertTrue(new String(interim, StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 100"));
        write(socket, "abc");
        assertEquals("200 /a 3", read(socket));
    }
}
