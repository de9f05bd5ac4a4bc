package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against taking a response that an upstream sends twice, or to nobody, for that of a later sending. */
class RepeatedResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final List<String> logged = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private final UpstreamConnections connections = new UpstreamConnections(
            vertx, Ticker.system(), (event, fields) -> logged.add(event + " " + Arrays.asList(fields)));
    private volatile Script script;

    private interface Script {
        void answer(NetSocket socket, int request, String id);
    }

    /** A response to an earlier request. */
    private enum Earlier {
        REJECTION("503 Service Unavailable\r\nNot-Run: 1", "NOT_EXECUTED"),
        MISDIRECTED("421 Misdirected Request\r\nNot-Run: 1", "OTHER_INSTANCE"),
        FAILURE("500 Internal Server Error", "500 first"),
        SUCCESS("200 OK", "200 first");

        final String start;
        final String outcome;

        Earlier(String start, String outcome) {
            this.start = start;
            this.outcome = outcome;
        }

        String bytes(String idLine) {
            return response(start, idLine, "first");
        }
    }

    private static String response(String start, String idLine, String body) {
        return "HTTP/1.1 " + start + "\r\n" + idLine + "Keep-Alive: timeout=5\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static String idLine(String id) {
        return "id: " + id + "\r\n";
    }

    private Upstream listen() {
        int port = vertx.createNetServer()
                .connectHandler(socket -> {
                    accepted.incrementAndGet();
                    socket.handler(bytes -> bytes.toString()
                            .lines()
                            .filter(line -> line.startsWith("id: "))
                            .findFirst()
                            .ifPresent(line -> script.answer(
                                    socket, requests.incrementAndGet(), line.substring("id: ".length()))));
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        return new Upstream("i", "s", "127.0.0.1", port, "a", 8, false, "v1");
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private String send(Upstream upstream, String id) throws Exception {
        return send(upstream, id, Buffer.buffer("body"));
    }

    /** Returns the status and body of a complete response, or the failure. */
    private String send(Upstream upstream, String id, Buffer content) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("id", id);
        context.runOnContext(now -> connections.send(
                upstream,
                new UpstreamRequest(id.equals("null") ? "" : id, HttpMethod.POST, "/p", headers, content),
                new TestWireFormat(),
                new ResponseListener() {
                    private final Buffer body = Buffer.buffer();
                    private int status;

                    @Override
                    public void headers(int upstreamStatus, MultiMap upstreamHeaders) {
                        status = upstreamStatus;
                    }

                    @Override
                    public void chunk(Buffer chunk) {
                        body.appendBuffer(chunk);
                    }

                    @Override
                    public void end() {
                        outcome.complete(status + " " + body);
                    }

                    @Override
                    public void failed(SendFailure failure, String message) {
                        outcome.complete(failure.name());
                    }
                }));
        return outcome.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    /** Guards against taking the second copy of a response for that of the same request, which was sent again. */
    @ParameterizedTest
    @EnumSource
    void lateCopyIsNotTakenForTheNextSendingOfTheSameRequest(Earlier earlier) throws Exception {
        Upstream upstream = listen();
        AtomicInteger copies = new AtomicInteger();
        String bytes = earlier.bytes(idLine("r"));
        script = (socket, request, id) -> {
            if (request == 1) {
                socket.write(bytes);
                // The copy precedes the next response on this connection.
                socket.handler(next -> {
                    copies.incrementAndGet();
                    socket.write(bytes + response("200 OK", idLine("r"), "second"));
                });
            } else {
                socket.write(response("200 OK", idLine(id), "second"));
            }
        };
        assertEquals(earlier.outcome, send(upstream, "r"));
        assertEquals("200 second", send(upstream, "r"), copies + " late copies");
    }

    /** Guards against the same for a copy that follows the first response at once. */
    @ParameterizedTest
    @EnumSource
    void immediateCopyIsNotTakenForTheNextSendingOfTheSameRequest(Earlier earlier) throws Exception {
        Upstream upstream = listen();
        String bytes = earlier.bytes(idLine("r"));
        script = (socket, request, id) ->
                socket.write(request == 1 ? bytes + bytes : response("200 OK", idLine(id), "second"));
        assertEquals(earlier.outcome, send(upstream, "r"));
        assertEquals("200 second", send(upstream, "r"));
    }

    /** Guards against losing a request on a connection that is being closed for the copy of the response before. */
    @ParameterizedTest
    @EnumSource
    void immediateCopyCostsTheNextRequestNothing(Earlier earlier) throws Exception {
        Upstream upstream = listen();
        String bytes = earlier.bytes(idLine("r1"));
        script = (socket, request, id) ->
                socket.write(request == 1 ? bytes + bytes : response("200 OK", idLine(id), "second"));
        assertEquals(earlier.outcome, send(upstream, "r1"));
        assertEquals("200 second", send(upstream, "r2"));
    }

    /** Guards against taking a response without id, or with another one, for proof of what became of a request. */
    @ParameterizedTest
    @CsvSource({
        "REJECTION,none", "MISDIRECTED,none", "FAILURE,none", "SUCCESS,none",
        "REJECTION,r1", "MISDIRECTED,r1", "FAILURE,r1", "SUCCESS,r1",
        "REJECTION,other", "MISDIRECTED,other", "FAILURE,other", "SUCCESS,other"
    })
    void extraResponseBeforeTheNextOneLosesTheRequest(Earlier extra, String extraId) throws Exception {
        Upstream upstream = listen();
        String before = extra.bytes(extraId.equals("none") ? "" : idLine(extraId));
        script = (socket, request, id) ->
                socket.write((request == 2 ? before : "") + response("200 OK", idLine(id), "own " + id));
        assertEquals("200 own r1", send(upstream, "r1"));
        assertEquals("LOST", send(upstream, "r2"));
        assertEquals("200 own r3", send(upstream, "r3"));
        assertEquals(2, accepted.get(), "the connection with the extra response is not reused");
        assertTrue(logged.stream().anyMatch(line -> line.startsWith("RESPONSE_REJECTED")), logged.toString());
    }

    /** Guards against the same while the request is still being written. */
    @ParameterizedTest
    @EnumSource
    void extraResponseDuringTheRequestLosesIt(Earlier extra) throws Exception {
        Upstream upstream = listen();
        script = (socket, request, id) -> {
            if (request == 1) {
                socket.write(response("200 OK", idLine(id), "own"));
            } else {
                socket.pause();
                socket.write(extra.bytes(""));
                vertx.setTimer(50, later -> socket.resume());
            }
        };
        assertEquals("200 own", send(upstream, "r1"));
        assertEquals("LOST", send(upstream, "r2", Buffer.buffer(new byte[8 * 1024 * 1024])));
    }

    /** Guards against taking a rejection behind an interim response for that of the request. */
    @ParameterizedTest
    @EnumSource
    void extraResponseBehindAnInterimResponseLosesTheRequest(Earlier extra) throws Exception {
        Upstream upstream = listen();
        String interim = "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n";
        script = (socket, request, id) ->
                socket.write(interim + extra.bytes("") + response("200 OK", idLine(id), "own"));
        assertEquals("LOST", send(upstream, "r"));
    }

    /** Guards against reusing a connection behind whose rejection a second response arrives. */
    @ParameterizedTest
    @EnumSource
    void extraResponseBehindARejectionReachesNoOtherRequest(Earlier extra) throws Exception {
        Upstream upstream = listen();
        String rejection = response("503 Service Unavailable\r\nNot-Run: 1", idLine("r1"), "full");
        script = (socket, request, id) ->
                socket.write(request == 1 ? rejection + extra.bytes("") : response("200 OK", idLine(id), "own"));
        assertEquals("NOT_EXECUTED", send(upstream, "r1"));
        String outcome = send(upstream, "r2");
        assertTrue(List.of("200 own", "LOST").contains(outcome), outcome);
    }

    /** Guards against an idle connection whose unasked bytes leave no trace. */
    @Test
    void bytesOnAnIdleConnectionAreLogged() throws Exception {
        Upstream upstream = listen();
        script = (socket, request, id) -> {
            socket.write(response("200 OK", idLine(id), "own"));
            if (request == 1) {
                vertx.setTimer(50, later -> socket.write(response("200 OK", idLine(id), "own")));
            }
        };
        assertEquals("200 own", send(upstream, "r1"));
        await().atMost(TIMEOUT)
                .until(() -> logged.stream().anyMatch(line -> line.startsWith("UNSOLICITED_BYTES [upstream, i")));
        assertEquals("200 own", send(upstream, "r2"));
        assertEquals(2, accepted.get());
    }

    /** Guards against refusing the response to a request without id, which has none either. */
    @Test
    void requestsWithoutIdAreAnsweredOnConnectionsOfTheirOwn() throws Exception {
        Upstream upstream = listen();
        script = (socket, request, id) ->
                socket.write(response("200 OK", id.equals("null") ? "" : idLine(id), "own " + request));
        assertEquals("200 own 1", send(upstream, "r1"));
        assertEquals("200 own 2", send(upstream, "null"));
        assertEquals("200 own 3", send(upstream, "null"));
        assertEquals("200 own 4", send(upstream, "r2"));
        assertEquals(3, accepted.get());
    }

    /** Guards against connections that keep the ids of requests without bound. */
    @Test
    void connectionIsReplacedAfterItsLastRequest() throws Exception {
        Upstream upstream = listen();
        script = (socket, request, id) -> socket.write(response("200 OK", idLine(id), "own"));
        for (int i = 0; i <= UpstreamConnection.MAX_REQUESTS; i++) {
            assertEquals("200 own", send(upstream, "r" + i));
        }
        assertEquals(2, accepted.get());
    }
}
