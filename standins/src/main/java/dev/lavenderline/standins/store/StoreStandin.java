package dev.lavenderline.standins.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in for the platform's store: a log with conditional appends and keyed topics over HTTP. Producers, groups and
 * trims are not implemented, since no program of this repository uses them.
 *
 * <p>Thread-safe: all state is confined to the event loop on which the stand-in was created, and faults are set there.
 */
public final class StoreStandin {
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int DEFAULT_MAX_KB = 1024;
    private static final long LATE_APPEND_MS = 300;
    private static final long CHUNK_INTERVAL_MS = 100;
    private static final long TRICKLE_INTERVAL_MS = 300;

    private final Vertx vertx;
    private final Map<String, Log> logs = new ConcurrentHashMap<>();
    private final Deque<Fault> appendFaults = new ArrayDeque<>();
    private final Set<HttpConnection> openConnections = new HashSet<>();
    private final Set<HttpConnection> silentConnections = new HashSet<>();
    private final Map<String, Fault> outages = new ConcurrentHashMap<>();
    private volatile Fault outage = Fault.NONE;
    private volatile int trickledCalls;
    private volatile int chunkBytes = Integer.MAX_VALUE;
    private HttpServer server;

    /** A fault injected into one append, or into all calls. */
    public enum Fault {
        NONE,
        /** No response and no effect. */
        SILENT,
        /** Refused with status 503. */
        BUSY,
        /** The connection is reset. */
        RESET,
        /** The response brings a byte now and then and does not end. */
        TRICKLE,
        /** Applied if its condition holds, but the connection is closed without a response. */
        ANSWER_LOST,
        /** No response; applied 300 ms later if the condition of the append holds then. */
        LATE
    }

    private record Entry(String key, Buffer value) {}

    private static final class Log {
        final List<Entry> entries = new ArrayList<>();
        final List<Runnable> waitingReads = new CopyOnWriteArrayList<>();
        int firstOffset;
    }

    public StoreStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts or restarts the server on a loopback port, 0 for an ephemeral one, and returns the port. */
    public Future<Integer> start(int port) {
        server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .connectionHandler(this::connected)
                .requestHandler(request -> request.body().onSuccess(body -> {
                    if (silentConnections.contains(request.connection())) {
                        return;
                    }
                    switch (outages.getOrDefault(request.getParam("Topic"), outage)) {
                        case SILENT -> {}
                        case BUSY -> request.response().setStatusCode(503).end();
                        case RESET -> request.connection().close();
                        case TRICKLE -> trickle(request);
                        default -> route(request, body);
                    }
                }));
        return server.listen(port, "127.0.0.1").map(HttpServer::actualPort);
    }

    private void connected(HttpConnection connection) {
        openConnections.add(connection);
        connection.closeHandler(closed -> {
            openConnections.remove(connection);
            silentConnections.remove(connection);
        });
    }

    private void trickle(HttpServerRequest request) {
        trickledCalls++;
        request.response().setChunked(true);
        long timer = vertx.setPeriodic(
                TRICKLE_INTERVAL_MS, next -> request.response().write("x"));
        request.response().closeHandler(closed -> vertx.cancelTimer(timer));
    }

    /** Leaves all connections open without a further response on them; new connections work. */
    public void silenceOpenConnections() {
        vertx.runOnContext(now -> silentConnections.addAll(openConnections));
    }

    /** Injects a fault into all calls until it is set to {@link Fault#NONE}. */
    public void outage(Fault fault) {
        outage = fault;
    }

    /** Injects a fault into all calls for a topic until it is set to {@link Fault#NONE}. */
    public void outage(String topic, Fault fault) {
        outages.put(topic, fault);
    }

    /** Returns the number of responses that did not end. */
    public int trickledCalls() {
        return trickledCalls;
    }

    /** Returns the number of reads that wait for a record of a partition. */
    public int waitingReads(String topic, int partition) {
        return log(topic, partition).waitingReads.size();
    }

    /** Sends listings of newest records in chunks of {@code bytes}, one every 100 ms, as over a slow link. */
    public void chunkNewest(int bytes) {
        chunkBytes = bytes;
    }

    /** Injects one fault into each of the next appends, in order. */
    public void failNextAppends(Fault... faults) {
        vertx.runOnContext(now -> appendFaults.addAll(List.of(faults)));
    }

    /** Expires all records of a partition; in a keyed topic, the newest record of each key can still be listed. */
    public void expire(String topic, int partition) {
        vertx.runOnContext(now -> {
            Log log = log(topic, partition);
            log.firstOffset = log.entries.size();
        });
    }

    /** Appends a record to partition 0, as operators and upstreams do; an empty value deletes the key. */
    public void put(String topic, String key, Buffer value) {
        vertx.runOnContext(now -> {
            Log log = log(topic, 0);
            log.entries.add(new Entry(key, value));
            resumeReads(log);
        });
    }

    private Log log(String topic, int partition) {
        return logs.computeIfAbsent(topic + "/" + partition, name -> new Log());
    }

