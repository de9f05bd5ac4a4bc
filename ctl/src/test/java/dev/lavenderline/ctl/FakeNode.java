package dev.lavenderline.ctl;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake operators' endpoint of a node that returns a given state. */
final class FakeNode implements AutoCloseable {
    private final HttpServer server;
    private final AtomicInteger drainRequests = new AtomicInteger();
    private volatile String state = "{}";

    FakeNode() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/state", exchange -> respond(exchange, 200, state));
        server.createContext("/drain", exchange -> {
            boolean post = exchange.getRequestMethod().equals("POST");
            drainRequests.addAndGet(post ? 1 : 0);
            respond(exchange, post ? 202 : 405, "draining\n");
        });
        server.start();
    }

    FakeNode state(boolean ready, long revision) {
        state = "{\"node\":\"n\",\"ready\":" + ready + ",\"config\":{\"revision\":" + revision + "}}";
        return this;
    }

    FakeNode state(String json) {
        state = json;
        return this;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    int drainRequests() {
        return drainRequests.get();
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
