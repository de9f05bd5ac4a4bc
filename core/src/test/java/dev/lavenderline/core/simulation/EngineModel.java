package dev.lavenderline.core.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Model of an engine: continuous batching of 16 sequences in FIFO order, chunked prefill, one token each per step. */
final class EngineModel {
    static final int SEQUENCES = 16;
    private static final double STEP_BASE_MILLIS = 20;
    private static final double STEP_MILLIS_PER_SEQUENCE = 0.25;
    private static final int PREFILL_CHUNK_TOKENS = 512;
    private static final double PREFILL_TOKENS_PER_MILLI = 20;

    final String name;
    final String region;
    double slowdown = 1;
    private final EventQueue events;
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private boolean stepping;
    private double onlineSeconds;
    private double batchSeconds;

    EngineModel(String name, String region, EventQueue events) {
        this.name = name;
        this.region = region;
        this.events = events;
    }

    /** An online request or batch item on the engine. */
    static final class Sequence {
        final boolean batch;
        final Runnable firstToken;
        final Runnable token;
        final Runnable finished;
        double admittedSeconds = -1;
        double sentSeconds;
        private int prefillTokensLeft;
        private int tokensLeft;
        private boolean awaitsFirstToken = true;

        Sequence(
                boolean batch,
                int promptTokens,
                int outputTokens,
                Runnable firstToken,
                Runnable token,
                Runnable finished) {
            this.batch = batch;
            this.prefillTokensLeft = promptTokens;
            this.tokensLeft = outputTokens;
            this.firstToken = firstToken;
            this.token = token;
            this.finished = finished;
        }

        int tokensLeft() {
            return tokensLeft;
        }
    }

    void submit(Sequence sequence) {
        sequence.sentSeconds = events.seconds();
        waiting.add(sequence);
        step();
    }

    void cancel(Sequence sequence) {
        if (!waiting.remove(sequence) && running.remove(sequence)) {
            addOccupancy(sequence);
        }
    }

    int onlineWaiting() {
        return (int) waiting.stream().filter(sequence -> !sequence.batch).count();
    }

    double onlineSeconds() {
        return onlineSeconds;
    }

    double batchSeconds() {
        return batchSeconds;
    }

    private void addOccupancy(Sequence sequence) {
        double seconds = events.seconds() - sequence.admittedSeconds;
        if (sequence.batch) {
            batchSeconds += seconds;
        } else {
            onlineSeconds += seconds;
        }
    }

    static double stepMillis(int sequences, int prefillTokens) {
        return STEP_BASE_MILLIS + STEP_MILLIS_PER_SEQUENCE * sequences + prefillTokens / PREFILL_TOKENS_PER_MILLI;
    }

    private void step() {
        if (stepping) {
            return;
        }
        while (running.size() < SEQUENCES && !waiting.isEmpty()) {
            Sequence admitted = waiting.poll();
            admitted.admittedSeconds = events.seconds();
            running.add(admitted);
        }
        if (running.isEmpty()) {
            return;
        }
        stepping = true;
        int prefillBudget = PREFILL_CHUNK_TOKENS;
        List<Sequence> decoding = new ArrayList<>();
        for (Sequence sequence : running) {
            int chunk = Math.min(prefillBudget, sequence.prefillTokensLeft);
            sequence.prefillTokensLeft -= chunk;
            prefillBudget -= chunk;
            if (sequence.prefillTokensLeft == 0) {
                decoding.add(sequence);
            }
        }
        double millis = stepMillis(running.size(), PREFILL_CHUNK_TOKENS - prefillBudget);
        events.after(millis * slowdown, () -> finishStep(decoding));
    }

    private void finishStep(List<Sequence> decoding) {
        stepping = false;
        for (Iterator<Sequence> sequences = decoding.iterator(); sequences.hasNext(); ) {
            Sequence sequence = sequences.next();
            if (!running.contains(sequence)) {
                continue;
            }
            (sequence.awaitsFirstToken ? sequence.firstToken : sequence.token).run();
            sequence.awaitsFirstToken = false;
            if (--sequence.tokensLeft == 0) {
                running.remove(sequence);
                addOccupancy(sequence);
                sequence.finished.run();
            }
        }
        step();
    }
}
