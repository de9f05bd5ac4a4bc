package dev.lavenderline.core.response;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against valid responses that fail, or lose their order, because the codec differs from the library's. */
class ResponseCodecTest {
    private final Vertx vertx = Vertx.vertx();
    private final HttpClientAgent client =
            ResponseCodec.client(vertx, new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
    private final List<String> connections = new CopyOnWriteArrayList<>();
    private int port;

    /** Starts a server that writes one piece for each request, and closes the connection after the last one. */
    private void start(String... responses) {
        int[] next = new int[1];
        port = vertx.createNetServer()
                .connectHandler(socket -> {
                    connections.add(socket.remoteAddress().toString());
                    socket.handler(request -> {
                        String response = responses[next[0]++];
                        socket.write(Buffer.buffer(response, StandardCharsets.ISO_8859_1.name()));
                        if (next[0] == responses.length) {
                            socket.close();
                        }
                    });
                })
                .listen(0, "127.0.0.1")
                .await()
                .actualPort();
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    private String send(HttpMethod method) {
        Future<String> response = client.request(new RequestOptions()
                        .setMethod(method)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .setURI("/"))
                .compose(request ->
                        request.send().compose(head -> head.body().map(body -> head.statusCode() + " " + body)));
        return response.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(10, TimeUnit.SECONDS)
                .join();
    }

    @Test
    void responsesOfOneConnectionBelongToTheirRequests() {
        start(
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n one",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\nX: 1\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nlast");
        assertEquals("200 ", send(HttpMethod.HEAD));
        assertEquals("200  one", send(HttpMethod.GET));
        assertEquals("204 ", send(HttpMethod.GET));
        assertEquals("200 two", send(HttpMethod.GET));
        assertEquals("304 ", send(HttpMethod.GET));
        assertEquals("200 last", send(HttpMethod.GET));
        assertEquals(1, connections.size());
    }

    /** A body may begin with blanks and hold lines that would be invalid in a head, wherever its bytes are split. */
    @Test
    void contentIsNotTakenForHead() {
        String body = " \t\r\n x : 1\r\n\r\n\ty\r\n";
        String response = "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        port = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(request -> writeInPieces(socket::write, response, 0)))
                .listen(0, "127.0.0.1")
                .await()
                .actualPort();
        assertEquals("200 " + body, send(HttpMethod.GET));
        assertEquals("200 " + body, send(HttpMethod.GET));
    }

    private void writeInPieces(Consumer<Buffer> socket, String response, int at) {
        if (at < response.length()) {
            socket.accept(Buffer.buffer(response.substring(at, at + 1)));
            vertx.setTimer(1, now -> writeInPieces(socket, response, at + 1));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX : 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"
            })
    void contradictoryResponseFails(String response) {
        start(response);
        assertThrows(CompletionException.class, () -> send(HttpMethod.GET));
    }
}
