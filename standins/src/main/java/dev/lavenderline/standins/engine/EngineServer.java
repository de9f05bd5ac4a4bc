package dev.lavenderline.standins.engine;

import dev.lavenderline.standins.stutter.StutteringConnection;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * HTTP API of the engine stand-in. All state is confined to the verticle's event loop.
 *
 * <pre>{@code
 * EngineServer engine = new EngineServer(EngineOptions.parse("--step-base", "5"));
 * vertx.deployVerticle(engine).await();
 * int port = engine.port();
 * }</pre>
 */
public final class EngineServer extends VerticleBase {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int MAX_CACHE_EVENTS = 100_000;

    private final EngineOptions options;
    private final Runnable onExit;
    private final PrefixCache cache;
    private final StepLoop loop;
    private final RequestHistory history;
    private final Map<String, EngineStream> streams = new LinkedHashMap<>();
    private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
    private final Deque<CacheEvent> cacheEvents = new ArrayDeque<>();
    private final SplittableRandom random;
    private final OrderHandler orders;
    private HttpServer server;
    private long lastCacheEventNumber;
    private long stepTimer = -1;
    private long hangEndNanos = Long.MIN_VALUE;
    private int remainingRejects;
    private int remainingWrongIds;

    private record LoadSample(long nanos, long wallMs, int running, int waiting, int kvTokens) {}

    private record CacheEvent(long number, long nanos, String kind, long block) {}

    /** Creates an engine that the fault {@code exit} undeploys. */
    public EngineServer(EngineOptions options) {
        this(options, null);
    }

    private EngineServer(EngineOptions options, Runnable onExit) {
        this.options = options;
        this.onExit = onExit;
        this.cache = new PrefixCache(options.prefixCacheTokens(), this::recordCacheEvent);
        this.history = new RequestHistory(options.historyLimit());
        this.random = new SplittableRandom(options.seed());
        this.orders = new OrderHandler(options);
        this.loop = new StepLoop(options, cache, new StepLoop.Listener() {
            @Override
            public void onToken(Sequence sequence, String text, long scheduledNanos) {
                EngineServer.this.handleToken(sequence, text);
            }

            @Override
            public void onFinished(Sequence sequence, long scheduledNanos) {
                EngineServer.this.handleFinished(sequence);
            }

            @Override
            public void onRemoved(Sequence sequence, long scheduledNanos) {
                streams.remove(sequence.id);
            }
        });
    }

    /** Runs the engine stand-in as a process; prints {@code ready PORT} when it accepts connections. */
    public static void run(String[] args) {
        EngineOptions options = EngineOptions.parse(args);
        // halt instead of exit: a crashed engine runs no shutdown hooks.
        EngineServer engine =
                new EngineServer(options, () -> Runtime.getRuntime().halt(1));
        Vertx.vertx().deployVerticle(engine).await();
        System.out.println("ready " + engine.port());
        System.out.flush();
    }

    /** Returns the port that the engine listens on. */
    public int port() {
        return server.actualPort();
    }

