package dev.lavenderline.serving.jobs;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.online.CallContext;
import dev.lavenderline.serving.online.ServingMetrics;
import dev.lavenderline.serving.online.UpstreamConnections;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.SlotClient;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against events that stand twice in an output, because an item is started on a node that still runs it. */
class ConcurrentItemRunsTest {
    private static final ItemRef ITEM = new ItemRef("job", 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final JobLedger ledger = new JobLedger(time, EventLog.NONE);
    private final JobStore store = new JobStore(
            "n1",
            new FakeStore(),
            ledger,
            time,
            time,
            EventLog.NONE,
            1,
            1,
            100_000,
            () -> Duration.ofMillis(100),
            () -> 1);
    private final AtomicInteger releases = new AtomicInteger();
    private final SlotClient slots = (SlotClient) Proxy.newProxyInstance(
            SlotClient.class.getClassLoader(), new Class<?>[] {SlotClient.class}, (proxy, method, arguments) -> {
                if (method.getName().equals("release")) {
                    releases.incrementAndGet();
                }
                return null;
            });
    private final ItemRunner runner = new ItemRunner(
            new CallContext(
                    "n1",
                    new TestWireFormat(),
                    new UpstreamConnections(vertx, time, EventLog.NONE),
                    directory,
                    slots,
                    null,
                    time,
                    time,
                    EventLog.NONE,
                    new ServingMetrics(),
                    null,
                    bound -> 0),
            ledger,
            store,
            () -> false);

    /** The connections on which upstreams have got a request. */
    private final List<NetSocket> requests = new CopyOnWriteArrayList<>();

    private final AtomicInteger closed = new AtomicInteger();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void addUpstream(String id) {
        int port = vertx.createNetServer()
                .connectHandler(socket -> {
                    socket.closeHandler(end -> closed.incrementAndGet());
                    socket.handler(bytes -> {
                        if (!requests.contains(socket)) {
                            requests.add(socket);
                        }
                    });
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        directory.put(new Upstream(id, "s", "127.0.0.1", port, "a", 4, false, "v1"));
    }

    private void onEventLoop(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(now -> {
            task.run();
            done.complete(null);
        });
        done.join();
    }

    private void acceptJob() {
        JobItem item = JobItem.newBuilder()
                .setId("job-0")
                .setPath("/b/0")
                .setBody(ByteString.copyFromUtf8("body"))
                .build();
        Route route = new Route(
                "batch",
                "host",
                "/b/",
                RouteKind.BATCH,
                Duration.ofSeconds(15),
                Duration.ofMillis(400),
                2,
                List.of(new WeightedService("s", 1)),
                3,
                true,
                Duration.ZERO,
                Duration.ofSeconds(18),
                Duration.ofSeconds(60),
                0,
                false);
        store.start();
        store.accept(new JobSubmission(ITEM.job(), List.of(item)), route, "host", Duration.ofSeconds(2));
        time.advance(Duration.ofMillis(500));
    }

    private static String event(int id) {
        String text = "id: " + id + "\ndata: text" + id + "\n\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @Test
    void laterRunTakesOverFromTheEarlierOne() {
        addUpstream("e1");
        addUpstream("e2");
        onEventLoop(this::acceptJob);
        String head = "HTTP/1.1 200 OK\r\nid: job-0\r\nTransfer-Encoding: chunked\r\n\r\n";
        onEventLoop(() -> runner.run(1, "e1", ITEM));
        await().atMost(TIMEOUT).until(() -> requests.size() == 1);
        requests.get(0).write(head + event(1));
        await().pollDelay(Duration.ofMillis(200)).atMost(TIMEOUT).until(() -> true);
        onEventLoop(() -> runner.run(2, "e2", ITEM));
        await().atMost(TIMEOUT).until(() -> requests.size() == 2);
        requests.get(0).write(event(2) + event(3));
        requests.get(1).write(head + event(2));
        await().pollDelay(Duration.ofMillis(200)).atMost(TIMEOUT).until(() -> true);
        assertEquals(1, closed.get(), "the earlier run was ended");
        requests.get(1).write(event(3) + "0\r\n\r\n");
        await().atMost(TIMEOUT).until(() -> releases.get() > 0);
        await().pollDelay(Duration.ofMillis(200)).atMost(TIMEOUT).until(() -> true);
        onEventLoop(() -> time.advance(Duration.ofMillis(500)));
        assertEquals(
                "text1\ntext2\ntext3",
                ledger.find("job").orElseThrow().result(0).orElseThrow().getOutput());
    }
}
