package dev.lavenderline.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Service model of an engine with continuous batching: a sequence of steps on an absolute schedule. A step that is
 * observed late still ends at its scheduled time, so late timers do not change the modelled speed. Waiting requests
 * are admitted first come, first served, at the start of a step. Not thread-safe; times are nanoseconds with an
 * arbitrary origin.
 */
final class StepLoop {
    /** Receives what the steps generate. */
    interface Output {
        void token(Sequence sequence, String text, long atNanos);

        /** All tokens were generated. */
        void finished(Sequence sequence, long atNanos);

        /** The sequence was cancelled and is no longer running. */
        void freed(Sequence sequence, long atNanos);
    }

    private static final double NANOS_PER_MS = 1e6;

    private final EngineOptions options;
    private final PrefixCache cache;
    private final Output output;
    private final Deque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final List<Sequence> decoding = new ArrayList<>();
    private boolean stepping;
    private double stepEnd;
    private double slowFactor = 1;
    private long slowUntil;
    private long pausedUntil = Long.MIN_VALUE;

    StepLoop(EngineOptions options, PrefixCache cache, Output output) {
        this.options = options;
        this.cache = cache;
        this.output = output;
    }

    void submit(Sequence sequence, long now) {
        advance(now);
        sequence.arrivedNanos = now;
        waiting.add(sequence);
        if (!stepping) {
            begin(now);
        }
    }

    /** Cancels a sequence; it is freed at the start of the next step. */
    void cancel(Sequence sequence) {
        sequence.cancelled = true;
    }

    /** Completes all steps that ended by a time. */
    void advance(long now) {
        while (stepping && stepEnd <= now) {
            end();
        }
    }

    /** Returns whether a step is in progress. */
    boolean stepping() {
        return stepping;
    }

    /** Returns the scheduled end of the step in progress. */
    long nextEnd() {
        return (long) Math.ceil(stepEnd);
    }

    /** Multiplies the time of all steps that start before a time. */
    void slow(double factor, long until) {
        slowFactor = factor;
        slowUntil = until;
    }

    /** Generates nothing until a time. */
    void pause(long now, long until) {
        advance(now);
        if (stepping && until > now) {
            stepEnd += until - Math.max(now, pausedUntil);
        }
        pausedUntil = until;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    int kvTokens() {
        int tokens = 0;
        for (Sequence sequence : running) {
            tokens += sequence.kvTokens();
        }
        return tokens;
    }

    private void begin(double earliest) {
        free(running.iterator(), earliest);
        free(waiting.iterator(), earliest);
        double start = Math.max(earliest, pausedUntil);
        // A request that arrived while a late timer was pending does not join a step that started before it.
        if (running.isEmpty() && !waiting.isEmpty()) {
            start = Math.max(start, waiting.peek().arrivedNanos);
        }
        while (running.size() < options.maxConcurrent() && !waiting.isEmpty() && waiting.peek().arrivedNanos <= start) {
            Sequence sequence = waiting.remove();
            int matched = cache.match(sequence.blocks) * PrefixCache.BLOCK_TOKENS;
            // The last prompt token is always computed, because its output is the first token of the answer.
            sequence.cachedTokens = Math.min(matched, sequence.promptTokens - 1);
            sequence.prefillLeft = sequence.promptTokens - sequence.cachedTokens;
            running.add(sequence);
        }
        decoding.clear();
        stepping = !running.isEmpty();
        if (!stepping) {
            return;
        }
        int prefilled = 0;
        for (Sequence sequence : running) {
            int tokens = Math.min(sequence.prefillLeft, options.prefillChunk() - prefilled);
            if (tokens > 0) {
                prefilled += tokens;
                sequence.prefillLeft -= tokens;
                if (sequence.prefillLeft == 0) {
                    cache.store(sequence.blocks);
                }
            }
            if (sequence.prefillLeft == 0) {
                decoding.add(sequence);
            }
        }
        double millis = options.stepBaseMs()
                + options.stepPerSequenceMs() * running.size()
                + 1000.0 * prefilled / options.prefillRate();
        stepEnd = start + millis * NANOS_PER_MS * (start < slowUntil ? slowFactor : 1);
    }

    private void end() {
        double at = stepEnd;
        for (Sequence sequence : decoding) {
            if (sequence.cancelled) {
                continue;
            }
            String text = TokenText.token(sequence.promptHash, sequence.firstIndex + sequence.generated);
            sequence.generated++;
            output.token(sequence, text, (long) at);
            if (sequence.generated >= sequence.length) {
                running.remove(sequence);
                output.finished(sequence, (long) at);
            }
        }
        begin(at);
    }

    private void free(Iterator<Sequence> sequences, double at) {
        while (sequences.hasNext()) {
            Sequence sequence = sequences.next();
            if (sequence.cancelled) {
                sequences.remove();
                output.freed(sequence, (long) at);
            }
        }
    }
}
