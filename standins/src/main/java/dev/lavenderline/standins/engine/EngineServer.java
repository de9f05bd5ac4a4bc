package dev.lavenderline.standins.engine;

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
 * HTTP side of the engine stand-in. All state is confined to the verticle's event loop.
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
    private final Runnable exit;
    private final PrefixCache cache;
    private final StepLoop loop;
    private final History history;
    private final Map<String, EngineStream> streams = new LinkedHashMap<>();
    private final Deque<Load> loads = new ArrayDeque<>();
    private final Deque<CacheEvent> cacheEvents = new ArrayDeque<>();
    private final SplittableRandom random;
    private final EngineOrders orders;
    private HttpServer server;
    private long cacheEventCount;
    private long stepTimer = -1;
    private long hangUntil = Long.MIN_VALUE;
    private int rejects;
    private int crossed;

    private record Load(long nanos, long wallMs, int running, int waiting, int kvTokens) {}

    private record CacheEvent(long sequence, long nanos, String kind, long block) {}

    /** Creates an engine that is undeployed by the fault {@code exit}. */
    public EngineServer(EngineOptions options) {
        this(options, null);
    }

    private EngineServer(EngineOptions options, Runnable exit) {
        this.options = options;
        this.exit = exit;
        this.cache = new PrefixCache(options.prefixCacheTokens(), this::cacheChanged);
        this.history = new History(options.historyLimit());
        this.random = new SplittableRandom(options.seed());
        this.orders = new EngineOrders(options);
        this.loop = new StepLoop(options, cache, new StepLoop.Output() {
            @Override
            public void token(Sequence sequence, String text, long atNanos) {
                EngineServer.this.token(sequence, text);
            }

            @Override
            public void finished(Sequence sequence, long atNanos) {
                EngineServer.this.finished(sequence);
            }

            @Override
            public void freed(Sequence sequence, long atNanos) {
                streams.remove(sequence.id);
            }
        });
    }

    /** Runs the engine stand-in as a process; prints {@code ready PORT} when it accepts connections. */
    public static void run(String[] args) {
        EngineOptions options = EngineOptions.parse(args);
        // halt, not exit: a lost engine runs no shutdown steps.
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
        router.post("/faults").handler(bodies).handler(this::faults);
        router.get("/history").handler(ctx -> ctx.json(history.toJson()));
        router.route().handler(bodies).handler(ctx -> whenAwake(ctx::next));
        router.post("/v1/chat/completions").handler(ctx -> complete(ctx, true));
        router.post("/v1/completions").handler(ctx -> complete(ctx, false));
        router.get("/v1/streams/:id").handler(this::resume);
        router.delete("/v1/streams/:id").handler(this::cancel);
        router.get("/v1/load").handler(this::load);
        router.get("/v1/cache/events").handler(this::events);
        router.post("/v1/cache/export").handler(this::export);
        router.post("/v1/cache/import").handler(this::importBlocks);
        router.post("/v1/orders").handler(orders::order);
        router.get("/v1/loaded").handler(orders::loaded);
        HttpServerOptions http = new HttpServerOptions().setHost(options.host()).setPort(options.port());
        server = vertx.createHttpServer(http)
                .connectionHandler(connection -> connection.exceptionHandler(broken -> {}))
                .requestHandler(router);
        sample();
        return server.listen();
    }

    private void faults(RoutingContext ctx) {
        JsonObject body = ctx.body().asJsonObject();
        long now = System.nanoTime();
        if (body.containsKey("slow_factor")) {
            loop.advance(now);
            loop.slow(body.getDouble("slow_factor"), now + body.getLong("for_ms", 0L) * NANOS_PER_MS);
        }
        if (body.containsKey("hang_ms")) {
            hangUntil = now + body.getLong("hang_ms") * NANOS_PER_MS;
            loop.pause(now, hangUntil);
            schedule();
        }
        if (body.getBoolean("cut_streams", false)) {
            for (EngineStream stream : List.copyOf(streams.values())) {
                if (stream.attached()) {
                    stream.cut();
                    expireLater(stream);
                }
            }
        }
        rejects = body.getInteger("reject", rejects);
        crossed = body.getInteger("cross_answers", crossed);
        if (body.getBoolean("exit", false)) {
            if (exit != null) {
                exit.run();
            }
            vertx.undeploy(deploymentID());
            return;
        }
        ctx.json(new JsonObject());
    }

    private void whenAwake(Runnable action) {
        long wait = hangUntil - System.nanoTime();
        if (hangUntil == Long.MIN_VALUE || wait <= 0) {
            action.run();
            return;
        }
        vertx.setTimer(wait / NANOS_PER_MS + 1, timer -> whenAwake(action));
    }

    private void complete(RoutingContext ctx, boolean chat) {
        History.Entry entry = new History.Entry();
        entry.arrivedMs = System.currentTimeMillis();
        entry.id = header(ctx, "X-Request-Id", "engine-" + Long.toHexString(random.nextLong()));
        entry.trafficClass = header(ctx, "X-Request-Class", "");
        entry.idempotencyKey = header(ctx, "Idempotency-Key", "");
        history.add(entry);
        if (rejects > 0) {
            rejects--;
            entry.end("rejected");
            error(ctx, 503, "overloaded", "the engine does not accept requests");
            return;
        }
        JsonObject body;
        PromptReader prompt;
        try {
            body = ctx.body().asJsonObject();
            prompt = PromptReader.read(body, chat);
        } catch (RuntimeException e) {
            entry.end("refused");
            error(ctx, 400, "invalid_request", String.valueOf(e.getMessage()));
            return;
        }
        if (prompt.prompt().contains("reject-me")) {
            entry.end("refused");
            error(ctx, 400, "invalid_prompt", "the prompt cannot be processed");
            return;
        }
        if (prompt.prompt().contains("crash-me")) {
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
                TokenText.hash(prompt.base()),
                TokenText.promptTokens(prompt.prompt()),
                PrefixCache.blocksOf(model, prompt.prompt()),
                prompt.partialTokens(),
                prompt.length(),
                prompt.finishReason());
        entry.firstIndex = prompt.partialTokens();
        EngineStream stream = new EngineStream(sequence, entry, chat, model);
        if (crossed > 0) {
            crossed--;
            stream.showId("other-" + entry.id);
        }
        streams.put(entry.id, stream);
        HttpServerResponse response = ctx.response();
        if (response.closed()) {
            expireLater(stream);
        } else if (body.getBoolean("stream", false)) {
            watch(stream, response);
            stream.attach(response, 0);
        } else {
            watch(stream, response);
            stream.attachWhole(response);
        }
        loop.submit(sequence, System.nanoTime());
        sample();
        schedule();
    }

    private void watch(EngineStream stream, HttpServerResponse response) {
        response.exceptionHandler(failure -> {});
        response.closeHandler(closed -> {
            if (stream.isAttached(response)) {
                stream.detach();
                expireLater(stream);
            }
        });
    }

    private void expireLater(EngineStream stream) {
        int attachment = stream.attachment;
        vertx.setTimer(Math.max(1, options.streamKeepMs()), timer -> {
            if (stream.attachment != attachment || stream.attached()) {
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
        watch(stream, ctx.response());
        stream.attach(ctx.response(), Integer.parseInt(from));
        if (stream.ended()) {
            expireLater(stream);
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
        stream.cut();
        ctx.response().setStatusCode(204).end();
    }

    private void token(Sequence sequence, String text) {
        EngineStream stream = streams.get(sequence.id);
        if (stream.entry.tokens == 0) {
            stream.entry.firstTokenMs = System.currentTimeMillis();
            stream.entry.cachedTokens = sequence.cachedTokens;
        }
        stream.entry.tokens++;
        stream.token(text);
    }

    private void finished(Sequence sequence) {
        EngineStream stream = streams.get(sequence.id);
        stream.entry.end("completed");
        stream.end();
        expireLater(stream);
    }

    private void schedule() {
        if (stepTimer >= 0 || !loop.stepping()) {
            return;
        }
        long wait = loop.nextEnd() - System.nanoTime();
        stepTimer = vertx.setTimer(Math.max(1, (wait + NANOS_PER_MS - 1) / NANOS_PER_MS), timer -> {
            stepTimer = -1;
            loop.advance(System.nanoTime());
            sample();
            schedule();
        });
    }

    private void sample() {
        long now = System.nanoTime();
        loads.add(new Load(now, System.currentTimeMillis(), loop.running(), loop.waiting(), loop.kvTokens()));
        laggedLoad(now);
    }

    /** Returns the newest sample that is older than the lag, and drops the older ones. */
    private Load laggedLoad(long now) {
        long newest = now - options.loadLagMs() * NANOS_PER_MS;
        Load current = loads.remove();
        while (!loads.isEmpty() && loads.peek().nanos() <= newest) {
            current = loads.remove();
        }
        loads.addFirst(current);
        return current;
    }

    private void load(RoutingContext ctx) {
        Load load = laggedLoad(System.nanoTime());
        ctx.json(new JsonObject()
                .put("running", load.running())
                .put("waiting", load.waiting())
                .put("kv_used", load.kvTokens())
                .put("as_of", load.wallMs()));
    }

    private void cacheChanged(String kind, long block) {
        cacheEventCount++;
        if (random.nextDouble() >= options.cacheEventGap()) {
            cacheEvents.add(new CacheEvent(cacheEventCount, System.nanoTime(), kind, block));
        }
        if (cacheEvents.size() > MAX_CACHE_EVENTS) {
            cacheEvents.remove();
        }
    }

    private void events(RoutingContext ctx) {
        long from = Long.parseLong(ctx.request().getParam("from", "0"));
        long newest = System.nanoTime() - options.cacheEventLagMs() * NANOS_PER_MS;
        JsonArray events = new JsonArray();
        long next = from;
        for (CacheEvent event : cacheEvents) {
            if (event.nanos() > newest) {
                break;
            }
            if (event.sequence() >= from) {
                events.add(new JsonObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.kind())
                        .put("block", Long.toHexString(event.block())));
                next = event.sequence() + 1;
            }
        }
        ctx.json(new JsonObject().put("events", events).put("next", next));
    }

    private void export(RoutingContext ctx) {
        JsonArray blocks = new JsonArray();
        cache.contents().forEach(block -> blocks.add(Long.toHexString(block)));
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

    private static String header(RoutingContext ctx, String name, String otherwise) {
        String value = ctx.request().getHeader(name);
        return value == null ? otherwise : value;
    }

    static void error(RoutingContext ctx, int status, String code, String message) {
        if (ctx.response().closed()) {
            return;
        }
        JsonObject error = new JsonObject().put("code", code).put("message", message);
        ctx.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject().put("error", error).toBuffer());
    }
}
