package dev.lavenderline.node.log;

import dev.lavenderline.core.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.function.Supplier;

/** Timeouts that fire on the node's event loop; Mutiny's own timeouts would fire on another thread. Stateless. */
public final class Timeouts {
    private Timeouts() {}

    /**
     * Returns the item of a Uni, or the fallback if there is none within the limit. The Uni is not cancelled; a later
     * item is dropped.
     */
    public static <T> Uni<T> within(Uni<T> uni, Timers timers, Duration limit, Supplier<T> fallback) {
        return Uni.createFrom().emitter(emitter -> {
            Timers.Timer timer = timers.after(limit, () -> emitter.complete(fallback.get()));
            uni.subscribe()
                    .with(
                            item -> {
                                timer.cancel();
                                emitter.complete(item);
                            },
                            failure -> {
                                timer.cancel();
                                emitter.fail(failure);
                            });
        });
    }
}
