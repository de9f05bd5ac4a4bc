package dev.lavenderline.http;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.response.ResponseCodec;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * HTTP client for engines and plain services. Online and batch traffic have separate connections. Connections that
 * were idle for longer than the limit are not reused, because a device on the path may have dropped their state.
 *
 * <p>Not thread-safe; confined to the node's event loop. Listeners are called before the method that starts an exchange
 * returns only if the exchange fails immediately.
 *
 * <pre>{@code
 * UpstreamClient client = new UpstreamClient(vertx, UpstreamClient.Options.defaults());
 * UpstreamClient.Exchange exchange = client.stream(upstream, request, listener);
 * exchange.cancel();
 * }</pre>
 */
public final class UpstreamClient {
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int POOL_CLEANER_PERIOD_MS = 500;

    private final Vertx vertx;
    private final Options options;
    private final UsedConnections usedConnections = new UsedConnections();
    private final Map<TrafficClass, HttpClientAgent> pooled = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, HttpClientAgent> unpooled = new EnumMap<>(TrafficClass.class);

    /**
     * Settings of the client.
     *
     * @param connectTimeout timeout for establishing a connection
     * @param idleTimeout time after which an idle connection is not reused, at least 1 s
     * @param maxConnections largest number of connections to one upstream per traffic class
     */
    public record Options(Duration connectTimeout, Duration idleTimeout, int maxConnections) {
        public Options {
            if (idleTimeout.toSeconds() < 1) {
                throw new IllegalArgumentException("idleTimeout is " + idleTimeout + ", must be at least 1 s");
            }
        }

        /** Returns the defaults: 1 s to connect, 10 s idle and 1,024 connections. */
        public static Options defaults() {
            return new Options(Duration.ofSeconds(1), Duration.ofSeconds(10), 1024);
        }
    }

    /** An exchange in progress. */
    public interface Exchange {
        /** Ends the exchange without a further callback and closes its connection. Idempotent. */
        void close();

        /** Like {@link #close}, but also cancels the request at the engine if the engine may have received it. */
        void cancel();

        /** Returns whether any byte of the request may have been written. */
        boolean maybeSent();

        /** Stops reading the response; the stall timeout does not run meanwhile. */
        void pause();

        /** Resumes reading the response. */
        void resume();
    }

    /** Creates a client; must be called on the event loop that uses it. */
    public UpstreamClient(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
        for (TrafficClass trafficClass : TrafficClass.values()) {
            pooled.put(trafficClass, createClient(true));
            unpooled.put(trafficClass, createClient(false));
        }
    }

    private HttpClientAgent createClient(boolean keepAlive) {
        HttpClientOptions http = new HttpClientOptions()
                .setConnectTimeout((int) options.connectTimeout().toMillis())
                .setKeepAlive(keepAlive)
                .setKeepAliveTimeout((int) options.idleTimeout().toSeconds())
                .setTcpNoDelay(true);
        PoolOptions pool =
                new PoolOptions().setHttp1MaxSize(options.maxConnections()).setCleanerPeriod(POOL_CLEANER_PERIOD_MS);
        return ResponseCodec.client(vertx, http, pool);
    }

    /** Sends a model request to an engine. */
    public Exchange stream(Upstream upstream, StreamRequest request, StreamListener listener) {
        RequestOptions http = requestTo(upstream, HttpMethod.POST, request.path())
                .putHeader("Content-Type", "application/json")
                .putHeader("Accept", "text/event-stream")
                .putHeader(UpstreamExchange.REQUEST_ID_HEADER, request.requestId())
                .putHeader("X-Request-Class", request.trafficClass().headerValue());
        return engineExchange(upstream, request, http, request.body(), 0, false, listener);
    }

    /**
     * Requests the rest of a stream from the engine, on a new connection.
     *
     * @param request the request as it was sent; its stall timeout applies to the first token too
     * @param firstIndex index of the first token to receive
     */
    public Exchange resume(Upstream upstream, StreamRequest request, int firstIndex, StreamListener listener) {
        StreamRequest resumeRequest = new StreamRequest(
                request.requestId(),
                request.path(),
                request.body(),
                request.trafficClass(),
                request.stallTimeout(),
                request.stallTimeout(),
                true);
        String uri = "/v1/streams/" + request.requestId() + "?from=" + firstIndex;
        RequestOptions http = requestTo(upstream, HttpMethod.GET, uri)
                .putHeader("Accept", "text/event-stream")
                .putHeader("X-Request-Class", request.trafficClass().headerValue());
        return engineExchange(upstream, resumeRequest, http, Buffer.buffer(), firstIndex, true, listener);
    }

