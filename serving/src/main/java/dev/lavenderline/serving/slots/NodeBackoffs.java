package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Times for which nodes that did not respond are skipped: they double with each failure up to a limit.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class NodeBackoffs {
    /** First time for which an unresponsive node is skipped. */
    static final Duration INITIAL = Duration.ofSeconds(2);

    /** Longest time for which an unresponsive node is skipped. */
    static final Duration MAX = Duration.ofSeconds(16);

    private final Ticker ticker;
    private final Map<String, Backoff> backoffs = new HashMap<>();

    private record Backoff(long failedNanos, Duration delay) {}

    NodeBackoffs(Ticker ticker) {
        this.ticker = ticker;
    }

    void failed(String node) {
        Backoff previous = backoffs.get(node);
        Duration delay = previous == null ? INITIAL : previous.delay().multipliedBy(2);
        backoffs.put(node, new Backoff(ticker.nanos(), delay.compareTo(MAX) > 0 ? MAX : delay));
    }

    void responded(String node) {
        backoffs.remove(node);
    }

    void retain(Set<String> nodes) {
        backoffs.keySet().retainAll(nodes);
    }

    /** Returns whether the node has not responded when it was last asked. */
    boolean hasFailed(String node) {
        return backoffs.containsKey(node);
    }

    /** Returns whether the node is skipped. */
    boolean skips(String node) {
        Backoff backoff = backoffs.get(node);
        return backoff != null && sinceFailure(backoff) < backoff.delay().toNanos();
    }

    /** Returns whether the node is skipped although others have seen it respond: for the first delay only. */
    boolean skipsSeen(String node) {
        Backoff backoff = backoffs.get(node);
        return backoff != null && sinceFailure(backoff) < INITIAL.toNanos();
    }

    private long sinceFailure(Backoff backoff) {
        return ticker.nanos() - backoff.failedNanos();
    }
}
