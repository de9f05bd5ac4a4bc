package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.EngineSpec;
import dev.lavenderline.standins.platform.EngineStandin;
import dev.lavenderline.standins.platform.FaultPlan;
import dev.lavenderline.standins.platform.History;
import dev.lavenderline.standins.store.StoreStandin;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Serving nodes as processes, engines of two services and the store as stand-ins of this process.
 *
 * <p>Thread-safe; engines may be added and removed while callers send requests.
 */
final class SoakFleet implements AutoCloseable {
    static final String HOST = "kola17.example";
    static final String STREAM_PREFIX = "/lohu930/";
    static final String RESUMABLE_PREFIX = "/pufi791/";
    static final String SAFE_PREFIX = "/puxa403/";
    static final String UNSAFE_PREFIX = "/tiwe118/";

    private static final int ANNOUNCED_SLOTS = 8;
    private static final String ENGINE_SERVICE = "huvo11a";
    private static final String PLAIN_SERVICE = "wuno96b";
    private static final long READY_TIMEOUT_MS = 40_000;
    private static final long POLL_MS = 50;

    /** Time that nodes need to agree on a scheduler once all of them are ready. */
    private static final long SETTLE_MS = 3000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final StoreStandin store = new StoreStandin(vertx);
    private final History history = new History();
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<EngineStandin> engines = new CopyOnWriteArrayList<>();
    private final SoakOptions options;
    private final FaultPlan faults;
    private final Path root;
    private int engineCount;

    SoakFleet(SoakOptions options, Path root, Path directory, List<String> command) throws IOException {
        this.options = options;
        this.root = root;
        this.faults = new FaultPlan(
                options.seed(),
                options.places(),
                options.stutterShare(),
                options.breakShare(),
                options.failureShare(),
                options.unframedShare());
        Files.createDirectories(directory);
        int storePort = store.start(0).toCompletionStage().toCompletableFuture().join();
        for (int i = 1; i <= options.nodes(); i++) {
            String ip = "127." + (1 + Math.floorMod(ProcessHandle.current().pid(), 250)) + "."
                    + Math.floorMod(options.seed(), 250) + "." + (10 + i);
            nodes.add(new SoakNode("front-" + i, ip, storePort, command, root, directory));
        }
        for (int i = 0; i < options.engines(); i++) {
            addEngine("v1");
        }
        for (int i = 0; i < 3; i++) {
            addEngine(PLAIN_SERVICE, "i-p" + i, "v1");
        }
        store.put("keyed.op", "config", configuration(1).toBuffer());
    }

    void start() throws InterruptedException {
        nodes.forEach(node -> node.start(root));
        awaitReady(nodes);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    }

    private static void awaitReady(List<SoakNode> starting) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        for (SoakNode node : starting) {
            while (!node.isReady()) {
                if (System.nanoTime() > end || !node.isAlive()) {
                    throw new IllegalStateException(node.name() + " isn't ready");
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
        }
    }

    /** Adds an engine of the service of streams. */
    synchronized EngineStandin addEngine(String version) {
        return addEngine(ENGINE_SERVICE, "i-" + engineCount++, version);
    }

    private EngineStandin addEngine(String service, String id, String version) {
        EngineSpec spec = new EngineSpec(
                id,
                service,
                version,
                ANNOUNCED_SLOTS,
                options.slots(),
                options.queue(),
                230,
                Duration.ofMillis(20),
                Duration.ofMillis(8),
                Duration.ofSeconds(5));
        EngineStandin engine = EngineStandin.start(spec, faults, store, history, 0);
        engines.add(engine);
        return engine;
    }

    private static JsonObject configuration(int version) {
        JsonArray routes = new JsonArray()
                .add(stream("r-plain", STREAM_PREFIX, false))
                .add(stream("r-stream", RESUMABLE_PREFIX, true))
                .add(route("r-safe", SAFE_PREFIX, "safe", 2))
                .add(route("r-unsafe", UNSAFE_PREFIX, "unsafe", 1));
        return new JsonObject()
                .put("Version", version)
                .put("Routes", routes)
                .put(
                        "Services",
                        new JsonArray().add(service(ENGINE_SERVICE, true)).add(service(PLAIN_SERVICE, false)))
                .put(
                        "Limits",
                        new JsonObject()
                                .put("HeaderBytes", 16384)
                                .put("BodyBytes", 4194304)
                                .put("HeaderTimeoutMs", 3000)
                                .put("IdleTimeoutMs", 15000));
    }

    private static JsonObject route(String name, String prefix, String kind, int attempts) {
        return new JsonObject()
                .put("Name", name)
                .put("Host", HOST)
                .put("PathPrefix", prefix)
                .put("Kind", kind)
                .put("TimeoutMs", 5000)
                .put("TargetLatencyMs", 300)
                .put("Priority", 0)
                .put("Service", PLAIN_SERVICE)
                .put("Attempts", attempts);
    }

    private static JsonObject stream(String name, String prefix, boolean resumable) {
        return route(name, prefix, "streaming", resumable ? 3 : 1)
                .put("Service", ENGINE_SERVICE)
                .put("Sticky", true)
                .put("Resumable", resumable)
                .put("GapAimMs", 400);
    }

    private static JsonObject service(String name, boolean engine) {
        JsonObject service = new JsonObject()
                .put("Name", name)
                .put("HealthPath", "/health")
                .put("ConnectionLimit", 230)
                .put("Protocol", "h1")
                .put("Tls", false);
        return engine
                ? service.put(
                        "Engine",
                        new JsonObject()
                                .put("Slots", ANNOUNCED_SLOTS)
                                .put("KvCacheTokens", 147261)
                                .put("KvTokenBytes", 163840)
                                .put("Models", new JsonArray().add(new JsonObject().put("Name", "m"))))
                : service;
    }

    List<SoakNode> nodes() {
        return List.copyOf(nodes);
    }

    List<EngineStandin> engines() {
        return engines;
    }

    History history() {
        return history;
    }

    @Override
    public void close() {
        nodes.forEach(SoakNode::close);
        engines.forEach(EngineStandin::close);
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
