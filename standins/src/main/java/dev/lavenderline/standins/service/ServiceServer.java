package dev.lavenderline.standins.service;

import dev.lavenderline.standins.stutter.StutteringConnection;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * Stand-in for a small HTTP service: echoes the method, path, query and body of a call to any path, and records each
 * call that it runs. All state is confined to the verticle's event loop.
 *
 * <pre>{@code
 * ServiceServer service = new ServiceServer(ServiceOptions.parse("--delay", "5"));
 * vertx.deployVerticle(service).await();
 * }</pre>
 */
public final class ServiceServer extends VerticleBase {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final ServiceOptions options;
    private final JsonArray runs = new JsonArray();
    private HttpServer server;
    private long hangEndNanos;
    private int remainingDropAnswers;
    private int remainingRejects;

    /** Creates a service that accepts connections once it is deployed. */
    public ServiceServer(ServiceOptions options) {
        this.options = options;
    }

    /** Runs the service stand-in as a process; prints {@code ready PORT} when it accepts connections. */
    public static void run(String[] args) {
        ServiceServer service = new ServiceServer(ServiceOptions.parse(args));
        Vertx.vertx().deployVerticle(service).await();
        System.out.println("ready " + service.port());
        System.out.flush();
    }

    /** Returns the port that the service listens on. */
    public int port() {
        return server.actualPort();
    }

    @Override
    public Future<?> start() {
        Router router = Router.router(vertx);
        BodyHandler bodies = BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES);
        router.post("/faults").handler(bodies).handler(this::setFaults);
        router.get("/history").handler(ctx -> ctx.json(new JsonObject().put("runs", runs)));
        // No BodyHandler: it would parse multipart bodies, but the response echoes the raw body.
        router.route().handler(ctx -> ctx.request().body().onSuccess(body -> handleCall(ctx, body.toString())));
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
        return server.listen();
    }

    private void setFaults(RoutingContext ctx) {
        JsonObject body = ctx.body().asJsonObject();
        remainingDropAnswers = body.getInteger("drop_answers", remainingDropAnswers);
        remainingRejects = body.getInteger("reject", remainingRejects);
        if (body.containsKey("hang_ms")) {
            hangEndNanos = System.nanoTime() + body.getLong("hang_ms") * NANOS_PER_MS;
        }
        ctx.json(new JsonObject());
    }

    private void handleCall(RoutingContext ctx, String body) {
        StutteringConnection.copyResponse(ctx.request());
        String id = header(ctx, "X-Request-Id");
        if (!id.isEmpty()) {
            ctx.response().putHeader("X-Request-Id", id);
        }
        if (remainingRejects > 0) {
            remainingRejects--;
            JsonObject error = new JsonObject().put("code", "overloaded").put("message", "the call was not run");
            ctx.response()
                    .setStatusCode(503)
                    .end(new JsonObject().put("error", error).toBuffer());
            return;
        }
        JsonObject run = new JsonObject()
                .put("run", "run-" + (runs.size() + 1))
                .put("method", ctx.request().method().name())
                .put("path", ctx.request().path())
                .put("idempotency_key", header(ctx, "Idempotency-Key"))
                .put("request_id", header(ctx, "X-Request-Id"))
                .put("started_ms", System.currentTimeMillis());
        runs.add(run);
        long waitMs = options.delayMs();
        if (hangEndNanos != 0) {
            waitMs = Math.max(waitMs, (hangEndNanos - System.nanoTime()) / NANOS_PER_MS);
        }
        boolean drop = remainingDropAnswers > 0;
        if (drop) {
            remainingDropAnswers--;
        }
        if (waitMs <= 0) {
            respond(ctx, run, body, drop);
        } else {
            vertx.setTimer(waitMs, timer -> respond(ctx, run, body, drop));
        }
    }

    private void respond(RoutingContext ctx, JsonObject run, String body, boolean drop) {
        if (drop) {
            ctx.request().connection().close();
            return;
        }
        if (ctx.response().closed()) {
            return;
        }
        JsonObject response = new JsonObject()
                .put("run", run.getString("run"))
                .put("method", run.getString("method"))
                .put("path", run.getString("path"))
                .put("query", ctx.request().query() == null ? "" : ctx.request().query())
                .put("body", body);
        if (options.paddingBytes() > 0) {
            response.put("padding", "x".repeat(options.paddingBytes()));
        }
        ctx.json(response);
    }

    private static String header(RoutingContext ctx, String name) {
        String value = ctx.request().getHeader(name);
        return value == null ? "" : value;
    }
}
