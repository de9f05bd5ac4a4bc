package dev.lavenderline.node.supervisor;

import dev.lavenderline.core.Timers;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The timers of one component: reports exceptions of tasks to the supervisor and can cancel all tasks together.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class GuardedTimers implements Timers {
    private final Timers delegate;
    private final Consumer<Throwable> onFailure;
    private final Set<Timer> pending = new HashSet<>();

    public GuardedTimers(Timers delegate, Consumer<Throwable> onFailure) {
        this.delegate = delegate;
        this.onFailure = onFailure;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        Timer[] self = new Timer[1];
        self[0] = delegate.after(delay, () -> {
            pending.remove(self[0]);
            run(task);
        });
        return track(self[0]);
    }

    @Override
    public Timer every(Duration period, Runnable task) {
        return track(delegate.every(period, () -> run(task)));
    }

    /** Cancels all pending and periodic tasks. */
    public void cancelAll() {
        pending.forEach(Timer::cancel);
        pending.clear();
    }

    private Timer track(Timer timer) {
        pending.add(timer);
        return () -> {
            pending.remove(timer);
            timer.cancel();
        };
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError cause) {
            onFailure.accept(cause);
        }
    }
}
