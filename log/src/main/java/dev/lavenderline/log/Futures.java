package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/** Adapters between Vert.x futures and Mutiny. */
public final class Futures {
    private Futures() {}

    /** Returns a Uni that calls the supplier at each subscription and emits the outcome of its future. */
    public static <T> Uni<T> toUni(Supplier<Future<T>> supplier) {
        return Uni.createFrom().emitter(emitter -> supplier.get().onComplete(emitter::complete, emitter::fail));
    }

    /** Returns a Uni that emits the outcome of a future; subscriptions do not repeat its work. */
    public static <T> Uni<T> toUni(Future<T> future) {
        return toUni(() -> future);
    }

    /** Subscribes to a Uni and returns its outcome as a future. */
    public static <T> Future<T> toFuture(Uni<T> uni) {
        Promise<T> promise = Promise.promise();
        uni.subscribe().with(promise::complete, promise::fail);
        return promise.future();
    }

    /** Returns a Uni that runs a task on a worker thread and emits its result on the subscriber's event loop. */
    public static <T> Uni<T> callBlocking(Vertx vertx, Supplier<T> task) {
        return toUni(() -> vertx.executeBlocking(task::get, false));
    }
}
