package dev.lavenderline.http;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.lavenderline.core.config.Route;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Forwards calls to plain services by the longest path prefix. Non-repeatable calls with an {@code Idempotency-Key}
 * claim the key before they are sent. Confined to the event loop.
 */
final class RouteHandler {
    private final ServerContext server;
    private final KeyedCalls keyedCalls;

    RouteHandler(ServerContext server, KeyedCalls keyedCalls) {
        this.server = server;
        this.keyedCalls = keyedCalls;
    }

    /** Returns whether a route covers the path. */
    boolean covers(String path) {
        return route(path).isPresent();
    }

    void handle(RoutingContext ctx) {
        RawBody.read(ctx, server.limits().maxBodyBytes(), body -> forward(ctx, body));
    }

    private void forward(RoutingContext ctx, Buffer body) {
        Optional<Route> covering = route(ctx.request().path());
        if (covering.isEmpty()) {
            // The configuration changed while the body was read.
            refuse(ctx, ApiError.notFound("no such path"));
            return;
        }
        Route route = covering.get();
        String method = ctx.request().method().name();
        if (!route.methods().contains(method)) {
            ctx.response().putHeader("Allow", String.join(", ", route.methods()));
            refuse(
                    ctx,
                    new ApiError(
                            405,
                            "method_not_allowed",
                            "route " + route.path() + " does not accept " + method,
                            Optional.empty()));
            return;
        }
        Either<ApiError, Duration> timeout = Caller.timeout(ctx, route.timeout());
        if (timeout.isLeft()) {
            refuse(ctx, timeout.getLeft());
            return;
        }
        Either<ApiError, Optional<String>> key = IdempotencyKey.of(ctx.request());
        if (key.isLeft()) {
            refuse(ctx, key.getLeft());
        } else if (route.repeatable() || key.get().isEmpty()) {
            new RoutedCall(server, ctx, route, timeout.get(), body, RoutedCall.Recorder.NONE).start();
        } else {
            claim(ctx, route, timeout.get(), body, key.get().get());
        }
    }

    private void claim(RoutingContext ctx, Route route, Duration timeout, Buffer body, String key) {
        long started = server.ticker().nanos();
        keyedCalls
                .claim(Caller.of(ctx).workspace(), key, route.path(), digest(ctx, body), timeout)
                .subscribe()
                .with(
                        answer -> claimed(ctx, route, timeout, started, body, answer),
                        // A claim that failed in an unexpected way is never followed by a send.
                        failure -> {
                            HttpEvent.HANDLER_FAILED.error(
                                    failure, Caller.of(ctx).requestId());
                            refuse(ctx, new ApiError(500, "internal", "the key was not claimed", Optional.empty()));
                        });
    }

    private void claimed(
            RoutingContext ctx,
            Route route,
            Duration timeout,
            long started,
            Buffer body,
            Either<ApiError, KeyedCalls.Permit> answer) {
        if (answer.isLeft()) {
            refuse(ctx, answer.getLeft());
        } else if (answer.get() instanceof KeyedCalls.Recorded recorded) {
            replay(ctx, recorded.answer());
        } else if (answer.get() instanceof KeyedCalls.Run run) {
            Duration left = timeout.minusNanos(server.ticker().nanos() - started);
            new RoutedCall(server, ctx, route, left, body, RoutedCall.Recorder.of(keyedCalls, run)).start();
        }
    }

    private static void replay(RoutingContext ctx, KeyedCalls.Answer answer) {
        if (ctx.response().closed()) {
            return;
        }
        ctx.response().setStatusCode(answer.status()).putHeader("Idempotent-Replayed", "true");
        if (!answer.contentType().isEmpty()) {
            ctx.response().putHeader("Content-Type", answer.contentType());
        }
        ctx.response().end(Buffer.buffer(answer.body()));
    }

    private static byte[] digest(RoutingContext ctx, Buffer body) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(ctx.request().method().name() + "\n" + ctx.request().uri() + "\n", StandardCharsets.UTF_8);
        return hasher.putBytes(body.getBytes()).hash().asBytes();
    }

    private void refuse(RoutingContext ctx, ApiError error) {
        server.metrics().error(error);
        ErrorBodies.send(ctx.response(), error);
    }

    private Optional<Route> route(String path) {
        Route longest = null;
        for (Route route : server.config().get().routes().values()) {
            boolean longer =
                    longest == null || route.path().length() > longest.path().length();
            if (longer && matches(route.path(), path)) {
                longest = route;
            }
        }
        return Optional.ofNullable(longest);
    }

    /** A prefix matches whole segments only: {@code /lookup} covers {@code /lookup/a}, not {@code /lookups}. */
    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }
}
