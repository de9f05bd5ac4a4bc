package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against complete responses that their head, their framing or the end of their connection contradicts. */
class WholeResponseTest {
    private static final String FIELDS = "id: r\r\nstamp: e1\r\n";

    /** More than the buffers of both sockets take, so that bytes wait to be written when the connection ends. */
    private static final int LONG_UPLOAD = 4 * 1024 * 1024;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private UpstreamConnections connections;
    private ServerSocket server;
    private Upstream upstream;

    private volatile String written;
    private volatile Duration delay = Duration.ZERO;
    private volatile boolean reset;

    @BeforeEach
    void start() throws IOException {
        connections = new UpstreamConnections(vertx, Ticker.system(), EventLog.NONE);
        server = new ServerSocket();
        server.setReceiveBufferSize(4096);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        upstream = new Upstream("i", "s", "127.0.0.1", server.getLocalPort(), "a", 8, false, "v1");
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        vertx.close().toCompletionStage().toCompletableFuture().join();
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[64]);
                socket.getOutputStream().write(written.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(delay.toMillis());
                if (reset) {
                    socket.setSoLinger(true, 0);
                } else {
                    socket.shutdownOutput();
                    socket.getInputStream().readAllBytes();
                }
            } catch (IOException e) {
                // The client or the test closed the connection.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends a request; returns the status and the body of a complete response, or the kind of the failure. */
    private String send(String response, int uploadBytes) {
        written = response;
        CompletableFuture<String> outcome = new CompletableFuture<>();
        context.runOnContext(now -> connections.send(
                upstream,
                new UpstreamRequest(
                        "r",
                        HttpMethod.POST,
                        "/p",
                        MultiMap.caseInsensitiveMultiMap(),
                        Buffer.buffer(new byte[uploadBytes])),
                new TestWireFormat(true),
                new ResponseListener() {
                    private final Buffer body = Buffer.buffer();
                    private int status;

                    @Override
                    public void headers(int code, MultiMap headers) {
                        status = code;
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
        try {
            return outcome.get(10, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("no outcome for " + response, e);
        }
    }

    /** The end of a connection that this side closes, after a failed write, ends no body (MIXED). */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK, 5",
        "HTTP/1.1 200 OK, 50",
        "HTTP/1.1 200 OK, 400",
        "HTTP/1.0 200 OK, 50",
        "HTTP/1.1 500 Failed, 50"
    })
    void bodyWithoutLengthIsNotWholeIfTheConnectionIsResetDuringTheUpload(String statusLine, int delayMillis) {
        reset = true;
        delay = Duration.ofMillis(delayMillis);
        for (String part : new String[] {"a", "a part of the body"}) {
            assertEquals("CUT", send(statusLine + "\r\n" + FIELDS + "\r\n" + part, LONG_UPLOAD), part);
        }
    }

    @Test
    void bodyWithoutLengthIsNotWholeIfTheConnectionIsReset() {
        reset = true;
        delay = Duration.ofMillis(20);
        assertEquals("CUT", send("HTTP/1.1 200 OK\r\n" + FIELDS + "\r\na part", 50));
    }

    /** Guards against failing responses without length whose peer has closed the connection in order. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 400 * 1024, LONG_UPLOAD})
    void bodyWithoutLengthIsWholeIfThePeerClosesTheConnection(int uploadBytes) {
        assertEquals("200 the body", send("HTTP/1.1 200 OK\r\n" + FIELDS + "\r\nthe body", uploadBytes));
        assertEquals("200 the body", send("HTTP/1.0 200 OK\r\n" + FIELDS + "\r\nthe body", uploadBytes));
    }

    @Test
    void framedBodyIsWholeBeforeTheUploadEnds() {
        String head = "HTTP/1.1 200 OK\r\n" + FIELDS;
        assertEquals("200 text", send(head + "Content-Length: 4\r\n\r\ntext", LONG_UPLOAD));
        assertEquals("200 text", send(head + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", LONG_UPLOAD));
        reset = true;
        delay = Duration.ofMillis(50);
        assertEquals("CUT", send(head + "Content-Length: 5\r\n\r\ntext", LONG_UPLOAD));
        assertEquals("CUT", send(head + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", LONG_UPLOAD));
    }

    /** A status has three digits, the first from 1 to 5 (RFC 9110, section 15). */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "0200", "20", "2000", "600", "999", "+20", "-200", "2O0", "", "0x200"})
    void responseWithAnInvalidStatusIsNone(String status) {
        assertEquals("LOST", send("HTTP/1.1 " + status + " OK\r\n" + FIELDS + "Content-Length: 4\r\n\r\ntext", 50));
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 404, 500, 599})
    void eachValidStatusIsPassedOn(int status) {
        assertEquals(
                status + " text", send("HTTP/1.1 " + status + " X\r\n" + FIELDS + "Content-Length: 4\r\n\r\ntext", 50));
    }

    /** Names are tokens with a colon right behind them (RFC 9112, section 5.1). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X Odd: 1",
                "X\tOdd: 1",
                "X-Odd : 1",
                "X-Odd\t: 1",
                " X-Odd: 1",
                "\tX-Odd: 1",
                ": 1",
                "X-Odd",
                "X\u0001Odd: 1",
                "X\u0000Odd: 1",
                "X\u007fOdd: 1",
                "X\u00e4Odd: 1",
                "X\u000bOdd: 1",
                "X(Odd): 1",
                "Content- Length: 2",
                "Content-Length : 2",
                "Transfer- Encoding: chunked",
                "Transfer-Encoding : chunked"
            })
    void responseWithAnInvalidFieldNameIsNone(String line) {
        for (String framing : new String[] {"Content-Length: 4\r\n", ""}) {
            for (String fields : new String[] {line + "\r\n" + FIELDS + framing, FIELDS + framing + line + "\r\n"}) {
                String outcome = send("HTTP/1.1 200 OK\r\n" + fields + "\r\ntext", 50);
                assertEquals("LOST", outcome, fields);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Odd:1", "X-Odd:   1  ", "X-Odd:", "x_odd!#$%&'*+.^`|~9: a b", "X-Odd: a: b"})
    void responseWithAValidFieldIsPassedOn(String line) {
        assertEquals(
                "200 text", send("HTTP/1.1 200 OK\r\n" + line + "\r\n" + FIELDS + "Content-Length: 4\r\n\r\ntext", 50));
    }

    @ParameterizedTest
    @ValueSource(strings = {"X Odd: 1", "X-Odd : 1", "X\u0001: 1"})
    void responseWithAnInvalidTrailerNameIsNotWhole(String line) {
        String head = "HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n";
        assertEquals("CUT", send(head + "4\r\ntext\r\n0\r\n" + line + "\r\n\r\n", 50));
    }

    @Test
    void responseWithTwoFramingsIsNone() {
        String chunks = "4\r\ntext\r\n0\r\n\r\n";
        for (String length : new String[] {"2", "4", "14"}) {
            String outcome = send(
                    "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: " + length
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
                    50);
            assertFalse(outcome.startsWith("200"), outcome);
        }
    }

    /** An interim head that stops short takes the next head for its own, so that a later response counts instead. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 ContiHTTP/1.1 500 Failed\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </sHTTP/1.1 500 Failed\r\n",
                "HTTP/1.1 103 Early HintsHTTP/1.1 503 Full\r\n"
            })
    void interimResponseThatHidesAFinalOneFails(String joined) {
        String hidden = joined + FIELDS + "Content-Length: 0\r\n\r\n";
        String later = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 4\r\n\r\ntext";
        assertEquals("LOST", send(hidden + later, 50));
    }

    @Test
    void interimResponsesAreSkipped() {
        String later = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 4\r\n\r\ntext";
        assertEquals("200 text", send("HTTP/1.1 103 Early Hints\r\nVia: HTTP/1.1 front\r\n\r\n" + later, 50));
        assertEquals("200 text", send("HTTP/1.1 100 Continue\r\n\r\n" + later, 50));
    }
}