    private Exchange engineExchange(
            Upstream upstream,
            StreamRequest request,
            RequestOptions http,
            Buffer body,
            int firstIndex,
            boolean resumed,
            StreamListener listener) {
        EngineExchange exchange = new EngineExchange(
                vertx,
                clientFor(request.trafficClass(), request.newConnection()),
                usedConnections,
                http,
                body,
                request.firstTokenTimeout(),
                request.stallTimeout(),
                request.requestId(),
                firstIndex,
                resumed,
                request.precondition(),
                listener);
        exchange.start();
        return new ExchangeHandle(exchange, () -> cancel(upstream, request.requestId(), request.trafficClass()));
    }

    /** Cancels a request at an engine, on a new connection; failures are only logged. */
    public void cancel(Upstream upstream, String requestId, TrafficClass trafficClass) {
        CallRequest request = new CallRequest(
                requestId,
                HttpMethod.DELETE,
                "/v1/streams/" + requestId,
                MultiMap.caseInsensitiveMultiMap(),
                Buffer.buffer(),
                true,
                CANCEL_TIMEOUT,
                CANCEL_TIMEOUT);
        call(upstream, trafficClass, request, new CallListener() {
            @Override
            public void head(int status, MultiMap headers) {}

            @Override
            public void data(Buffer chunk) {}

            @Override
            public void end() {}

            @Override
            public void failed(UpstreamFailure failure) {
                HttpEvent.CANCEL_FAILED.debug(requestId, upstream.name(), failure.message());
            }
        });
    }

    /** Calls a plain service. */
    public Exchange call(Upstream upstream, CallRequest request, CallListener listener) {
        return call(upstream, TrafficClass.ONLINE, request, listener);
    }

    private Exchange call(Upstream upstream, TrafficClass trafficClass, CallRequest request, CallListener listener) {
        RequestOptions http = requestTo(upstream, request.method(), request.uri());
        request.headers().forEach((name, value) -> http.addHeader(name, value));
        http.putHeader(UpstreamExchange.REQUEST_ID_HEADER, request.requestId());
        ServiceExchange exchange = new ServiceExchange(
                vertx,
                clientFor(trafficClass, request.newConnection()),
                usedConnections,
                request.requestId(),
                http,
                request.body(),
                request.headTimeout(),
                request.stallTimeout(),
                listener);
        exchange.start();
        return new ExchangeHandle(exchange, () -> {});
    }

    private HttpClientAgent clientFor(TrafficClass trafficClass, boolean newConnection) {
        return (newConnection ? unpooled : pooled).get(trafficClass);
    }

    private static RequestOptions requestTo(Upstream upstream, HttpMethod method, String uri) {
        return new RequestOptions()
                .setHost(upstream.host())
                .setPort(upstream.port())
                .setMethod(method)
                .setURI(uri);
    }

    /** Closes all connections. */
    public Future<Void> close() {
        Future<Void> all = Future.succeededFuture();
        for (TrafficClass trafficClass : TrafficClass.values()) {
            all = all.compose(done -> pooled.get(trafficClass).close())
                    .compose(done -> unpooled.get(trafficClass).close());
        }
        return all;
    }

    private static final class ExchangeHandle implements Exchange {
        private final UpstreamExchange exchange;
        private final Runnable cancelUpstream;

        ExchangeHandle(UpstreamExchange exchange, Runnable cancelUpstream) {
            this.exchange = exchange;
            this.cancelUpstream = cancelUpstream;
        }

        @Override
        public void close() {
            exchange.close();
        }

        @Override
        public void cancel() {
            if (exchange.done()) {
                return;
            }
            boolean sent = exchange.maybeSent();
            exchange.close();
            if (sent) {
                cancelUpstream.run();
            }
        }

        @Override
        public boolean maybeSent() {
            return exchange.maybeSent();
        }

        @Override
        public void pause() {
            exchange.pause();
        }

        @Override
        public void resume() {
            exchange.resume();
        }
    }
}
