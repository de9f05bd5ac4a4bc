package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Reads the list of upstreams for requests that need to know it as of their arrival. One read serves all requests that
 * arrived before it was sent.
 *
 * <p>Invariants: a read is sent after each request for one, and not before {@link #request} has returned; at most one
 * is awaited, and they are sent at least {@link #MIN_INTERVAL} apart. Not thread-safe; confined to the event loop.
 */
public final class ListReads {
    /** Bounds the reads of a node; a resumed stream can wait for that long. */
    static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    /** Time after which a read without a response is not awaited any longer. */
    static final Duration TIMEOUT = Duration.ofMillis(600);

    private final Supplier<Future<?>> reader;
    private final Runnable onEnd;
    private final Ticker ticker;
    private final Timers timers;
    private boolean requested;
    private boolean scheduled;
    private long sentNanos;
    private long latest;

    /** Number of the read that is awaited, 0 if there is none. */
    private long awaited;

    /**
     * Creates the reads of a list.
     *
     * @param reader reads the list up to its end
     * @param onEnd called after each read, whether it succeeded or not
     */
    public ListReads(Supplier<Future<?>> reader, Runnable onEnd, Ticker ticker, Timers timers) {
        this.reader = reader;
        this.onEnd = onEnd;
        this.ticker = ticker;
        this.timers = timers;
        this.sentNanos = ticker.nanos() - MIN_INTERVAL.toNanos();
    }

    /** Requests a read that is sent from now on. */
    public void request() {
        if (!requested) {
            requested = true;
            sendIfDue();
        }
    }

    private void sendIfDue() {
        if (!requested || scheduled || awaited != 0) {
            return;
        }
        scheduled = true;
        Duration pause = MIN_INTERVAL.minusNanos(ticker.nanos() - sentNanos);
        // By a timer in any case, as requests come from within decisions, which the end of a read makes anew.
        timers.after(pause.isNegative() ? Duration.ZERO : pause, this::send);
    }

    private void send() {
        scheduled = false;
        requested = false;
        sentNanos = ticker.nanos();
        long read = ++latest;
        awaited = read;
        Timers.Timer timeout = timers.after(TIMEOUT, () -> ended(read));
        reader.get().onComplete(response -> {
            timeout.cancel();
            ended(read);
        });
    }

    /** A response after the timeout still counts, as the store may only be slow. */
    private void ended(long read) {
        awaited = awaited == read ? 0 : awaited;
        onEnd.run();
        sendIfDue();
    }
}
