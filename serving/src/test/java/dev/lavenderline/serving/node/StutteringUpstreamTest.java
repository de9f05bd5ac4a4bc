package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a node with upstreams that answer twice, the second time at once or late. */
class StutteringUpstreamTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int EVENTS = 3;

    private final NodeHarness harness = new NodeHarness();
    private final Vertx vertx = harness.vertx;
    private final HttpClient client = HttpClient.newHttpClient();

    @BeforeEach
    void configure() {
        harness.write("config", "config", "1");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i <= to; i++) {
            text.append("id: ").append(i).append("\ndata: text").append(i).append("\n\n");
        }
        return text.toString();
    }

    private static String response(String start, String id, String body) {
        return "HTTP/1.1 " + start + "\r\nid: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private HttpResponse<String> post(String path, String id, String body) {
        return client.sendAsync(
                        request(path)
                                .header("id", id)
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .join();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + harness.ports.get(0) + path))
                .timeout(TIMEOUT)
                .header("left", "4000");
    }

    private String jobResults() throws Exception {
        return client.send(request("/jobs/job").GET().build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    /** Returns all that a caller receives until the connection is closed. */
    private String receiveAll(String path, String id) throws IOException {
        try (Socket caller = new Socket("127.0.0.1", harness.ports.get(0))) {
            String sent = "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nid: " + id
                    + "\r\nleft: 4000\r\nConnection: close\r\nContent-Length: 1\r\n\r\np";
            caller.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static boolean complete(String received) {
        return received.endsWith("0\r\n\r\n");
    }

    private void startNode(RawUpstream upstream) throws IOException {
        harness.write("upstreams", "e1", "engines " + upstream.port);
        harness.write("upstreams", "p1", "plain " + upstream.port);
        harness.startNode("n1");
    }

    /** The response to a stream of the caller in which the events, or the whole response, come again. */
    private static String repeated(String how, String id) {
        String events = events(1, EVENTS);
        String closeDelimited = RawUpstream.closeDelimitedHead(id) + events;
        return switch (how) {
            case "close-delimited copy behind" -> closeDelimited + closeDelimited;
            case "close-delimited copy between head and body" ->
                RawUpstream.closeDelimitedHead(id) + closeDelimited + events;
            case "close-delimited copy between events" ->
                RawUpstream.closeDelimitedHead(id) + events(1, 2) + closeDelimited + events(3, EVENTS);
            case "close-delimited copy within an event" ->
                RawUpstream.closeDelimitedHead(id) + events(1, 1) + "id: 2\ndata: te" + closeDelimited + "xt2\n\n";
            case "events again in a chunk" ->
                RawUpstream.chunkedHead(id) + RawUpstream.chunk(events) + RawUpstream.chunk(events) + "0\r\n\r\n";
            case "one event again" ->
                RawUpstream.chunkedHead(id) + RawUpstream.chunk(events(1, 2)) + RawUpstream.chunk(events(2, EVENTS))
                        + "0\r\n\r\n";
            case "event missing" ->
                RawUpstream.chunkedHead(id) + RawUpstream.chunk(events(1, 1)) + RawUpstream.chunk(events(3, EVENTS))
                        + "0\r\n\r\n";
            default -> throw new IllegalArgumentException(how);
        };
    }

    /** Guards against forwarding events twice, or bytes that are none, and ending the stream as complete. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "close-delimited copy behind",
                "close-delimited copy between head and body",
                "close-delimited copy between events",
                "close-delimited copy within an event",
                "events again in a chunk",
                "one event again",
                "event missing"
            })
    void secondCopyWithinAStreamIsNotForwarded(String how) throws IOException {
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            String bytes = repeated(how, id);
            socket.write(bytes);
            if (how.startsWith("close")) {
                socket.close();
            }
        });
        startNode(upstream);
        for (String path : List.of("/stream/x", "/resumable/x")) {
            String received = receiveAll(path, "r" + path.length());
            assertFalse(complete(received), received);
            for (int i = 1; i <= EVENTS; i++) {
                assertTrue(received.split("data: text" + i, -1).length <= 2, "event " + i + " twice: " + received);
            }
            assertEquals(received.lastIndexOf("HTTP/1."), 0, received);
        }
    }

    /** Guards against recording the second copy of an output as a part of it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "close-delimited copy behind",
                "close-delimited copy between head and body",
                "close-delimited copy between events",
                "close-delimited copy within an event",
                "events again in a chunk",
                "one event again"
            })
    void secondCopyWithinAnOutputIsNotRecorded(String how) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            if (runs.incrementAndGet() == 1) {
                socket.write(repeated(how, id));
            } else {
                socket.write(RawUpstream.closeDelimitedHead(id) + events(1, EVENTS));
            }
            socket.close();
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty() || runs.get() > 6);
        assertFalse(jobResults().contains("HTTP"), jobResults());
        assertTrue(jobResults().isEmpty() || jobResults().equals("a=text1|text2|text3\n"), jobResults());
    }

    /** Guards against a second response that reaches the caller within the body of the first, which is no stream. */
    @ParameterizedTest
    @ValueSource(strings = {"close-delimited", "chunked", "length"})
    void secondResponseWithinABodyIsNotForwarded(String framing) throws IOException {
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            String copy = response("200 OK", id, "whole");
            switch (framing) {
                case "close-delimited" -> {
                    socket.write(RawUpstream.closeDelimitedHead(id) + "whole" + copy);
                    socket.close();
                }
                case "chunked" ->
                    socket.write(RawUpstream.chunkedHead(id) + RawUpstream.chunk("wh") + RawUpstream.chunk(copy + "ole")
                            + "0\r\n\r\n");
                default -> {
                    String body = "w".repeat(100) + copy;
                    socket.write(response("200 OK", id, body + "w".repeat(200 - body.length())));
                }
            }
        });
        startNode(upstream);
        assertEquals(502, post("/unsafe/x", "r1", "p").statusCode());
    }

    /** Guards against forwarding another response that names no request, or one of another connection, in a body. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: other\r\n"})
    void signedResponseWithinABodyIsNotForwarded(String idLine) throws IOException {
        RawUpstream upstream = new RawUpstream(
                vertx,
                (socket, id) -> socket.write(response(
                        "200 OK", id, "whole HTTP/1.1 200 OK\r\n" + idLine + "stamp: e1\r\n\r\nthat of another one")));
        startNode(upstream);
        assertEquals(502, post("/unsafe/x", "r1", "p").statusCode());
    }

    /** Guards against failing an item for an upstream's late copy of its earlier failure. */
    @Test
    void lateCopyOfAFailureIsNotCountedAsAnotherOne() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        String failure = response("500 Internal Server Error", "a", "broken");
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            if (runs.incrementAndGet() == 1) {
                socket.write(failure);
                socket.handler(next -> {
                    runs.incrementAndGet();
                    socket.write(failure + response("200 OK", id, events(1, EVENTS)));
                });
            } else {
                socket.write(response("200 OK", id, events(1, EVENTS)));
            }
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=text1|text2|text3\n", jobResults());
    }

    /**
     * Guards against a stream that begins anew behind the events that the caller has, as they name no id to continue.
     */
    @Test
    void streamWithoutIdsIsNotBegunAgain() throws IOException {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            String chunk = RawUpstream.chunk("data: a\n\n");
            if (runs.incrementAndGet() == 1) {
                socket.write(RawUpstream.chunkedHead(id) + chunk);
                vertx.setTimer(50, later -> socket.close());
            } else {
                socket.write(RawUpstream.chunkedHead(id) + chunk + "0\r\n\r\n");
            }
        });
        harness.write("upstreams", "e2", "engines " + upstream.port);
        startNode(upstream);
        String received = receiveAll("/resumable/x", "r1");
        assertEquals(2, received.split("data: a", -1).length, received);
        assertFalse(complete(received), received);
    }

    /** Guards against the same in the output of an item. */
    @Test
    void outputWithoutIdsIsNotContinued() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            String start = RawUpstream.chunkedHead(id) + RawUpstream.chunk("data: a\n\n");
            if (runs.incrementAndGet() == 1) {
                socket.write(start);
                vertx.setTimer(50, later -> socket.close());
            } else {
                socket.write(start + RawUpstream.chunk("data: b\n\n") + "0\r\n\r\n");
            }
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=a|b\n", jobResults());
    }

    /** Guards against comments of a stream that are recorded as empty events of an output. */
    @Test
    void commentsAreNoPartOfAnOutput() throws Exception {
        RawUpstream upstream = new RawUpstream(
                vertx,
                (socket, id) -> socket.write(RawUpstream.chunkedHead(id)
                        + RawUpstream.chunk(": comment\n\n" + events(1, 2) + ": comment\n\n" + events(3, EVENTS))
                        + "0\r\n\r\n"));
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=text1|text2|text3\n", jobResults());
    }

    /** Guards against running a request at a second upstream for a rejection that belongs to no request. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: earlier\r\n"})
    void rejectionOfAnotherRequestDoesNotSendARunningRequestAgain(String idLine) throws IOException {
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        String rejection = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + idLine + "Content-Length: 0\r\n\r\n";
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            runs.incrementAndGet();
            socket.write((sent.incrementAndGet() == 2 ? rejection : "") + response("200 OK", id, "done"));
        });
        startNode(upstream);
        harness.write("upstreams", "p2", "plain " + upstream.port);
        assertEquals(200, post("/unsafe/x", "r1", "p").statusCode());
        HttpResponse<String> answered = post("/unsafe/x", "r2", "p");
        for (int i = 3; answered.statusCode() == 200 && sent.get() < 2 && i < 10; i++) {
            answered = post("/unsafe/x", "r" + i, "p");
        }
        assertEquals(2, runs.get(), "the request ran again");
        assertEquals(502, answered.statusCode());
    }

    /** Guards against telling a caller that its request has not run if only the upstream's status says so. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusWithoutPromiseIsNotForwardedAsOne(int status) throws IOException {
        RawUpstream upstream = new RawUpstream(
                vertx, (socket, id) -> socket.write(response(status + " Busy\r\nstamp: e1", id, "busy")));
        startNode(upstream);
        for (String path : new String[] {"/unsafe/x", "/stream/x"}) {
            HttpResponse<String> answered = post(path, "r", "p");
            assertEquals(502, answered.statusCode(), path);
            assertTrue(answered.headers().firstValue("stamp").isEmpty(), path);
        }
    }

    /** Guards against listing an item as completed whose stream ended in order without an event. */
    @ParameterizedTest
    @ValueSource(strings = {"", ": comment\n\n"})
    void outputWithoutEventsIsNotRecorded(String content) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            String body = runs.incrementAndGet() == 1 ? content : events(1, EVENTS);
            socket.write(RawUpstream.chunkedHead(id) + (body.isEmpty() ? "" : RawUpstream.chunk(body)) + "0\r\n\r\n");
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=text1|text2|text3\n", jobResults());
    }

    /** Guards against forwarding the head of another response, which names no request, as the first event. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resumable/x"})
    void headWithoutIdIsNoFirstEvent(String path) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nstamp: e1\r\n\r\n";
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            socket.write(RawUpstream.closeDelimitedHead(id) + head + events(1, EVENTS));
            socket.close();
        });
        startNode(upstream);
        String received = receiveAll(path, "r1");
        assertFalse(complete(received), received);
        assertEquals(0, received.lastIndexOf("HTTP/1."), received);
    }

    /** Guards against breaking off a stream for a block that sets the reconnection time, which is no event. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resumable/x"})
    void reconnectionTimeBetweenEventsIsForwarded(String path) throws IOException {
        RawUpstream upstream = new RawUpstream(
                vertx,
                (socket, id) -> socket.write(RawUpstream.chunkedHead(id)
                        + RawUpstream.chunk(events(1, 1) + "retry: 500\n\n" + events(2, EVENTS))
                        + "0\r\n\r\n"));
        startNode(upstream);
        String received = receiveAll(path, "r1");
        assertTrue(complete(received), received);
    }

    private static final String ERROR_HEAD = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n";

    /** Guards against forwarding the head of an error as a part of the event within which an upstream stopped. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 3\n", "id: 3\ndata: te", ""})
    void headWithinAnEventIsNotForwarded(String cut) throws IOException {
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            socket.write(RawUpstream.closeDelimitedHead(id) + events(1, 2) + cut + ERROR_HEAD + "busy");
            socket.close();
        });
        startNode(upstream);
        for (String path : List.of("/stream/x", "/resumable/x")) {
            String received = receiveAll(path, "r" + path.length());
            assertFalse(complete(received), received);
            assertTrue(received.contains("data: text2"), received);
            assertFalse(received.contains("503"), received);
        }
    }

    /** Guards against recording such a head as a part of an output. */
    @Test
    void headWithinAnEventIsNotRecorded() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            if (runs.incrementAndGet() == 1) {
                socket.write(RawUpstream.closeDelimitedHead(id) + events(1, 2) + "id: 3\n" + ERROR_HEAD);
            } else {
                socket.write(RawUpstream.closeDelimitedHead(id) + events(3, EVENTS));
            }
            socket.close();
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=text1|text2|text3\n", jobResults());
    }

    /** Guards against ending a cut stream as complete because the next upstream answers with nothing. */
    @Test
    void emptyContinuationDoesNotCompleteAStream() throws IOException {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            if (runs.incrementAndGet() == 1) {
                socket.write(RawUpstream.chunkedHead(id) + RawUpstream.chunk(events(1, 2)));
                vertx.setTimer(50, later -> socket.close());
            } else {
                socket.write(RawUpstream.chunkedHead(id) + "0\r\n\r\n");
            }
        });
        harness.write("upstreams", "e2", "engines " + upstream.port);
        startNode(upstream);
        String received = receiveAll("/resumable/x", "r1");
        assertTrue(received.contains("data: text2"), received);
        assertFalse(complete(received), received);
        assertEquals(2, runs.get());
    }

    /** Guards against the same in the output of an item. */
    @Test
    void emptyContinuationDoesNotCompleteAnOutput() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            switch (runs.incrementAndGet()) {
                case 1 -> {
                    socket.write(RawUpstream.chunkedHead(id) + RawUpstream.chunk(events(1, 2)));
                    vertx.setTimer(50, later -> socket.close());
                }
                case 2 -> socket.write(RawUpstream.chunkedHead(id) + "0\r\n\r\n");
                default ->
                    socket.write(RawUpstream.chunkedHead(id) + RawUpstream.chunk(events(3, EVENTS)) + "0\r\n\r\n");
            }
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=text1|text2|text3\n", jobResults());
    }

    /** Guards against an item that never completes because its output was cut right behind the last event. */
    @Test
    void outputCutBehindItsLastEventCompletes() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            if (runs.incrementAndGet() == 1) {
                socket.write(RawUpstream.chunkedHead(id) + RawUpstream.chunk(events(1, EVENTS)));
                vertx.setTimer(50, later -> socket.close());
            } else {
                socket.write(RawUpstream.chunkedHead(id) + "0\r\n\r\n");
            }
        });
        startNode(upstream);
        assertEquals(202, post("/batch/", "job", "a").statusCode());
        await().atMost(TIMEOUT).until(() -> !jobResults().isEmpty());
        assertEquals("a=text1|text2|text3\n", jobResults());
    }

    /** Guards against a slot that is held, and bytes that are read, until the deadline of a request without answer. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n"})
    void interimResponsesWithoutEndAreBrokenOff(String interim) throws IOException {
        AtomicInteger written = new AtomicInteger();
        RawUpstream upstream =
                new RawUpstream(vertx, (socket, id) -> writeWithoutEnd(socket, interim.repeat(100), written));
        startNode(upstream);
        long started = System.nanoTime();
        assertEquals(502, post("/unsafe/x", "r1", "p").statusCode());
        assertEquals(502, post("/stream/x", "r2", "p").statusCode());
        assertTrue(Duration.ofNanos(System.nanoTime() - started).toMillis() < 2_000, "ended by the deadline");
        assertTrue(written.get() < 10_000_000, written + " bytes");
    }

    /** Guards against a stream without progress whose comments are forwarded until its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {": comment\n\n", "\n\n", ": comment without end "})
    void commentsWithoutEndAreBrokenOff(String comment) throws IOException {
        AtomicInteger written = new AtomicInteger();
        RawUpstream upstream = new RawUpstream(vertx, (socket, id) -> {
            socket.write(RawUpstream.closeDelimitedHead(id) + events(1, 1));
            writeWithoutEnd(socket, comment.repeat(100), written);
        });
        startNode(upstream);
        for (String path : List.of("/stream/x", "/resumable/x")) {
            long started = System.nanoTime();
            String received = receiveAll(path, "r" + path.length());
            assertTrue(received.contains("data: text1"), path);
            assertFalse(complete(received), path);
            assertTrue(Duration.ofNanos(System.nanoTime() - started).toMillis() < 2_000, path);
        }
        assertTrue(written.get() < 20_000_000, written + " bytes");
    }

    /** Writes a text again and again, as fast as it is read, until the connection is closed. */
    private static void writeWithoutEnd(NetSocket socket, String text, AtomicInteger written) {
        socket.write(text).onSuccess(done -> {
            written.addAndGet(text.length());
            writeWithoutEnd(socket, text, written);
        });
    }

    /** Guards against forwarding an interim response as the answer, for whose end the caller would wait. */
    @ParameterizedTest
    @ValueSource(strings = {"101 Switching Protocols", "102 Processing", "150 Other"})
    void furtherInterimResponseIsNoAnswer(String status) throws IOException {
        RawUpstream upstream = new RawUpstream(
                vertx,
                (socket, id) -> socket.write("HTTP/1.1 " + status + "\r\nid: " + id + "\r\n\r\n"
                        + response("200 OK", id, events(1, EVENTS))));
        startNode(upstream);
        for (String path : List.of("/unsafe/x", "/stream/x", "/resumable/x")) {
            String received = receiveAll(path, "r" + path.length());
            assertTrue(received.startsWith("HTTP/1.1 5"), path + received);
        }
    }
}
