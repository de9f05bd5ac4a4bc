package dev.lavenderline.http;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Route;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.config.Workspace;
import dev.lavenderline.core.overload.HoldingAccount;
import dev.lavenderline.core.overload.ProcessLimits;
import dev.lavenderline.standins.engine.EngineOptions;
import dev.lavenderline.standins.engine.EngineServer;
import dev.lavenderline.standins.service.ServiceOptions;
import dev.lavenderline.standins.service.ServiceServer;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.awaitility.Awaitility;

/** Runs a {@link CallerServer} in front of simulated engines and services, with an HTTP client for tests. */
final class TestFleet implements AutoCloseable {
    static final String TOKEN = "token-of-moor";
    static final String OTHER_TOKEN = "token-of-coast";
    static final String DEPLOYMENT = "repair-small";
    static final String SERVICE_GROUP = "dispatch";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    final Vertx vertx = Vertx.vertx();
    final HttpClient http = HttpClient.newHttpClient();
    final TestDispatcher dispatcher = new TestDispatcher();
    final MetricRegistry metrics = new MetricRegistry();
    final FakeKeyedCalls keyedCalls = new FakeKeyedCalls();
    final FakeBatch batch = new FakeBatch();
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final AtomicLong requestIds = new AtomicLong();
    private HttpLimits limits = HttpLimits.defaults();
    HoldingAccount account = HoldingAccount.unbounded(Ticker.system());
    private Duration timeout = Duration.ofSeconds(30);
    private Context eventLoop;
    private volatile FleetConfig config;
    CallerServer server;

    TestFleet engine(String name, String... options) {
        EngineServer engine = new EngineServer(EngineOptions.parse(options));
        vertx.deployVerticle(engine).await();
        return upstream(name, Upstream.Kind.ENGINE, DEPLOYMENT, engine.port());
    }

    TestFleet service(String name, String... options) {
        ServiceServer service = new ServiceServer(ServiceOptions.parse(options));
        vertx.deployVerticle(service).await();
        return upstream(name, Upstream.Kind.SERVICE, SERVICE_GROUP, service.port());
    }

    TestFleet upstream(String name, Upstream.Kind kind, String group, int port) {
        upstreams.put(
                name, new Upstream(name, kind, group, "127.0.0.1:" + port, "north-moor", "north-moor-a", 16, true));
        return this;
    }

    TestFleet limits(HttpLimits newLimits) {
        limits = newLimits;
        return this;
    }

    /** Sets what all callers together may make the server hold. */
    TestFleet processLimits(ProcessLimits processLimits) {
        account = new HoldingAccount(processLimits, Ticker.system(), (listener, reason, peer, bytes) -> {});
        return this;
    }

    TestFleet timeout(Duration newTimeout) {
        timeout = newTimeout;
        return this;
    }

