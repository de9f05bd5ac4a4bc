package dev.lavenderline.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Timing model of an engine with continuous batching: consecutive steps on an absolute schedule. A step whose timer
 * fires late still ends at its scheduled time, so late timers do not change the simulated speed. Waiting requests are
 * admitted first come, first served, at the start of a step. Not thread-safe; times are nanoseconds with an arbitrary
 * origin.
 */
final class StepLoop {
    /** Receives the results of the steps, with the scheduled time of each. */
    interface Listener {
        void onToken(Sequence sequence, String text, long scheduledNanos);

        /** Called when all tokens of a sequence were generated. */
        void onFinished(Sequence sequence, long scheduledNanos);

        /** Called when a cancelled sequence was removed from the loop. */
        void onRemoved(Sequence sequence, long scheduledNanos);
    }

    private static final double NANOS_PER_MS = 1e6;

    private final EngineOptions options;
    private final PrefixCache cache;
    private final Listener listener;
    private final Deque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final List<Sequence> decoding = new ArrayList<>();
    private boolean stepInProgress;
    private double exactStepEndNanos;
    private double slowFactor = 1;
    private long slowEndNanos;
    private long pauseEndNanos = Long.MIN_VALUE;

    StepLoop(EngineOptions options, PrefixCache cache, Listener listener) {
        this.options = options;
        this.cache = cache;
        this.listener = listener;
    }

    void submit(Sequence sequence, long now) {
        advance(now);
        sequence.arrivedNanos = now;
        waiting.add(sequence);
        if (!stepInProgress) {
            startStep(now);
        }
    }

    /** Cancels a sequence; it is removed at the start of the next step. */
    void cancel(Sequence sequence) {
        sequence.cancelled = true;
    }

    /** Completes all steps whose scheduled end is not after {@code now}. */
    void advance(long now) {
        while (stepInProgress && exactStepEndNanos <= now) {
            endStep();
        }
    }

    boolean stepInProgress() {
        return stepInProgress;
    }

    /** Returns the scheduled end of the step in progress, rounded up. */
    long stepEndNanos() {
        return (long) Math.ceil(exactStepEndNanos);
    }

    /** Multiplies the duration of all steps that start before {@code until}. */
    void slowDown(double factor, long until) {
        slowFactor = factor;
        slowEndNanos = until;
    }

    /** Suspends the steps until the given time; a step in progress ends later by the length of the pause. */
    void pause(long now, long until) {
        advance(now);
        if (stepInProgress && until > now) {
            exactStepEndNanos += until - Math.max(now, pauseEndNanos);
        }
        pauseEndNanos = until;
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    int kvTokens() {
        int tokens = 0;
        for (Sequence sequence : running) {
            tokens += sequence.kvTokens();
        }
        return tokens;
    }

    private void startStep(double earliestNanos) {
        removeCancelled(running.iterator(), earliestNanos);
        removeCancelled(waiting.iterator(), earliestNanos);
        double startNanos = Math.max(earliestNanos, pauseEndNanos);
        // After a late timer, earliestNanos may lie before the arrival of the first waiting request.
        if (running.isEmpty() && !waiting.isEmpty()) {
            startNanos = Math.max(startNanos, waiting.peek().arrivedNanos);
        }
        while (running.size() < options.maxRunningSequences()
                && !waiting.isEmpty()
                && waiting.peek().arrivedNanos <= startNanos) {
            Sequence sequence = waiting.remove();
            int matchedTokens = cache.matchPrefix(sequence.blockHashes) * PrefixCache.BLOCK_TOKENS;
            // The last prompt token is always computed: it yields the first generated token.
            sequence.cachedTokens = Math.min(matchedTokens, sequence.promptTokens - 1);
            sequence.remainingPrefillTokens = sequence.promptTokens - sequence.cachedTokens;
            running.add(sequence);
        }
        decoding.clear();
        stepInProgress = !running.isEmpty();
        if (!stepInProgress) {
            return;
        }
        int prefilledTokens = 0;
        for (Sequence sequence : running) {
            int tokens = Math.min(sequence.remainingPrefillTokens, options.prefillChunkTokens() - prefilledTokens);
            if (tokens > 0) {
                prefilledTokens += tokens;
                sequence.remainingPrefillTokens -= tokens;
                if (sequence.remainingPrefillTokens == 0) {
                    cache.store(sequence.blockHashes);
                }
            }
            if (sequence.remainingPrefillTokens == 0) {
                decoding.add(sequence);
            }
        }
        double durationMs = options.stepBaseMs()
                + options.stepPerSequenceMs() * running.size()
                + 1000.0 * prefilledTokens / options.prefillTokensPerSecond();
        exactStepEndNanos = startNanos + durationMs * NANOS_PER_MS * (startNanos < slowEndNanos ? slowFactor : 1);
    }

    private void endStep() {
        double endNanos = exactStepEndNanos;
        for (Sequence sequence : decoding) {
            if (sequence.cancelled) {
                continue;
            }
            String text = TokenText.token(sequence.promptHash, sequence.firstTokenIndex + sequence.generatedTokens);
            sequence.generatedTokens++;
            listener.onToken(sequence, text, (long) endNanos);
            if (sequence.generatedTokens >= sequence.tokensToGenerate) {
                running.remove(sequence);
                listener.onFinished(sequence, (long) endNanos);
            }
        }
        startStep(endNanos);
    }

    private void removeCancelled(Iterator<Sequence> sequences, double nanos) {
        while (sequences.hasNext()) {
            Sequence sequence = sequences.next();
            if (sequence.cancelled) {
                sequences.remove();
                listener.onRemoved(sequence, (long) nanos);
            }
        }
    }
}
