package dev.lavenderline.http;

import dev.lavenderline.core.config.Deployment;
import io.vavr.control.Either;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;

/** Parses online model requests and starts them. Confined to the event loop. */
final class OnlineHandler {
    private final ServerContext server;

    OnlineHandler(ServerContext server) {
        this.server = server;
    }

    void handle(RoutingContext ctx) {
        Either<ApiError, OnlineRequest> request = parse(ctx);
        if (request.isLeft()) {
            server.metrics().error(request.getLeft());
            ErrorBodies.send(ctx.response(), request.getLeft());
            return;
        }
        request.get().start();
    }

    private Either<ApiError, OnlineRequest> parse(RoutingContext ctx) {
        byte[] body =
                ctx.body().buffer() == null ? new byte[0] : ctx.body().buffer().getBytes();
        return ModelRequest.parse(body, ctx.request().path(), server.limits().defaultMaxTokens())
                .flatMap(model -> findDeployment(model)
                        .flatMap(deployment ->
                                Caller.timeout(ctx, deployment.timeout()).map(timeout -> create(ctx, model, timeout))));
    }

    private OnlineRequest create(RoutingContext ctx, ModelRequest model, Duration timeout) {
        return new OnlineRequest(server, Caller.of(ctx), model, timeout, ctx.response());
    }

    private Either<ApiError, Deployment> findDeployment(ModelRequest model) {
        Deployment deployment = server.config().get().deployments().get(model.deployment());
        if (deployment == null || !deployment.onlineEnabled()) {
            return Either.left(new ApiError(
                    404,
                    "model_not_found",
                    "no deployment " + ErrorBodies.truncate(model.deployment()) + " accepts online requests",
                    java.util.Optional.empty()));
        }
        return Either.right(deployment);
    }
}