    TestFleet start() {
        Deployment deployment = new Deployment(
                DEPLOYMENT,
                "repair",
                "1",
                List.of(),
                Duration.ofMillis(500),
                Duration.ofMillis(70),
                timeout,
                true,
                true,
                0.5);
        List<String> methods = List.of("GET", "POST");
        config = new FleetConfig(
                1,
                Map.of(),
                Map.of(DEPLOYMENT, deployment),
                upstreams,
                Map.of("moor", workspace("moor", TOKEN), "coast", workspace("coast", OTHER_TOKEN)),
                Map.of(
                        "/lookup", new Route("/lookup", SERVICE_GROUP, methods, true, timeout),
                        "/lookup/lockout", new Route("/lookup/lockout", SERVICE_GROUP, methods, false, timeout)));
        dispatcher.configure(config);
        vertx.deployVerticle(new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        eventLoop = context;
                        server = CallerServer.builder(vertx)
                                .address("127.0.0.1", 0)
                                .config(() -> config)
                                .dispatcher(dispatcher)
                                .upstreams(new UpstreamClient(vertx, UpstreamClient.Options.defaults()))
                                .batch(batch)
                                .keyedCalls(keyedCalls)
                                .limits(limits)
                                .account(account)
                                .metrics(metrics)
                                .requestIds(() -> "req-" + requestIds.incrementAndGet())
                                .build();
                        return server.start();
                    }
                })
                .await();
        return this;
    }

    /** Removes routes by their paths. */
    void removeRoutes(String... paths) {
        Map<String, Route> routes = new HashMap<>(config.routes());
        routes.keySet().removeAll(List.of(paths));
        config = new FleetConfig(
                config.revision() + 1,
                config.models(),
                config.deployments(),
                config.upstreams(),
                config.workspaces(),
                Map.copyOf(routes));
    }

    private static Workspace workspace(String name, String token) {
        String hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
        return new Workspace(name, List.of(hash), 1, 0, 0, 0);
    }

    /** Adds an engine that refuses connections. */
    TestFleet unreachableEngine(String name) {
        return upstream(name, Upstream.Kind.ENGINE, DEPLOYMENT, closedPort());
    }

    /** Adds a service that refuses connections. */
    TestFleet unreachableService(String name) {
        return upstream(name, Upstream.Kind.SERVICE, SERVICE_GROUP, closedPort());
    }

    private static int closedPort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    List<String> services() {
        return upstreams.values().stream()
                .filter(upstream -> upstream.kind() == Upstream.Kind.SERVICE)
                .map(Upstream::name)
                .toList();
    }

    void announceDrain() {
        callOnEventLoop(() -> {
            server.announceDrain();
            return null;
        });
    }

    int openRequests() {
        return callOnEventLoop(server::openRequests);
    }

    private <T> T callOnEventLoop(Supplier<T> action) {
        Promise<T> result = Promise.promise();
        eventLoop.runOnContext(run -> result.complete(action.get()));
        return result.future().await();
    }

    /** Starts draining the server. */
    Future<Void> drain(Duration drainTimeout) {
        Promise<Void> drained = Promise.promise();
        eventLoop.runOnContext(run -> server.drain(drainTimeout).onComplete(drained));
        return drained.future();
    }

    /** Waits until an engine has generated at least {@code tokens} tokens of its newest request. */
    void awaitTokens(String upstream, int tokens) {
        Awaitility.await()
                .pollInterval(Duration.ofMillis(5))
                .until(() -> newestRequest(upstream).path("tokens").asInt() >= tokens);
    }

    /** Returns the newest request that an engine received. */
    JsonNode newestRequest(String upstream) {
        JsonNode requests = history(upstream).path("requests");
        return requests.path(requests.size() - 1);
    }

    int port(String upstream) {
        return upstreams.get(upstream).port();
    }

    long counter(String name) {
        return metrics.counter(name).getCount();
    }

    /** Injects a fault into a simulated upstream. */
    void injectFault(String upstream, String json) {
        try {
            http.send(
                    HttpRequest.newBuilder(uri(upstreams.get(upstream).port(), "/faults"))
                            .POST(HttpRequest.BodyPublishers.ofString(json))
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // An upstream that is told to exit sends no response.
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the requests that a simulated upstream has recorded. */
    JsonNode history(String upstream) {
        HttpRequest request = HttpRequest.newBuilder(uri(upstreams.get(upstream).port(), "/history"))
                .build();
        return json(send(request).body());
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(uri(server.port(), path)).header("Authorization", "Bearer " + TOKEN);
    }

    HttpRequest chat(String prompt, int maxTokens, boolean stream) {
        String body = "{\"model\":\"" + DEPLOYMENT + "\",\"max_tokens\":" + maxTokens + ",\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        return request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String errorCode(HttpResponse<String> response) {
        return json(response.body()).path("error").path("code").asText();
    }

    /** Returns the text of a chat response that is not streamed. */
    static String completionText(HttpResponse<String> response) {
        return json(response.body())
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
    }

    /** Returns the text of a streamed chat response. */
    static String streamedText(String events) {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                text.append(json(line.substring(6))
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return text.toString();
    }

    /** Returns the completion that an engine generates without faults. */
    String expectedText(String prompt, int maxTokens) {
        try (TestFleet reference = new TestFleet().engine("reference", "--step-base", "0.1")) {
            return completionText(reference.start().send(reference.chat(prompt, maxTokens, false)));
        }
    }

    private static URI uri(int port, String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}
