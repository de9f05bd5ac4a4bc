package dev.lavenderline.standins.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dev.lavenderline.standins.Outage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * In-memory stand-in for the platform's append-only log over HTTP. Section 8 of the design page describes the protocol.
 *
 * <p>{@code POST /faults} takes a JSON object with any of: {@code outage_ms} (status 503 for that time, or no response
 * if {@code silent} is true); {@code drop_answers} (the next N appends take effect, but their connection is closed
 * without a response); {@code delay_ms} with {@code for_ms} (for that time, responses are delayed but appends take
 * effect at once); {@code hold_appends} with {@code hold_ms} (the next N appends get no response and take effect after
 * that time); {@code expire_before} (map of stream to the first offset to keep). {@code GET /stats} returns appends,
 * bytes, records kept, first and next offset of each stream, the number of appends refused by the rate limit, and the
 * numbers of appends that {@code drop_answers} and {@code hold_appends} still apply to.
 *
 * <p>All requests are handled on one event loop; {@link #start} and {@link #stop} may be called from any thread.
 *
 * <pre>{@code
 * LogStandin log = LogStandin.builder(vertx).appendRate(400).build();
 * int port = log.start().await();
 * }</pre>
 */
public final class LogStandin {
    private static final int MAX_RECORD_BYTES = 1 << 20;
    private static final int DEFAULT_MAX_READ_BYTES = 1 << 20;
    private static final JsonFactory JSON = new JsonFactory();

    private final Vertx vertx;
    private final Builder settings;
    private final Map<String, RecordStream> streams = new TreeMap<>();
    private final Outage outage = new Outage();
    private final TokenBucket appendLimiter;
    private HttpServer server;
    private int remainingDropAnswers;
    private int remainingHeldAppends;
    private long holdMs;
    private long delayMs;
    private long delayEndNanos = System.nanoTime();
    private long rateLimitedAppends;

    private LogStandin(Builder settings) {
        this.vertx = settings.vertx;
        this.settings = settings;
        this.appendLimiter = new TokenBucket(settings.appendRate, Math.max(1, settings.appendRate / 4));
    }

    /** Returns a builder with an ephemeral port, no latency and no limits but a retention of 24 h. */
    public static Builder builder(Vertx vertx) {
        return new Builder(vertx);
    }

    /** Starts the server and returns its port. */
    public Future<Integer> start() {
        Router router = Router.router(vertx);
        router.post("/faults").handler(BodyHandler.create(false)).handler(this::setFaults);
        router.get("/stats").handler(this::stats);
        router.route().handler(outage::filter);
        router.post("/streams/:stream/records")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_RECORD_BYTES))
                .handler(this::append);
        router.get("/streams/:stream/records").handler(this::read);
        router.route()
                .failureHandler(context -> context.response()
                        .setStatusCode(context.statusCode() < 400 ? 500 : context.statusCode())
                        .end());
        server = vertx.createHttpServer(new HttpServerOptions()
                .setHost(settings.bind)
                .setPort(settings.port)
                .setHttp2ClearTextEnabled(false));
        return server.requestHandler(router).listen().map(HttpServer::actualPort);
    }

    /** Closes the server and its connections; the records stay in memory with this object. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void append(RoutingContext context) {
        Buffer body = context.body().buffer();
        byte[] data = body == null ? new byte[0] : body.getBytes();
        String name = context.pathParam("stream");
        if (remainingHeldAppends > 0) {
            remainingHeldAppends--;
            vertx.setTimer(Math.max(1, holdMs), timer -> store(name, data));
            return;
        }
        if (!appendLimiter.tryAcquire()) {
            rateLimitedAppends++;
            respond(context, settings.appendLatency, 429, null);
            return;
        }
        long offset = store(name, data);
        if (remainingDropAnswers > 0) {
            remainingDropAnswers--;
            context.request().connection().close();
            return;
        }
        respond(
                context,
                settings.appendLatency,
                200,
                new JsonObject().put("offset", offset).toBuffer());
    }

    private long store(String name, byte[] data) {
        RecordStream stream = streams.computeIfAbsent(name, key -> new RecordStream());
        long offset = stream.append(System.currentTimeMillis(), data);
        expire(stream);
        for (int remaining = stream.waitingReads.size(); remaining > 0; remaining--) {
            stream.waitingReads.remove().run();
        }
        return offset;
    }

    private void expire(RecordStream stream) {
        stream.retain(System.currentTimeMillis() - settings.retention.toMillis(), settings.retainedRecords);
    }

    private void read(RoutingContext context) {
        long from = longParam(context, "from", 1);
        long maxBytes = longParam(context, "max_bytes", DEFAULT_MAX_READ_BYTES);
        long waitMs = longParam(context, "wait_ms", 0);
        if (from < 1 || maxBytes < 0 || waitMs < 0) {
            respond(context, settings.readLatency, 400, null);
            return;
        }
        int limit = (int) Math.min(maxBytes, Integer.MAX_VALUE);
        String name = context.pathParam("stream");
        RecordStream stream = streams.get(name);
        if (waitMs == 0 || (stream != null && stream.nextOffset() > from)) {
            respondToRead(context, name, from, limit);
            return;
        }
        if (stream == null) {
            stream = new RecordStream();
            streams.put(name, stream);
        }
        waitForRecord(context, name, stream, from, limit, waitMs);
    }

    private void waitForRecord(
            RoutingContext context, String name, RecordStream stream, long from, int limit, long waitMs) {
        Runnable[] resume = new Runnable[1];
        long timer = vertx.setTimer(waitMs, id -> {
            stream.waitingReads.remove(resume[0]);
            respondToRead(context, name, from, limit);
        });
        resume[0] = () -> {
            vertx.cancelTimer(timer);
            respondToRead(context, name, from, limit);
        };
        stream.waitingReads.add(resume[0]);
        context.response().closeHandler(closed -> {
            vertx.cancelTimer(timer);
            stream.waitingReads.remove(resume[0]);
        });
    }

    private void respondToRead(RoutingContext context, String name, long from, int limit) {
        if (outage.active()) {
            outage.reject(context);
            return;
        }
        RecordStream stream = streams.get(name);
        if (stream == null) {
            respond(context, settings.readLatency, 200, encodeRecords(1, 1, List.of()));
            return;
        }
        expire(stream);
        if (from < stream.firstOffset()) {
            Buffer body = new JsonObject().put("first", stream.firstOffset()).toBuffer();
            respond(context, settings.readLatency, 410, body);
            return;
        }
        respond(
                context,
                settings.readLatency,
                200,
                encodeRecords(stream.firstOffset(), stream.nextOffset(), stream.read(from, limit)));
    }

    private static Buffer encodeRecords(long firstOffset, long nextOffset, List<RecordStream.StoredRecord> records) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("first", firstOffset);
            json.writeNumberField("next", nextOffset);
            json.writeArrayFieldStart("records");
            for (RecordStream.StoredRecord record : records) {
                json.writeStartObject();
                json.writeNumberField("offset", record.offset());
                json.writeNumberField("time", record.timeMs());
                json.writeBinaryField("data", record.data());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Buffer.buffer(bytes.toByteArray());
    }

    private void respond(RoutingContext context, Duration latency, int status, Buffer body) {
        long wait = latency.toMillis() + (delayEndNanos - System.nanoTime() > 0 ? delayMs : 0);
        if (wait == 0) {
            writeResponse(context, status, body);
            return;
        }
        vertx.setTimer(wait, timer -> writeResponse(context, status, body));
    }

    private static void writeResponse(RoutingContext context, int status, Buffer body) {
        if (context.response().ended() || context.response().closed()) {
            return;
        }
        context.response().setStatusCode(status);
        if (body == null) {
            context.response().end();
            return;
        }
        context.response().putHeader("Content-Type", "application/json").end(body);
    }

    private void setFaults(RoutingContext context) {
        JsonObject faults = context.body().asJsonObject();
        outage.configure(faults);
        remainingDropAnswers = faults.getInteger("drop_answers", remainingDropAnswers);
        if (faults.containsKey("delay_ms")) {
            delayMs = faults.getLong("delay_ms");
            delayEndNanos = System.nanoTime() + faults.getLong("for_ms", 0L) * 1_000_000;
        }
        remainingHeldAppends = faults.getInteger("hold_appends", remainingHeldAppends);
        holdMs = faults.getLong("hold_ms", holdMs);
        for (Map.Entry<String, Object> expiry :
                faults.getJsonObject("expire_before", new JsonObject()).getMap().entrySet()) {
            RecordStream stream = streams.get(expiry.getKey());
            if (stream != null) {
                stream.expireBefore(((Number) expiry.getValue()).longValue());
            }
        }
        context.response().setStatusCode(204).end();
    }

    private void stats(RoutingContext context) {
        JsonObject streamStats = new JsonObject();
        for (Map.Entry<String, RecordStream> entry : streams.entrySet()) {
            RecordStream stream = entry.getValue();
            expire(stream);
            streamStats.put(
                    entry.getKey(),
                    new JsonObject()
                            .put("appends", stream.appendCount())
                            .put("bytes", stream.appendedBytes())
                            .put("records", stream.recordCount())
                            .put("first", stream.firstOffset())
                            .put("next", stream.nextOffset()));
        }
        context.json(new JsonObject()
                .put("streams", streamStats)
                .put("refused", rateLimitedAppends)
                .put("drop_answers", remainingDropAnswers)
                .put("hold_appends", remainingHeldAppends));
    }

    private static long longParam(RoutingContext context, String name, long defaultValue) {
        String value = context.request().getParam(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Settings of a log stand-in. */
    public static final class Builder {
        private final Vertx vertx;
        private String bind = "127.0.0.1";
        private int port;
        private Duration retention = Duration.ofHours(24);
        private int retainedRecords = Integer.MAX_VALUE;
        private double appendRate = Double.POSITIVE_INFINITY;
        private Duration appendLatency = Duration.ZERO;
        private Duration readLatency = Duration.ZERO;

        private Builder(Vertx vertx) {
            this.vertx = vertx;
        }

        /** Address to listen on; 127.0.0.1 by default. */
        public Builder bind(String address) {
            this.bind = address;
            return this;
        }

        /** Port to listen on; 0, the default, for an ephemeral port. */
        public Builder port(int port) {
            this.port = port;
            return this;
        }

        /** Age at which records expire; 24 h by default. */
        public Builder retention(Duration retention) {
            this.retention = retention;
            return this;
        }

        /** Number of records kept in each stream; no limit by default. */
        public Builder retainedRecords(int count) {
            this.retainedRecords = count;
            return this;
        }

        /** Appends per second over all streams, beyond which appends get status 429; no limit by default. */
        public Builder appendRate(double perSecond) {
            if (!(perSecond > 0)) {
                throw new IllegalArgumentException("append rate must be positive, not " + perSecond);
            }
            this.appendRate = perSecond;
            return this;
        }

        /** Time from the moment an append takes effect to its response; 0 by default. */
        public Builder appendLatency(Duration latency) {
            this.appendLatency = latency;
            return this;
        }

        /** Time from the moment the result of a read is known to its response; 0 by default. */
        public Builder readLatency(Duration latency) {
            this.readLatency = latency;
            return this;
        }

        /** Returns the stand-in; {@link LogStandin#start} starts it. */
        public LogStandin build() {
            return new LogStandin(this);
        }
    }
}
