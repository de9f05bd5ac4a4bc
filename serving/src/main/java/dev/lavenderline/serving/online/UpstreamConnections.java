package dev.lavenderline.serving.online;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Connections to upstreams, each with at most one request at a time. A connection is used again only while the upstream
 * certainly keeps it, because a request that meets a closing connection may have run and often can't be repeated.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamConnections {
    /** Longest time to connect: a lost packet is sent again after about a second, which is too late to wait for. */
    private static final Duration CONNECT_LIMIT = Duration.ofMillis(600);

    /** Part of the announced idle time that is not used, for the way to the upstream and late timers. */
    private static final Duration REUSE_MARGIN = Duration.ofMillis(600);

    /** Longest idle time; upstreams may drop idle connections without notice. */
    private static final Duration LONGEST_IDLE = Duration.ofSeconds(8);

    private final Ticker ticker;
    private final HttpClientAgent agent;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();
    private long opened;

    private record Idle(HttpClientConnection connection, long untilNanos) {}

    public UpstreamConnections(Vertx vertx, Ticker ticker) {
        this.ticker = ticker;
        this.agent = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_LIMIT.toMillis())
                .setKeepAlive(true)
                .setDecompressionSupported(false)
                .setMaxHeaderSize(64 * 1024)
                .setTcpNoDelay(true));
    }

    /** Sends a request. */
    public UpstreamExchange send(Upstream upstream, UpstreamCall call, WireFormat wire, AnswerListener listener) {
        UpstreamExchange exchange = new UpstreamExchange(this, upstream, call, wire, listener);
        exchange.start();
        return exchange;
    }

    /** Returns an idle connection or a new one. */
    Future<HttpClientConnection> acquire(Upstream upstream) {
        Deque<Idle> some = idle.get(upstream.id());
        while (some != null && !some.isEmpty()) {
            Idle candidate = some.pollLast();
            if (candidate.untilNanos() - ticker.nanos() > 0) {
                return Future.succeededFuture(candidate.connection());
            }
            candidate.connection().close();
        }
        opened++;
        return agent.connect(new HttpConnectOptions().setHost(upstream.host()).setPort(upstream.port()));
    }

    /** Keeps a connection for later requests. */
    void release(Upstream upstream, HttpClientConnection connection, Duration reuse) {
        Duration longest = reuse.compareTo(LONGEST_IDLE) < 0 ? reuse : LONGEST_IDLE;
        Duration usable = longest.minus(REUSE_MARGIN);
        if (usable.isNegative() || usable.isZero()) {
            connection.close();
            return;
        }
        Idle kept = new Idle(connection, ticker.nanos() + usable.toNanos());
        idle.computeIfAbsent(upstream.id(), id -> new ArrayDeque<>()).addLast(kept);
        connection.closeHandler(closed -> forget(upstream.id(), kept));
    }

    private void forget(String upstream, Idle gone) {
        Deque<Idle> some = idle.get(upstream);
        if (some != null && some.remove(gone) && some.isEmpty()) {
            idle.remove(upstream);
        }
    }

    /** Closes connections that were idle for too long; call it about once a second. */
    public void closeExpired() {
        long now = ticker.nanos();
        for (Deque<Idle> some : idle.values()) {
            for (Idle candidate : some.toArray(Idle[]::new)) {
                if (candidate.untilNanos() - now <= 0 && some.remove(candidate)) {
                    candidate.connection().close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Returns the number of connections opened so far. */
    public long opened() {
        return opened;
    }
}
