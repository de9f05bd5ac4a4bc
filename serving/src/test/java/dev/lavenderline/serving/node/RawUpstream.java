package dev.lavenderline.serving.node;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.function.BiConsumer;

/** An upstream that writes the bytes of its responses itself, so that they can be malformed. Thread-safe. */
final class RawUpstream {
    final int port;

    /**
     * @param script receives the connection and the id of each request
     */
    RawUpstream(Vertx vertx, BiConsumer<NetSocket, String> script) {
        port = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(bytes -> bytes.toString()
                        .lines()
                        .filter(line -> line.startsWith("id: "))
                        .findFirst()
                        .ifPresent(line -> script.accept(socket, line.substring("id: ".length())))))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    /** Returns the head of a response that has neither a length nor chunks. */
    static String closeDelimitedHead(String id) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nConnection: close\r\n\r\n";
    }

    /** Returns the head of a response in chunks. */
    static String chunkedHead(String id) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