    @Override
    public Future<?> start() {
        orders.start(vertx);
        Router router = Router.router(vertx);
        BodyHandler bodies = BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES);
        router.post("/faults").handler(bodies).handler(this::setFaults);
        router.get("/history").handler(ctx -> ctx.json(history.toJson()));
        router.route().handler(bodies).handler(ctx -> runAfterHang(ctx::next));
        router.route("/v1/*").handler(ctx -> {
            StutteringConnection.copyResponse(ctx.request());
            ctx.next();
        });
        router.post("/v1/chat/completions").handler(ctx -> complete(ctx, true));
        router.post("/v1/completions").handler(ctx -> complete(ctx, false));
        router.get("/v1/streams/:id").handler(this::resume);
        router.delete("/v1/streams/:id").handler(this::cancel);
        router.get("/v1/load").handler(this::reportLoad);
        router.get("/v1/cache/events").handler(this::listCacheEvents);
        router.post("/v1/cache/export").handler(this::exportBlocks);
        router.post("/v1/cache/import").handler(this::importBlocks);
        router.post("/v1/orders").handler(orders::handleOrder);
        router.get("/v1/loaded").handler(orders::listLoaded);
        HttpServerOptions http = new HttpServerOptions()
                .setHost(options.host())
                .setPort(options.port())
                .setHttp2ClearTextEnabled(false);
        server = vertx.createHttpServer(http)
                .connectionHandler(connection -> {
                    connection.exceptionHandler(ignored -> {});
                    StutteringConnection.prepare(connection, options.stutter());
                })
                .requestHandler(router);
        sampleLoad();
        return server.listen();
    }

    private void setFaults(RoutingContext ctx) {
        JsonObject body = ctx.body().asJsonObject();
        long now = System.nanoTime();
        if (body.containsKey("slow_factor")) {
            loop.advance(now);
            loop.slowDown(body.getDouble("slow_factor"), now + body.getLong("for_ms", 0L) * NANOS_PER_MS);
        }
        if (body.containsKey("hang_ms")) {
            hangEndNanos = now + body.getLong("hang_ms") * NANOS_PER_MS;
            loop.pause(now, hangEndNanos);
            scheduleStep();
        }
        if (body.getBoolean("cut_streams", false)) {
            for (EngineStream stream : List.copyOf(streams.values())) {
                if (stream.attached()) {
                    stream.resetConnection();
                    scheduleExpiry(stream);
                }
            }
        }
        remainingRejects = body.getInteger("reject", remainingRejects);
        remainingWrongIds = body.getInteger("cross_answers", remainingWrongIds);
        if (body.getBoolean("exit", false)) {
            if (onExit != null) {
                onExit.run();
            }
            vertx.undeploy(deploymentID());
            return;
        }
        ctx.json(new JsonObject());
    }

    private void runAfterHang(Runnable action) {
        long wait = hangEndNanos - System.nanoTime();
        if (hangEndNanos == Long.MIN_VALUE || wait <= 0) {
            action.run();
            return;
        }
        vertx.setTimer(wait / NANOS_PER_MS + 1, timer -> runAfterHang(action));
    }

    private void complete(RoutingContext ctx, boolean chat) {
        RequestHistory.Entry entry = new RequestHistory.Entry();
        entry.arrivedMs = System.currentTimeMillis();
        entry.id = header(ctx, "X-Request-Id", "engine-" + Long.toHexString(random.nextLong()));
        entry.trafficClass = header(ctx, "X-Request-Class", "");
        entry.idempotencyKey = header(ctx, "Idempotency-Key", "");
        history.add(entry);
        if (remainingRejects > 0) {
            remainingRejects--;
            entry.end("rejected");
            error(ctx, 503, "overloaded", "the engine does not accept requests");
            return;
        }
        JsonObject body;
        CompletionRequest request;
        try {
            body = ctx.body().asJsonObject();
            request = CompletionRequest.parse(body, chat);
        } catch (RuntimeException e) {
            entry.end("refused");
            error(ctx, 400, "invalid_request", String.valueOf(e.getMessage()));
            return;
        }
        if (request.prompt().contains("reject-me")) {
            entry.end("refused");
            error(ctx, 400, "invalid_prompt", "the prompt cannot be processed");
            return;
        }
        if (request.prompt().contains("crash-me")) {
            entry.end("crashed");
            ctx.request().connection().close();
            return;
        }
        if (streams.containsKey(entry.id)) {
            entry.end("refused");
            error(ctx, 409, "duplicate_id", "a stream with the id " + entry.id + " exists");
            return;
        }
        String model = body.getString("model", "");
        Sequence sequence = new Sequence(
                entry.id,
                TokenText.hash(request.basePrompt()),
                TokenText.promptTokens(request.prompt()),
                PrefixCache.blockHashes(model, request.prompt()),
                request.partialTokens(),
                request.tokensToGenerate(),
                request.finishReason());
        entry.firstTokenIndex = request.partialTokens();
        EngineStream stream = new EngineStream(sequence, entry, chat, model);
        if (remainingWrongIds > 0) {
            remainingWrongIds--;
            stream.overrideId("other-" + entry.id);
        }
        streams.put(entry.id, stream);
        HttpServerResponse response = ctx.response();
        if (response.closed()) {
            scheduleExpiry(stream);
        } else if (body.getBoolean("stream", false)) {
            detachOnClose(stream, response);
            stream.attach(response, 0);
        } else {
            detachOnClose(stream, response);
            stream.attachNonStreaming(response);
        }
        loop.submit(sequence, System.nanoTime());
        sampleLoad();
        scheduleStep();
    }

    private void detachOnClose(EngineStream stream, HttpServerResponse response) {
        response.exceptionHandler(failure -> {});
        response.closeHandler(closed -> {
            if (stream.isAttached(response)) {
                stream.detach();
                scheduleExpiry(stream);
            }
        });
    }

    private void scheduleExpiry(EngineStream stream) {
        int attachmentEpoch = stream.attachmentEpoch;
        vertx.setTimer(Math.max(1, options.streamRetentionMs()), timer -> {
            if (stream.attachmentEpoch != attachmentEpoch || stream.attached()) {
                return;
            }
            if (stream.ended()) {
                streams.remove(stream.sequence.id, stream);
            } else {
                stream.entry.end("abandoned");
                loop.cancel(stream.sequence);
            }
        });
    }

    private void resume(RoutingContext ctx) {
        EngineStream stream = streams.get(ctx.pathParam("id"));
        String from = ctx.request().getParam("from", "0");
        if (stream == null || stream.sequence.cancelled || !from.matches("\\d{1,9}")) {
            error(ctx, 404, "unknown_stream", "no stream " + ctx.pathParam("id") + " at " + from);
            return;
        }
        detachOnClose(stream, ctx.response());
        stream.attach(ctx.response(), Integer.parseInt(from));
        if (stream.ended()) {
            scheduleExpiry(stream);
        }
    }

    private void cancel(RoutingContext ctx) {
        EngineStream stream = streams.get(ctx.pathParam("id"));
        if (stream == null) {
            error(ctx, 404, "unknown_stream", "no stream " + ctx.pathParam("id"));
            return;
        }
        if (stream.ended()) {
            streams.remove(stream.sequence.id);
        } else {
            stream.entry.end("cancelled");
            loop.cancel(stream.sequence);
        }
        stream.resetConnection();
        ctx.response().setStatusCode(204).end();
    }

    private void handleToken(Sequence sequence, String text) {
        EngineStream stream = streams.get(sequence.id);
        if (stream.entry.tokens == 0) {
            stream.entry.firstTokenMs = System.currentTimeMillis();
            stream.entry.cachedTokens = sequence.cachedTokens;
        }
        stream.entry.tokens++;
        stream.addToken(text);
    }

    private void handleFinished(Sequence sequence) {
        EngineStream stream = streams.get(sequence.id);
        stream.entry.end("completed");
        stream.end();
        scheduleExpiry(stream);
    }

    private void scheduleStep() {
        if (stepTimer >= 0 || !loop.stepInProgress()) {
            return;
        }
        long wait = loop.stepEndNanos() - System.nanoTime();
        stepTimer = vertx.setTimer(Math.max(1, (wait + NANOS_PER_MS - 1) / NANOS_PER_MS), timer -> {
            stepTimer = -1;
            loop.advance(System.nanoTime());
            sampleLoad();
            scheduleStep();
        });
    }

    private void sampleLoad() {
        long now = System.nanoTime();
        loadSamples.add(new LoadSample(
                now, System.currentTimeMillis(), loop.runningCount(), loop.waitingCount(), loop.kvTokens()));
        laggedSample(now);
    }

    /** Returns the newest sample that is at least as old as the configured lag, and drops older samples. */
    private LoadSample laggedSample(long now) {
        long newestNanos = now - options.loadReportLagMs() * NANOS_PER_MS;
        LoadSample current = loadSamples.remove();
        while (!loadSamples.isEmpty() && loadSamples.peek().nanos() <= newestNanos) {
            current = loadSamples.remove();
        }
        loadSamples.addFirst(current);
        return current;
    }

    private void reportLoad(RoutingContext ctx) {
        LoadSample load = laggedSample(System.nanoTime());
        ctx.json(new JsonObject()
                .put("running", load.running())
                .put("waiting", load.waiting())
                .put("kv_used", load.kvTokens())
                .put("as_of", load.wallMs()));
    }

    private void recordCacheEvent(String kind, long block) {
        lastCacheEventNumber++;
        if (random.nextDouble() >= options.cacheEventLoss()) {
            cacheEvents.add(new CacheEvent(lastCacheEventNumber, System.nanoTime(), kind, block));
        }
        if (cacheEvents.size() > MAX_CACHE_EVENTS) {
            cacheEvents.remove();
        }
    }

    private void listCacheEvents(RoutingContext ctx) {
        long from = Long.parseLong(ctx.request().getParam("from", "0"));
        long newestNanos = System.nanoTime() - options.cacheEventLagMs() * NANOS_PER_MS;
        JsonArray events = new JsonArray();
        long next = from;
        for (CacheEvent event : cacheEvents) {
            if (event.nanos() > newestNanos) {
                break;
            }
            if (event.number() >= from) {
                events.add(new JsonObject()
                        .put("sequence", event.number())
                        .put("kind", event.kind())
                        .put("block", Long.toHexString(event.block())));
                next = event.number() + 1;
            }
        }
        ctx.json(new JsonObject().put("events", events).put("next", next));
    }

    private void exportBlocks(RoutingContext ctx) {
        JsonArray blocks = new JsonArray();
        cache.cachedHashes().forEach(block -> blocks.add(Long.toHexString(block)));
        ctx.json(new JsonObject().put("blocks", blocks));
    }

    private void importBlocks(RoutingContext ctx) {
        List<Long> blocks = new ArrayList<>();
        try {
            JsonArray hashes = ctx.body().asJsonObject().getJsonArray("blocks");
            hashes.forEach(hash -> blocks.add(Long.parseUnsignedLong((String) hash, 16)));
        } catch (RuntimeException e) {
            error(ctx, 400, "invalid_request", "blocks must be a list of hexadecimal hashes");
            return;
        }
        cache.store(blocks);
        ctx.json(new JsonObject().put("tokens", cache.tokens()));
    }

    private static String header(RoutingContext ctx, String name, String defaultValue) {
        String value = ctx.request().getHeader(name);
        return value == null ? defaultValue : value;
    }

    static void error(RoutingContext ctx, int status, String code, String message) {
        if (ctx.response().closed()) {
            return;
        }
        JsonObject error = new JsonObject().put("code", code).put("message", message);
        String id = ctx.request().getHeader("X-Request-Id");
        if (id != null) {
            ctx.response().putHeader("X-Request-Id", id);
        }
        ctx.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject().put("error", error).toBuffer());
    }
}
