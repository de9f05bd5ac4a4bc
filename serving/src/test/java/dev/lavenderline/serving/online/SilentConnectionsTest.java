package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that meet one silent connection to an upstream after the other, all opened before they fell
 * silent, while new connections work.
 */
class SilentConnectionsTest {
    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final UpstreamConnections connections = new UpstreamConnections(vertx, Ticker.system(), EventLog.NONE);
    private final Set<HttpConnection> known = ConcurrentHashMap.newKeySet();
    private final Set<HttpConnection> silent = ConcurrentHashMap.newKeySet();
    private final List<String> ends = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private Upstream startUpstream() {
        int port = vertx.createHttpServer()
                .requestHandler(request -> {
                    known.add(request.connection());
                    if (silent.contains(request.connection())) {
                        return;
                    }
                    // Late, so that requests sent together use a connection each.
                    vertx.setTimer(
                            50,
                            now -> request.response()
                                    .putHeader("id", request.getHeader("id"))
                                    .putHeader("Keep-Alive", "timeout=5")
                                    .end("done"));
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        return new Upstream("e1", "engines", "127.0.0.1", port, "a", 8, false, "v1");
    }

    private UpstreamExchange[] send(Upstream upstream, int count) {
        UpstreamExchange[] sent = new UpstreamExchange[count];
        context.runOnContext(now -> {
            for (int i = 0; i < count; i++) {
                String id = "r" + i;
                MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("id", id);
                sent[i] = connections.send(
                        upstream,
                        new UpstreamRequest(id, HttpMethod.POST, "/", headers, Buffer.buffer()),
                        new TestWireFormat(),
                        new ResponseListener() {
                            @Override
                            public void headers(int status, MultiMap responseHeaders) {}

                            @Override
                            public void chunk(Buffer chunk) {}

                            @Override
                            public void end() {
                                ends.add(id);
                            }

                            @Override
                            public void failed(SendFailure failure, String message) {
                                ends.add(failure + " " + message);
                            }
                        });
            }
        });
        return sent;
    }

    @Test
    void idleConnectionsOfSilentUpstreamAreNotReused() {
        Upstream upstream = startUpstream();
        send(upstream, 4);
        await().until(() -> ends.size() == 4);
        assertEquals(4, known.size());
        silent.addAll(known);
        UpstreamExchange[] unanswered = send(upstream, 1);
        await().until(() -> unanswered[0] != null);
        context.runOnContext(now -> {
            unanswered[0].cancel();
            connections.upstreamSilent(upstream);
        });
        send(upstream, 3);
        await().until(() -> ends.size() == 7);
    }
}
