package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.SlotClient;
import dev.lavenderline.serving.slots.SlotRequest;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.Caller;
import dev.lavenderline.serving.workspaces.ConfigAge;
import dev.lavenderline.serving.workspaces.KeyFreshness;
import dev.lavenderline.serving.workspaces.Workspaces;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests for slots that count twice toward a quota, or that lack the workspace or its priority. */
class SlotRequestsTest {
    /** Granted in turn: an upstream that the node does not know, one that refuses connections, and none. */
    private static final List<String> GRANTS = List.of("unknown", "refusing", "");

    private final Vertx vertx = Vertx.vertx();
    private final List<SlotRequest> acquired = new CopyOnWriteArrayList<>();
    private final ServingMetrics metrics = new ServingMetrics();
    private final SlotClient slots = (SlotClient) Proxy.newProxyInstance(
            getClass().getClassLoader(), new Class<?>[] {SlotClient.class}, (proxy, method, arguments) -> {
                if (method.getName().equals("acquire")) {
                    acquire((SlotRequest) arguments[0], (SlotClient.Listener) arguments[1]);
                }
                if (method.getName().equals("newLease")) {
                    return 1L;
                }
                return method.getReturnType() == Optional.class ? Optional.empty() : null;
            });

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void acquire(SlotRequest request, SlotClient.Listener listener) {
        String grant = GRANTS.get(acquired.size());
        acquired.add(request);
        vertx.runOnContext(now -> {
            if (grant.isEmpty()) {
                listener.rejected(Duration.ofSeconds(1));
            } else {
                listener.granted(grant);
            }
        });
    }

    private CallContext context() {
        Ticker ticker = Ticker.system();
        UpstreamDirectory directory = new UpstreamDirectory(ticker);
        // Nothing listens on port 1.
        directory.put(new Upstream("refusing", "engines", "127.0.0.1", 1, "a", 2, false, "v1"));
        UpstreamConnections connections = new UpstreamConnections(vertx, ticker, EventLog.NONE);
        VertxTimers timers = new VertxTimers(vertx);
        WireFormat wire = new TestWireFormat();
        KeyFreshness keys = new KeyFreshness(Optional.empty(), new ConfigAge(ticker), Workspaces::none);
        return new CallContext(
                "n1",
                wire,
                connections,
                directory,
                slots,
                null,
                ticker,
                timers,
                EventLog.NONE,
                metrics,
                keys,
                bound -> 0);
    }

    /** Serves one request, whose call gets the grants, and returns the requests for slots. */
    private void serve(Caller caller) {
        Duration limit = Duration.ofSeconds(4);
        List<WeightedService> services = List.of(new WeightedService("engines", 1));
        Route route = new Route(
                "r", "h", "/", RouteKind.UNSAFE, limit, limit, 4, services, 2, false, limit, limit, limit, 0, false);
        boolean[] done = new boolean[1];
        vertx.createHttpServer()
                .requestHandler(request -> {
                    CallContext context = context();
                    RequestInfo info = context.wire().parseRequest(request.headers());
                    CallerResponse response = new CallerResponse(request, context.wire());
                    new OnlineCall(
                                    context,
                                    route,
                                    caller,
                                    info,
                                    HttpMethod.GET,
                                    "/",
                                    request.headers(),
                                    Buffer.buffer(),
                                    response,
                                    context.ticker().nanos(),
                                    () -> done[0] = true)
                            .start(true, "engines");
                })
                .listen(0, "127.0.0.1")
                .compose(server ->
                        vertx.createHttpClient().request(HttpMethod.GET, server.actualPort(), "127.0.0.1", "/"))
                .compose(request -> request.putHeader("tokens", "12,34").send());
        await().until(() -> done[0]);
    }

    @Test
    void oneRequestOfAnAttemptIsCharged() {
        serve(new Caller(true, "acme", OptionalInt.of(2)));
        assertEquals(
                List.of(true, false, false),
                acquired.stream().map(SlotRequest::charged).toList());
        for (SlotRequest request : acquired) {
            assertEquals("acme 2", request.workspace() + " " + request.priority());
            assertEquals("12 34", request.promptTokens() + " " + request.maxOutputTokens());
        }
        String rejected = "rejections_total{workspace=\"acme\",cause=\"capacity\"} 1\n";
        assertEquals(true, metrics.text().contains(rejected), metrics.text());
    }

    @Test
    void callersWithoutAWorkspaceAreNotChargedAndHaveThePriorityOfTheRoute() {
        serve(Caller.anonymous());
        assertEquals(
                "false  4",
                acquired.get(0).charged() + " " + acquired.get(0).workspace() + " "
                        + acquired.get(0).priority());
    }
}
