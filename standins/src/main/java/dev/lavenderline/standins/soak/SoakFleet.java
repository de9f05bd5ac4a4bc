package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.EngineSpec;
import dev.lavenderline.standins.platform.EngineStandin;
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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Serving nodes as processes, engines of two services and the store as stand-ins of this process.
 *
 * <p>Thread-safe; engines may be added and removed while callers send requests.
 */
public final class SoakFleet implements AutoCloseable {
    public static final String HOST = "kola17.example";
    static final String STREAM_PREFIX = "/lohu930/";
    static final String RESUMABLE_PREFIX = "/pufi791/";
    public static final String SAFE_PREFIX = "/puxa403/";
    static final String UNSAFE_PREFIX = "/tiwe118/";
    public static final String BATCH_PREFIX = "/pule252/";

    /** Attempts of the route of batch jobs. */
    static final int ITEM_ATTEMPTS = 3;

    private static final int ANNOUNCED_SLOTS = 8;
    private static final String ENGINE_SERVICE = "huvo11a";
    private static final String PLAIN_SERVICE = "wuno96b";
    private static final long READY_TIMEOUT_MS = 40_000;
    private static final long POLL_MS = 50;

    /** Time for which an engine serves on after its report; the nodes may send for {@code DrainMs}, 2.5 s. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(4000);

    /** Time that nodes need to agree on a scheduler once all of them are ready. */
    private static final long SETTLE_MS = 3000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final StoreStandin store = new StoreStandin(vertx);
    private final History history = new History();
    private final List<SoakNode> nodes = new ArrayList<>();
    private final List<EngineStandin> engines = new CopyOnWriteArrayList<>();
    private final SoakOptions options;
    private final Set<SoakNode> takenNodes = new HashSet<>();
    private final Path root;
    private int engineCount;
    private int version = 1;
    private boolean releasing;
    private volatile boolean faulty;

    SoakFleet(SoakOptions options, Path root, Path directory, List<String> command) throws IOException {
        this(options, root, directory, command, SoakNode.Limits.DEFAULT);
    }

    /** Creates a fleet whose nodes have machines with some limits. */
    public SoakFleet(SoakOptions options, Path root, Path directory, List<String> command, SoakNode.Limits limits)
            throws IOException {
        this.options = options;
        this.root = root;
        Files.createDirectories(directory);
        int storePort = store.start(0).toCompletionStage().toCompletableFuture().join();
        for (int i = 1; i <= options.nodes(); i++) {
            String ip = "127." + (1 + Math.floorMod(ProcessHandle.current().pid(), 250)) + "."
                    + Math.floorMod(options.faults().seed(), 250) + "." + (10 + i);
            nodes.add(new SoakNode("front-" + i, ip, storePort, command, root, directory, limits));
        }
        for (int i = 0; i < options.engines(); i++) {
            addEngine("v1");
        }
        for (int i = 0; i < 3; i++) {
            addEngine(PLAIN_SERVICE, "i-p" + engineCount++, "v1", 0);
        }
        store.put("keyed.op", "config", configuration(1).toBuffer());
    }

    /** Starts the nodes and waits until they serve. */
    public void start() throws InterruptedException {
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
        return addEngine(ENGINE_SERVICE, "i-" + engineCount++, version, 0);
    }

    private EngineStandin addEngine(String service, String id, String version, int port) {
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
        EngineStandin engine = EngineStandin.start(spec, options.faults(), store, history, port);
        engine.faulty(faulty);
        engines.add(engine);
        return engine;
    }

    /** Begins the faults of the plan, at engines of now and of later. */
    void beginFaults() {
        faulty = true;
        engines.forEach(engine -> engine.faulty(true));
    }

    /** Takes an engine out of the list; returns whether it was there. */
    boolean remove(EngineStandin engine) {
        return engines.remove(engine);
    }

    /** Starts an engine in place of one that has crashed, under its id and at its port or at others. */
    synchronized EngineStandin restart(EngineStandin crashed, boolean sameId, boolean samePort) {
        EngineSpec spec = crashed.spec();
        String id = sameId ? spec.id() : "i-" + (isStreaming(crashed) ? "" : "p") + engineCount++;
        return addEngine(spec.service(), id, spec.version(), samePort ? crashed.port() : 0);
    }

    boolean isStreaming(EngineStandin engine) {
        return engine.spec().service().equals(ENGINE_SERVICE);
    }

    /** Returns the version of a release that begins, or nothing during another release. */
    synchronized Optional<String> beginRelease() {
        if (releasing) {
            return Optional.empty();
        }
        releasing = true;
        version++;
        return Optional.of("v" + version);
    }

    synchronized void endRelease() {
        releasing = false;
    }

    /** Returns how long an engine serves on after it has reported to be draining. */
    Duration drainTime() {
        return DRAIN_TIME;
    }

    /** Takes a node for a disturbance, unless it is taken or the only one that is not. */
    synchronized Optional<SoakNode> takeNode(int index) {
        SoakNode node = nodes.get(index);
        boolean taken = takenNodes.size() < nodes.size() - 1 && takenNodes.add(node);
        return taken ? Optional.of(node) : Optional.empty();
    }

    synchronized void giveNode(SoakNode node) {
        takenNodes.remove(node);
    }

    public void startNode(SoakNode node) {
        node.start(root);
    }

    /** Waits until all nodes are ready. */
    void awaitReady() throws InterruptedException {
        awaitReady(nodes);
    }

    /** Returns the nodes whose process has ended though nothing ended it. */
    List<String> endedNodes() {
        return nodes.stream()
                .filter(node -> !node.isAlive())
                .map(SoakNode::name)
                .toList();
    }

    StoreStandin store() {
        return store;
    }

    private static JsonObject configuration(int version) {
        JsonArray routes = new JsonArray()
                .add(stream("r-plain", STREAM_PREFIX, false))
                .add(stream("r-stream", RESUMABLE_PREFIX, true))
                .add(route("r-safe", SAFE_PREFIX, "safe", 2))
                .add(route("r-unsafe", UNSAFE_PREFIX, "unsafe", 1))
                .add(route("r-batch", BATCH_PREFIX, "batch", ITEM_ATTEMPTS)
                        .put("Service", ENGINE_SERVICE)
                        .put("Sticky", true)
                        .put("CompletionTargetMs", 18_000)
                        .put("RetentionS", 300)
                        .put("MaxCount", 0));
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

    public List<SoakNode> nodes() {
        return List.copyOf(nodes);
    }

    List<EngineStandin> engines() {
        return engines;
    }

    public History history() {
        return history;
    }

    @Override
    public void close() {
        nodes.forEach(SoakNode::close);
        engines.forEach(EngineStandin::close);
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
