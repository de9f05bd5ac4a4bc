package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dev.lavenderline.serving.TestWireFormat;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against bytes or the end of a response that reach the next request on the caller's connection. */
class CallerResponseTest {
    private static final String REQUEST = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final List<CallerResponse> responses = new CopyOnWriteArrayList<>();
    private final Buffer received = Buffer.buffer();
    private volatile String text = "";
    private volatile boolean closed;

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    /** Sends two requests at once. */
    private void sendTwoRequests() throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        context.runOnContext(now -> vertx.createHttpServer()
                .requestHandler(request -> responses.add(new CallerResponse(request, new TestWireFormat())))
                .listen(0, "127.0.0.1")
                .onSuccess(server -> port.complete(server.actualPort())));
        NetSocket socket = vertx.createNetClient()
                .connect(port.get(10, TimeUnit.SECONDS), "127.0.0.1")
                .await();
        socket.handler(bytes -> {
            received.appendBuffer(bytes);
            text = received.toString(StandardCharsets.UTF_8);
        });
        socket.closeHandler(end -> closed = true);
        socket.write(REQUEST.formatted("first") + REQUEST.formatted("second"));
        await().until(() -> responses.size() == 1);
    }

    private void onEventLoop(Runnable action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(now -> {
            try {
                action.run();
                done.complete(null);
            } catch (Throwable failure) {
                done.completeExceptionally(failure);
            }
        });
        done.join();
    }

    @Test
    void responseThatHasEndedDoesNotReachTheNextRequest() throws Exception {
        sendTwoRequests();
        onEventLoop(() -> {
            assertEquals(1, responses.size(), "the second request waits for the end of the first response");
            responses.get(0).sendText(200, "first response");
            responses.get(0).sendText(200, "late");
        });
        await().until(() -> responses.size() == 2);
        onEventLoop(() -> {
            responses.get(0).write(Buffer.buffer("late"));
            responses.get(0).sendJson(Buffer.buffer("late"));
            responses.get(0).end();
            responses.get(0).abort();
            responses.get(1).sendText(200, "second response");
        });
        await().until(() -> closed || text.contains("second response"));
        assertEquals(2, text.split("HTTP/1.1 200 OK", -1).length - 1, text);
        assertFalse(text.contains("late"), text);
    }

    @Test
    void incompleteResponseClosesTheConnection() throws Exception {
        sendTwoRequests();
        onEventLoop(() -> {
            responses.get(0).startStream(200, MultiMap.caseInsensitiveMultiMap());
            responses.get(0).write(Buffer.buffer("part"));
            responses.get(0).abort();
        });
        await().until(() -> closed);
        assertEquals(1, responses.size());
    }
}
