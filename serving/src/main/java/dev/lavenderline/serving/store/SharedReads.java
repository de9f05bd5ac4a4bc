package dev.lavenderline.serving.store;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Bounds the rate of reads that requests cause: those that arrive while a read is not due share the next one.
 *
 * <p>Invariant: each read begins after the calls that share it, at most one is in progress, and two begin at least a
 * period apart. Not thread-safe; confined to the event loop.
 */
public final class SharedReads {
    private final Supplier<Future<Void>> read;
    private final Duration period;
    private final Ticker ticker;
    private final Timers timers;

    /** The read that has not begun, null if nobody waits for one. */
    private Promise<Void> next;

    private boolean inProgress;
    private boolean timerSet;
    private long earliestNanos;

    /**
     * Creates the reads.
     *
     * @param read reads; its future must complete in any case
     * @param period shortest time between the begins of two reads
     */
    public SharedReads(Supplier<Future<Void>> read, Duration period, Ticker ticker, Timers timers) {
        this.read = read;
        this.period = period;
        this.ticker = ticker;
        this.timers = timers;
        this.earliestNanos = ticker.nanos();
    }

    /** Returns a future that completes like a read that begins after this call. */
    public Future<Void> read() {
        if (next == null) {
            next = Promise.promise();
        }
        Future<Void> result = next.future();
        beginIfDue();
        return result;
    }

    private void beginIfDue() {
        if (next == null || inProgress || timerSet) {
            return;
        }
        long delayNanos = earliestNanos - ticker.nanos();
        if (delayNanos > 0) {
            timerSet = true;
            timers.after(Duration.ofNanos(delayNanos), () -> {
                timerSet = false;
                beginIfDue();
            });
            return;
        }
        Promise<Void> begun = next;
        next = null;
        inProgress = true;
        earliestNanos = ticker.nanos() + period.toNanos();
        read.get().onComplete(done -> {
            inProgress = false;
            begun.handle(done);
            beginIfDue();
        });
    }
}
