package dev.lavenderline.core.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Continuous batching with chunked prefill: 16 sequences, first come first served, one token a step and sequence. */
final class EngineModel {
    static final int SEQUENCES = 16;
    private static final double BASE_MILLIS = 20;
    private static final double MILLIS_PER_SEQUENCE = 0.25;
    private static final int CHUNK_TOKENS = 512;
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

    /** One request or item on the engine. */
    static final class Sequence {
        final boolean batch;
        final Runnable firstToken;
        final Runnable token;
        final Runnable finished;
        double admittedSeconds = -1;
        double sentSeconds;
        private int prefill;
        private int tokens;
        private boolean first = true;

        Sequence(boolean batch, int prompt, int tokens, Runnable firstToken, Runnable token, Runnable finished) {
            this.batch = batch;
            this.prefill = prompt;
            this.tokens = tokens;
            this.firstToken = firstToken;
            this.token = token;
            this.finished = finished;
        }

        int tokensLeft() {
            return tokens;
        }
    }

    void submit(Sequence sequence) {
        sequence.sentSeconds = events.seconds();
        waiting.add(sequence);
        step();
    }

    void cancel(Sequence sequence) {
        if (!waiting.remove(sequence) && running.remove(sequence)) {
            count(sequence);
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

    private void count(Sequence sequence) {
        double seconds = events.seconds() - sequence.admittedSeconds;
        if (sequence.batch) {
            batchSeconds += seconds;
        } else {
            onlineSeconds += seconds;
        }
    }

    static double stepMillis(int sequences, int prefillTokens) {
        return BASE_MILLIS + MILLIS_PER_SEQUENCE * sequences + prefillTokens / PREFILL_TOKENS_PER_MILLI;
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
        int budget = CHUNK_TOKENS;
        List<Sequence> decoding = new ArrayList<>();
        for (Sequence sequence : running) {
            int chunk = Math.min(budget, sequence.prefill);
            sequence.prefill -= chunk;
            budget -= chunk;
            if (sequence.prefill == 0) {
                decoding.add(sequence);
            }
        }
        double millis = stepMillis(running.size(), CHUNK_TOKENS - budget);
        events.after(millis * slowdown, () -> finishStep(decoding));
    }

    private void finishStep(List<Sequence> decoding) {
        stepping = false;
        for (Iterator<Sequence> sequences = decoding.iterator(); sequences.hasNext(); ) {
            Sequence sequence = sequences.next();
            if (!running.contains(sequence)) {
                continue;
            }
            (sequence.first ? sequence.firstToken : sequence.token).run();
            sequence.first = false;
            if (--sequence.tokens == 0) {
                running.remove(sequence);
                count(sequence);
                sequence.finished.run();
            }
        }
        step();
    }
}