    private void route(HttpServerRequest request, Buffer body) {
        Log log = log(request.getParam("Topic"), Integer.parseInt(request.getParam("part")));
        switch (request.path()) {
            case "/v1/log-append" -> append(request, log, body);
            case "/v1/log-read" -> read(request, log);
            case "/v1/log-newest" -> newest(request, log);
            default -> request.response().setStatusCode(404).end();
        }
    }

    private void append(HttpServerRequest request, Log log, Buffer body) {
        Fault fault = appendFaults.isEmpty() ? Fault.NONE : appendFaults.poll();
        switch (fault) {
            case SILENT -> {}
            case BUSY -> request.response().setStatusCode(503).end();
            case RESET -> request.connection().close();
            case LATE -> vertx.setTimer(LATE_APPEND_MS, later -> applyAppend(request, log, body));
            case ANSWER_LOST -> {
                applyAppend(request, log, body);
                request.connection().close();
            }
            default -> {
                int offset = log.entries.size();
                boolean applied = applyAppend(request, log, body);
                request.response()
                        .setStatusCode(applied ? 200 : 412)
                        .end(new JsonObject()
                                .put("Offset", offset)
                                .put("End", log.entries.size())
                                .toBuffer());
            }
        }
    }

    private boolean applyAppend(HttpServerRequest request, Log log, Buffer body) {
        String at = request.getParam("At");
        if (at != null && Long.parseLong(at) != log.entries.size()) {
            return false;
        }
        int position = 0;
        while (position < body.length()) {
            int length = body.getInt(position);
            int start = position + 4;
            int keyLength = body.getUnsignedByte(start);
            String key = body.getString(start + 1, start + 1 + keyLength);
            log.entries.add(new Entry(key, body.getBuffer(start + 1 + keyLength, start + length)));
            position = start + length;
        }
        resumeReads(log);
        return true;
    }

    private static void resumeReads(Log log) {
        List<Runnable> waitingReads = List.copyOf(log.waitingReads);
        log.waitingReads.clear();
        waitingReads.forEach(Runnable::run);
    }

    private void read(HttpServerRequest request, Log log) {
        long from = Long.parseLong(request.getParam("From"));
        String wait = request.getParam("WaitMs");
        if (from < log.firstOffset) {
            request.response()
                    .setStatusCode(410)
                    .end(new JsonObject().put("First", log.firstOffset).toBuffer());
        } else if (from >= log.entries.size() && wait != null && !wait.equals("0")) {
            Runnable[] resume = new Runnable[1];
            long timer = vertx.setTimer(Long.parseLong(wait), over -> {
                log.waitingReads.remove(resume[0]);
                respondToRead(request, log, from);
            });
            resume[0] = () -> {
                vertx.cancelTimer(timer);
                respondToRead(request, log, from);
            };
            log.waitingReads.add(resume[0]);
        } else {
            respondToRead(request, log, from);
        }
    }

    private void respondToRead(HttpServerRequest request, Log log, long from) {
        if (silentConnections.contains(request.connection())) {
            return;
        }
        Buffer body = Buffer.buffer().appendLong(log.entries.size()).appendLong(log.firstOffset);
        String maxKb = request.getParam("MaxKb");
        int maxBytes = (maxKb == null ? DEFAULT_MAX_KB : Integer.parseInt(maxKb)) * 1024;
        for (int i = (int) from; i < log.entries.size(); i++) {
            Entry entry = log.entries.get(i);
            byte[] key = entry.key().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            if (body.length() + 5 + key.length + entry.value().length() > 16 + maxBytes) {
                break;
            }
            body.appendInt(1 + key.length + entry.value().length())
                    .appendUnsignedByte((short) key.length)
                    .appendBytes(key)
                    .appendBuffer(entry.value());
        }
        request.response().end(body);
    }

    private void newest(HttpServerRequest request, Log log) {
        Map<String, Buffer> newest = new TreeMap<>();
        for (Entry entry : log.entries) {
            if (entry.value().length() == 0) {
                newest.remove(entry.key());
            } else {
                newest.put(entry.key(), entry.value());
            }
        }
        String after = request.getParam("After");
        JsonArray items = new JsonArray();
        boolean more = false;
        for (Map.Entry<String, Buffer> entry : newest.entrySet()) {
            if (after != null && entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == MAX_PAGE_ITEMS) {
                more = true;
                break;
            }
            items.add(new JsonObject()
                    .put("Key", entry.getKey())
                    .put(
                            "Value",
                            Base64.getEncoder().encodeToString(entry.getValue().getBytes()))
                    .put("Offset", 0));
        }
        Buffer page = new JsonObject()
                .put("Items", items)
                .put("HasMore", more)
                .put("End", log.entries.size())
                .toBuffer();
        request.response().putHeader("Content-Length", String.valueOf(page.length()));
        writeInChunks(request, page);
    }

    private void writeInChunks(HttpServerRequest request, Buffer rest) {
        if (rest.length() <= chunkBytes) {
            request.response().end(rest);
            return;
        }
        request.response().write(rest.getBuffer(0, chunkBytes));
        vertx.setTimer(CHUNK_INTERVAL_MS, next -> writeInChunks(request, rest.getBuffer(chunkBytes, rest.length())));
    }
}
