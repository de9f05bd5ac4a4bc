package dev.lavenderline.serving.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

/** An upstream whose responses a test scripts. Thread-safe. */
final class ScriptedUpstream {
    static final int EVENT_COUNT = 5;

    final String id;
    final int port;
    final List<String> requests = new CopyOnWriteArrayList<>();

    /** The events after which requests asked to continue. */
    final List<String> resumedAfter = new CopyOnWriteArrayList<>();

    /** What each request said of its caller: its path, the workspace and the key. */
    final List<String> callers = new CopyOnWriteArrayList<>();

    final List<String> cancelled = new CopyOnWriteArrayList<>();
    volatile BiConsumer<HttpServerRequest, String> script;

    private final Vertx vertx;
    private volatile HttpServer server;

    ScriptedUpstream(Vertx vertx, String id) {
        this.vertx = vertx;
        this.id = id;
        this.script = (request, body) -> stream(vertx, request, 10, EVENT_COUNT);
        this.port = listen(0).toCompletionStage().toCompletableFuture().join().actualPort();
    }

    private Future<HttpServer> listen(int onPort) {
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(onPort, "127.0.0.1");
    }

    private void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            requests.add(request.uri() + " " + body);
            callers.add(request.path() + " " + request.getHeader("tenant") + " " + request.getHeader("key"));
            Optional.ofNullable(request.getHeader("after")).ifPresent(resumedAfter::add);
            request.response().closeHandler(closed -> {
                if (!request.response().ended()) {
                    cancelled.add(request.uri());
                }
            });
            request.response().putHeader("id", request.getHeader("id")).putHeader("stamp", id);
            request.response().putHeader("Keep-Alive", "timeout=5");
            script.accept(request, body.toString());
        });
    }

    /** Closes the port and all connections, like the end of the process. */
    void crash() {
        server.close();
    }

    /** Listens on the same port again after {@link #crash}. */
    Future<Void> restart() {
        return listen(port).mapEmpty();
    }

    /**
     * Streams the events after the one that the request names and ends the response. If more than {@code maxEvents} are
     * left, closes the connection within the event after these.
     */
    static void stream(Vertx vertx, HttpServerRequest request, long pauseMs, int maxEvents) {
        String after = request.getHeader("after");
        int first = after == null ? 1 : Integer.parseInt(after) + 1;
        request.response().setChunked(true);
        sendNext(vertx, request, pauseMs, first, first + maxEvents - 1);
    }

    private static void sendNext(Vertx vertx, HttpServerRequest request, long pauseMs, int event, int last) {
        vertx.setTimer(pauseMs, now -> {
            if (request.response().closed()) {
                return;
            }
            if (event > EVENT_COUNT) {
                request.response().end();
            } else if (event > last) {
                request.response().write("id: " + event + "\ndata: par");
                vertx.setTimer(20, later -> request.connection().close());
            } else {
                request.response().write("id: " + event + "\ndata: text" + event + "\n\n");
                sendNext(vertx, request, pauseMs, event + 1, last);
            }
        });
    }
}
