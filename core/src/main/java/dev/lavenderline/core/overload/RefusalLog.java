package dev.lavenderline.core.overload;

import dev.lavenderline.core.Timers;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts refusals and logs them, at most one line per period and reason.
 *
 * <p>Invariant: each refusal has a line or is counted in the next one. Not thread-safe; confined to the event loop.
 */
public final class RefusalLog implements RefusalListener {
    static final Duration PERIOD = Duration.ofSeconds(5);

    private final Consumer<RefusalReason> counter;
    private final Timers timers;
    private final Writer writer;

    /** Refusals since the line of the current period, by reason. */
    private final Map<RefusalReason, Long> further = new EnumMap<>(RefusalReason.class);

    /** Writes log lines. */
    public interface Writer {
        /** Writes the line of the first refusal in a period; the arguments are those of {@link RefusalListener}. */
        void refused(String listener, RefusalReason reason, String peer, long heldBytes);

        /** Writes how many refusals for the same reason followed in the period. */
        void refusedFurther(RefusalReason reason, long count);
    }

    /**
     * Creates a log.
     *
     * @param counter counts each refusal
     */
    public RefusalLog(Consumer<RefusalReason> counter, Timers timers, Writer writer) {
        this.counter = counter;
        this.timers = timers;
        this.writer = writer;
    }

    @Override
    public void refused(String listener, RefusalReason reason, String peer, long heldBytes) {
        counter.accept(reason);
        if (further.computeIfPresent(reason, (known, count) -> count + 1) != null) {
            return;
        }
        writer.refused(listener, reason, peer, heldBytes);
        startPeriod(reason);
    }

    private void startPeriod(RefusalReason reason) {
        further.put(reason, 0L);
        timers.after(PERIOD, () -> endPeriod(reason));
    }

    private void endPeriod(RefusalReason reason) {
        long count = further.remove(reason);
        if (count > 0) {
            writer.refusedFurther(reason, count);
            startPeriod(reason);
        }
    }
}
