package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.WriterState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Last sequence of each writer of a stream, and the log time.
 *
 * <p>The log time is the largest record time seen. It is taken from records only, so that all readers forget the same
 * writers at the same record. Not thread-safe.
 */
final class WriterSequences {
    /** Writers that were silent for this long in log time are forgotten. */
    static final Duration MEMORY = Duration.ofHours(48);

    // Ordered by the time of the last record, oldest first, because every record moves its writer to the end.
    private final LinkedHashMap<String, Seen> writers = new LinkedHashMap<>();
    private long nowMs;

    /** Advances the log time and returns whether the batch is new. A dropped batch counts as a sign of life too. */
    boolean accept(String writer, long sequence, long timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        forgetSilent();
        Seen seen = writers.remove(writer);
        long last = seen == null ? 0 : seen.sequence;
        writers.put(writer, new Seen(Math.max(last, sequence), nowMs));
        return sequence > last;
    }

    /** Returns the log time in milliseconds since the epoch. */
    long nowMs() {
        return nowMs;
    }

    /** Returns the state in an order that does not depend on the reader's history. */
    List<WriterState> states() {
        List<WriterState> states = new ArrayList<>(writers.size());
        writers.forEach((writer, seen) -> states.add(WriterState.newBuilder()
                .setWriter(writer)
                .setSequence(seen.sequence)
                .setLastMs(seen.lastMs)
                .build()));
        states.sort(Comparator.comparingLong(WriterState::getLastMs).thenComparing(WriterState::getWriter));
        return states;
    }

    void restore(List<WriterState> states) {
        writers.clear();
        nowMs = 0;
        for (WriterState state : states) {
            writers.put(state.getWriter(), new Seen(state.getSequence(), state.getLastMs()));
            nowMs = Math.max(nowMs, state.getLastMs());
        }
    }

    private void forgetSilent() {
        Iterator<Map.Entry<String, Seen>> oldest = writers.entrySet().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().getValue().lastMs > nowMs - MEMORY.toMillis()) {
                return;
            }
            oldest.remove();
        }
    }

    private record Seen(long sequence, long lastMs) {}
}
