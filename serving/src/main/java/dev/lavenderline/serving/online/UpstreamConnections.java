package dev.lavenderline.serving.online;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.response.ResponseCodec;
import dev.lavenderline.core.response.ResponseIntegrity.Defect;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpConnection;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Pool of connections to upstreams, each with at most one request at a time. A connection is reused only while the
 * upstream certainly keeps it open: a request sent on a closing connection may have run and often can't be retried.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamConnections {
    /** Below the delay of about 1 s after which TCP retransmits a lost SYN, which is too long to wait. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Subtracted from the idle time that an upstream announces, to allow for network latency and late timers. */
    private static final Duration REUSE_MARGIN = Duration.ofMillis(600);

    /** Limit on the idle time, as upstreams may drop idle connections without notice. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(8);

    /** Time limit on the rest of a rejection; the connection is closed at the next check after it. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Times between the checks of an upstream that closed a connection: its port may close after its connections. Until
     * a crash is noticed, the next request with the same part crashes another upstream.
     */
    private static final List<Long> CRASH_CHECK_DELAYS_MILLIS = List.of(10L, 40L);

    private final Vertx vertx;
    private final Ticker ticker;
    private final HttpClientOptions options;
    private final HttpClientAgent agent;
    private final UnexpectedResponseLog unexpected;
    private final Map<String, Deque<IdleConnection>> idle = new HashMap<>();

    /** Connections on which the rest of a rejection is read, with the time at which they are closed. */
    private final Map<UpstreamConnection, Long> discarding = new HashMap<>();

    /** What to do if upstreams have crashed that are being checked, by id. */
    private final Map<String, List<Runnable>> crashChecks = new HashMap<>();

    private ResponseInfoListener responseInfoListener = (upstream, info, sentNanos) -> {};
    private long opened;

    private record IdleConnection(UpstreamConnection connection, long expiryNanos) {}

    public UpstreamConnections(Vertx vertx, Ticker ticker, EventLog log) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.unexpected = new UnexpectedResponseLog(ticker, log);
        this.options = new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setKeepAlive(true)
                .setDecompressionSupported(false)
                .setMaxHeaderSize(64 * 1024)
                .setTcpNoDelay(true);
        this.agent = vertx.createHttpClient(options);
    }

    /** Receives what upstreams say of themselves in the heads of responses. */
    @FunctionalInterface
    public interface ResponseInfoListener {
        /**
         * Handles the head of a response.
         *
         * @param sentNanos when the request was sent
         */
        void received(Upstream upstream, ResponseInfo info, long sentNanos);
    }

    /** Sets the listener for the heads of responses. */
    public void onResponseInfo(ResponseInfoListener listener) {
        responseInfoListener = listener;
    }

    /** Handles the head of a response from an upstream. */
    void received(Upstream upstream, ResponseInfo info, long sentNanos) {
        responseInfoListener.received(upstream, info, sentNanos);
    }

    /** Records a response that is not taken for that of the request in progress. */
    void rejected(Upstream upstream, UpstreamRequest request, int status, ResponseInfo info, int requests) {
        unexpected.rejected(upstream, request.requestId(), status, info, requests);
    }

    /** Records a response that holds parts of another one. */
    void joined(Upstream upstream, UpstreamRequest request, int status, Defect defect, int requests) {
        unexpected.joined(upstream, request.requestId(), status, defect, requests);
    }

    /** Runs an action after a delay. */
    void runAfter(Duration delay, Runnable action) {
        vertx.setTimer(delay.toMillis(), now -> action.run());
    }

    long nanos() {
        return ticker.nanos();
    }

    /** Sends a request; the listener receives the response. */
    public UpstreamExchange send(
            Upstream upstream, UpstreamRequest request, WireFormat wire, ResponseListener listener) {
        UpstreamExchange exchange = new UpstreamExchange(this, upstream, request, wire, listener);
        exchange.start();
        return exchange;
    }

    /** Prepares a connection for a request that has not been written yet. */
    void prepare(HttpConnection connection) {
        ResponseCodec.install(connection, options);
    }

    /**
     * Returns an idle connection or a new one, on which a request may be sent: it has not carried that request, and
     * nothing at all if the request has no id.
     */
    Future<UpstreamConnection> acquire(Upstream upstream, String requestId) {
        Deque<IdleConnection> pool = idle.get(upstream.id());
        if (pool == null || requestId.isEmpty()) {
            return connect(upstream);
        }
        Iterator<IdleConnection> newestFirst = pool.descendingIterator();
        while (newestFirst.hasNext()) {
            IdleConnection candidate = newestFirst.next();
            if (candidate.expiryNanos() - ticker.nanos() <= 0) {
                newestFirst.remove();
                candidate.connection().close();
            } else if (!candidate.connection().carried(requestId)) {
                newestFirst.remove();
                return Future.succeededFuture(candidate.connection());
            }
        }
        return connect(upstream);
    }

    private Future<UpstreamConnection> connect(Upstream upstream) {
        opened++;
        return agent.connect(new HttpConnectOptions().setHost(upstream.host()).setPort(upstream.port()))
                .map(UpstreamConnection::new);
    }

    /**
     * Runs an action if an upstream that has lost a connection refuses another one, which tells its crash from an
     * answer that the network lost. An upstream that listens again within the sum of {@link #CRASH_CHECK_DELAYS_MILLIS}
     * may go unnoticed.
     */
    public void ifCrashed(Upstream upstream, Runnable action) {
        List<Runnable> waiting = crashChecks.get(upstream.id());
        if (waiting != null) {
            waiting.add(action);
            return;
        }
        crashChecks.put(upstream.id(), new ArrayList<>(List.of(action)));
        checkCrash(upstream, CRASH_CHECK_DELAYS_MILLIS);
    }

    /** Runs an action if an upstream accepts a connection. */
    public void ifAccepted(Upstream upstream, Runnable action) {
        connect(upstream).onSuccess(accepted -> {
            accepted.close();
            action.run();
        });
    }

    /** Connects to an upstream, and again after each of the delays while it accepts: it may still be ending. */
    private void checkCrash(Upstream upstream, List<Long> delaysMillis) {
        connect(upstream)
                .onSuccess(accepted -> {
                    accepted.close();
                    if (delaysMillis.isEmpty()) {
                        crashChecks.remove(upstream.id());
                        return;
                    }
                    vertx.setTimer(
                            delaysMillis.get(0),
                            now -> checkCrash(upstream, delaysMillis.subList(1, delaysMillis.size())));
                })
                .onFailure(refused -> crashed(upstream));
    }

    private void crashed(Upstream upstream) {
        crashChecks.remove(upstream.id()).forEach(Runnable::run);
    }

    /** Returns a connection to the pool, or closes it if the upstream may close it soon or it is not reusable. */
    void release(Upstream upstream, UpstreamConnection connection, Duration keepAlive) {
        discarding.remove(connection);
        Duration maxIdle = keepAlive.compareTo(MAX_IDLE) < 0 ? keepAlive : MAX_IDLE;
        Duration usable = maxIdle.minus(REUSE_MARGIN);
        if (usable.isNegative() || usable.isZero() || !connection.reusable()) {
            connection.close();
            return;
        }
        long since = ticker.nanos();
        IdleConnection entry = new IdleConnection(connection, since + usable.toNanos());
        idle.computeIfAbsent(upstream.id(), id -> new ArrayDeque<>()).addLast(entry);
        connection.http().closeHandler(closed -> remove(upstream.id(), entry));
        connection.http().exceptionHandler(failure -> {
            if (!(failure instanceof IOException)) {
                Duration idleTime = Duration.ofNanos(ticker.nanos() - since);
                unexpected.unsolicited(upstream, connection.requests(), idleTime, failure.getMessage());
            }
            // The close handler runs later; a request sent before that would be lost.
            remove(upstream.id(), entry);
            connection.close();
        });
    }

    /**
     * Handles a request that got no response in time: closes the idle connections to the upstream, which may have been
     * lost without notice like that of the request.
     */
    public void upstreamSilent(Upstream upstream) {
        Deque<IdleConnection> pool = idle.remove(upstream.id());
        if (pool != null) {
            pool.forEach(candidate -> candidate.connection().close());
        }
    }

    /** Closes a connection in {@link #closeExpired} unless it is released or closed before {@link #DISCARD_TIMEOUT}. */
    void closeUnlessReleased(UpstreamConnection connection) {
        discarding.put(connection, ticker.nanos() + DISCARD_TIMEOUT.toNanos());
    }

    /** Forgets a connection that was closed while the rest of a rejection was read. */
    void closed(UpstreamConnection connection) {
        discarding.remove(connection);
    }

    private void remove(String upstream, IdleConnection closed) {
        Deque<IdleConnection> pool = idle.get(upstream);
        if (pool != null && pool.remove(closed) && pool.isEmpty()) {
            idle.remove(upstream);
        }
    }

    /** Closes connections that have been idle for too long; to be called about once a second. */
    public void closeExpired() {
        long now = ticker.nanos();
        for (Deque<IdleConnection> pool : idle.values()) {
            for (IdleConnection candidate : pool.toArray(IdleConnection[]::new)) {
                if (candidate.expiryNanos() - now <= 0 && pool.remove(candidate)) {
                    candidate.connection().close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
        for (Map.Entry<UpstreamConnection, Long> entry : List.copyOf(discarding.entrySet())) {
            if (entry.getValue() - now <= 0) {
                discarding.remove(entry.getKey());
                entry.getKey().close();
            }
        }
    }

    /** Returns the number of connections opened so far. */
    public long opened() {
        return opened;
    }
}
