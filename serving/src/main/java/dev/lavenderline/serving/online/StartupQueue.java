package dev.lavenderline.serving.online;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Holds the requests that reach a process before it has read what it needs to serve them.
 *
 * <p>Answers the load after the loss of all nodes: callers connect as soon as a process listens, a few hundred
 * milliseconds before it has read the configuration and the upstreams. A caller that is rejected then, by a node that
 * has just started like all others, has usually lost its only retry.
 *
 * <p>Invariant: of the two tasks of a request, exactly one runs, once. Not thread-safe; confined to the event loop.
 */
final class StartupQueue {
    /** Longest time for which a request is held; the start takes about 1 s on the slowest hosts. */
    static final Duration MAX_WAIT = Duration.ofSeconds(2);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(10);

    private final BooleanSupplier ready;
    private final Ticker ticker;
    private final Timers timers;
    private List<Held> held = new ArrayList<>();

    private record Held(long untilNanos, Runnable serve, Runnable reject) {}

    /**
     * Creates a queue.
     *
     * @param ready returns whether requests can be served
     */
    StartupQueue(BooleanSupplier ready, Ticker ticker, Timers timers) {
        this.ready = ready;
        this.ticker = ticker;
        this.timers = timers;
    }

    /**
     * Serves a request now or once the process is ready.
     *
     * @param maxWait time after which the request is rejected, bounded by {@link #MAX_WAIT}
     */
    void submit(Duration maxWait, Runnable serve, Runnable reject) {
        if (ready.getAsBoolean()) {
            serve.run();
            return;
        }
        if (held.isEmpty()) {
            timers.after(CHECK_PERIOD, this::check);
        }
        long waitNanos = Math.min(maxWait.toNanos(), MAX_WAIT.toNanos());
        held.add(new Held(ticker.nanos() + waitNanos, serve, reject));
    }

    private void check() {
        boolean served = ready.getAsBoolean();
        long now = ticker.nanos();
        List<Held> due = new ArrayList<>();
        List<Held> remaining = new ArrayList<>();
        held.forEach(request -> (served || now - request.untilNanos() >= 0 ? due : remaining).add(request));
        held = remaining;
        // Scheduled before the requests are handled, so that a failure of one does not end the checks.
        if (!held.isEmpty()) {
            timers.after(CHECK_PERIOD, this::check);
        }
        due.forEach(request -> (served ? request.serve() : request.reject()).run());
    }
}
