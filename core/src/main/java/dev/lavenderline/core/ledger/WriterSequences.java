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
 * Last sequence number of each writer of a stream, and the log time.
 *
 * <p>The log time is the largest record time so far. It is taken from records only, so that all readers remove the same
 * writers at the same record. Not thread-safe.
 */
final class WriterSequences {
    /** Writers that appended nothing for this long in log time are removed. */
    static final Duration IDLE_WRITER_RETENTION = Duration.ofHours(48);

    // In order of the last record, oldest first: every record moves its writer to the end.
    private final LinkedHashMap<String, LastBatch> writers = new LinkedHashMap<>();
    private long logTimeMs;

    /** Advances the log time and returns whether the batch is new. A duplicate batch renews its writer too. */
    boolean accept(String writer, long sequence, long timeMs) {
        logTimeMs = Math.max(logTimeMs, timeMs);
        removeIdleWriters();
        LastBatch lastBatch = writers.remove(writer);
        long last = lastBatch == null ? 0 : lastBatch.sequence;
        writers.put(writer, new LastBatch(Math.max(last, sequence), logTimeMs));
        return sequence > last;
    }

    /** Returns the log time in milliseconds since the epoch. */
    long logTimeMs() {
        return logTimeMs;
    }

    /** Returns the state of all writers, sorted so that readers with equal states return equal lists. */
    List<WriterState> states() {
        List<WriterState> states = new ArrayList<>(writers.size());
        writers.forEach((writer, lastBatch) -> states.add(WriterState.newBuilder()
                .setWriter(writer)
                .setSequence(lastBatch.sequence)
                .setLastMs(lastBatch.timeMs)
                .build()));
        states.sort(Comparator.comparingLong(WriterState::getLastMs).thenComparing(WriterState::getWriter));
        return states;
    }

    void restore(List<WriterState> states) {
        writers.clear();
        logTimeMs = 0;
        for (WriterState state : states) {
            writers.put(state.getWriter(), new LastBatch(state.getSequence(), state.getLastMs()));
            logTimeMs = Math.max(logTimeMs, state.getLastMs());
        }
    }

    private void removeIdleWriters() {
        Iterator<Map.Entry<String, LastBatch>> oldest = writers.entrySet().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().getValue().timeMs > logTimeMs - IDLE_WRITER_RETENTION.toMillis()) {
                return;
            }
            oldest.remove();
        }
    }

    private record LastBatch(long sequence, long timeMs) {}
}
