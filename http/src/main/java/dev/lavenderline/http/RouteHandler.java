package dev.lavenderline.http;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.lavenderline.core.config.Route;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Forwards calls to plain services by the longest matching path prefix. A non-repeatable call with an idempotency key
 * is sent only after the key was claimed. Confined to the event loop.
 */
final class RouteHandler {
    /** Longest wait for a call in progress with the same key; its claim expires earlier. */
    private static final Duration LONGEST_WAIT = Duration.ofMinutes(1);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final ServerContext server;
    private final KeyedCalls keyedCalls;

    RouteHandler(ServerContext server, KeyedCalls keyedCalls) {
        this.server = server;
        this.keyedCalls = keyedCalls;
    }

    /**
     * Handles a request. One whose path has no route is denied, unless it may repeat a call that was accepted while it
     * had one.
     */
    void handle(RoutingContext ctx) {
        KeyedCalls.Knowledge earlier = IdempotencyKey.of(ctx.request())
                .getOrElse(Optional.empty())
                .map(key -> keyedCalls.knows(Caller.of(ctx).workspace(), key))
                .orElse(KeyedCalls.Knowledge.NOT_RECORDED);
        if (earlier == KeyedCalls.Knowledge.RECORDED
                || findRoute(ctx.request().path()).isPresent()) {
            RawBody.read(ctx, server.limits().maxBodyBytes(), body -> replayOrForward(ctx, body));
        } else if (earlier == KeyedCalls.Knowledge.UNCERTAIN) {
            sendError(ctx, ApiError.notRun("the platform's log cannot be reached", RETRY_AFTER));
        } else {
            ctx.fail(404);
        }
    }

    /** Replays the result of an earlier call with the same key, whatever the routes are now. */
    private void replayOrForward(RoutingContext ctx, Buffer body) {
        Optional<Uni<Either<ApiError, KeyedCalls.ClaimResult>>> earlier = IdempotencyKey.of(ctx.request())
                .getOrElse(Optional.empty())
                .flatMap(key -> keyedCalls.earlierResult(
                        Caller.of(ctx).workspace(),
                        key,
                        requestDigest(ctx, body),
                        Caller.timeout(ctx, LONGEST_WAIT).getOrElse(LONGEST_WAIT)));
        if (earlier.isEmpty()) {
            forward(ctx, body);
            return;
        }
        earlier.get().subscribe().with(result -> sendEarlier(ctx, result), failure -> sendClaimFailure(ctx, failure));
    }

    private void sendEarlier(RoutingContext ctx, Either<ApiError, KeyedCalls.ClaimResult> result) {
        if (result.isLeft()) {
            sendError(ctx, result.getLeft());
        } else if (result.get() instanceof KeyedCalls.Replay replay) {
            replay(ctx, replay.response());
        }
    }

    private void sendClaimFailure(RoutingContext ctx, Throwable failure) {
        HttpEvent.HANDLER_FAILED.error(failure, Caller.of(ctx).requestId());
        sendError(ctx, new ApiError(500, "internal", "the key was not claimed", Optional.empty()));
    }

    private void forward(RoutingContext ctx, Buffer body) {
        Optional<Route> found = findRoute(ctx.request().path());
        if (found.isEmpty()) {
            // The configuration changed while the body was read.
            sendError(ctx, ApiError.notFound("no such path"));
            return;
        }
        Route route = found.get();
        String method = ctx.request().method().name();
        if (!route.methods().contains(method)) {
            ctx.response().putHeader("Allow", String.join(", ", route.methods()));
            sendError(
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
            sendError(ctx, timeout.getLeft());
            return;
        }
        Either<ApiError, Optional<String>> key = IdempotencyKey.of(ctx.request());
        if (key.isLeft()) {
            sendError(ctx, key.getLeft());
        } else if (route.repeatable() || key.get().isEmpty()) {
            new RoutedCall(server, ctx, route, timeout.get(), body, RoutedCall.OutcomeRecorder.NONE).start();
        } else {
            claimKey(ctx, route, timeout.get(), body, key.get().get());
        }
    }

    private void claimKey(RoutingContext ctx, Route route, Duration timeout, Buffer body, String key) {
        long claimStartNanos = server.ticker().nanos();
        keyedCalls
                .claim(Caller.of(ctx).workspace(), key, route.path(), requestDigest(ctx, body), timeout)
                .subscribe()
                .with(
                        result -> handleClaim(ctx, route, timeout, claimStartNanos, body, result),
                        // After an unexpected failure of the claim the call is never sent.
                        failure -> sendClaimFailure(ctx, failure));
    }

    private void handleClaim(
            RoutingContext ctx,
            Route route,
            Duration timeout,
            long claimStartNanos,
            Buffer body,
            Either<ApiError, KeyedCalls.ClaimResult> result) {
        if (result.isLeft()) {
            sendError(ctx, result.getLeft());
        } else if (result.get() instanceof KeyedCalls.Replay replay) {
            replay(ctx, replay.response());
        } else if (result.get() instanceof KeyedCalls.Claimed claimed) {
            Duration remaining = timeout.minusNanos(server.ticker().nanos() - claimStartNanos);
            new RoutedCall(server, ctx, route, remaining, body, RoutedCall.OutcomeRecorder.of(keyedCalls, claimed))
                    .start();
        }
    }

    private static void replay(RoutingContext ctx, KeyedCalls.Response response) {
        if (ctx.response().closed()) {
            return;
        }
        ctx.response().setStatusCode(response.status()).putHeader("Idempotent-Replayed", "true");
        if (!response.contentType().isEmpty()) {
            ctx.response().putHeader("Content-Type", response.contentType());
        }
        ctx.response().end(Buffer.buffer(response.body()));
    }

    private static byte[] requestDigest(RoutingContext ctx, Buffer body) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(ctx.request().method().name() + "\n" + ctx.request().uri() + "\n", StandardCharsets.UTF_8);
        return hasher.putBytes(body.getBytes()).hash().asBytes();
    }

    private void sendError(RoutingContext ctx, ApiError error) {
        server.metrics().error(error);
        ErrorBodies.send(ctx.response(), error);
    }

    private Optional<Route> findRoute(String path) {
        Route longest = null;
        for (Route route : server.config().get().routes().values()) {
            boolean longer =
                    longest == null || route.path().length() > longest.path().length();
            if (longer && hasPrefix(route.path(), path)) {
                longest = route;
            }
        }
        return Optional.ofNullable(longest);
    }

    /** Matches whole path segments only: {@code /lookup} matches {@code /lookup/a}, not {@code /lookups}. */
    private static boolean hasPrefix(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }
}
