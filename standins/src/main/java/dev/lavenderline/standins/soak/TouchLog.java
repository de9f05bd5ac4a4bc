package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.History;
import java.util.ArrayList;
import java.util.List;

/** The spans in which nodes or the store were disturbed. Thread-safe: guarded by its lock. */
final class TouchLog {
    /** Time without disturbance after which nodes are in touch, in seconds ({@code SettleWindowMs}). */
    private static final double SETTLE_S = 3;

    private final History history;
    private final List<Span> spans = new ArrayList<>();

    TouchLog(History history) {
        this.history = history;
    }

    /** A span that has begun. */
    final class Span {
        private final double began = history.seconds();
        private double ended = Double.MAX_VALUE;

        void end() {
            synchronized (TouchLog.this) {
                ended = history.seconds();
            }
        }
    }

    synchronized Span begin() {
        Span span = new Span();
        spans.add(span);
        return span;
    }

    /** Returns whether there was no disturbance up to a time, for as long as the rules ask. */
    synchronized boolean inTouch(double time) {
        return spans.stream().noneMatch(span -> span.began <= time && time <= span.ended + SETTLE_S);
    }
}
