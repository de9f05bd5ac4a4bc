package dev.lavenderline.serving.slots;

import com.google.common.hash.Hashing;
import dev.lavenderline.core.Ticker;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the node whose scheduler is used. All nodes order the registered nodes in the same way, by capacity and then
 * by uptime, and use the first that responds, so that they agree whenever they reach the same nodes. Uptime counts so
 * that a restarted node does not take over from a running one of the same capacity. A node whose state is stale
 * because it gets no responses from the store is replaced by one whose state is fresh; if all are stale, the scheduler
 * stays.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class SchedulerSelector {
    /** First time for which an unresponsive node is skipped; doubles with each failure. */
    static final Duration INITIAL_BACKOFF = Duration.ofSeconds(2);

    /** Longest time for which an unresponsive node is skipped. */
    static final Duration MAX_BACKOFF = Duration.ofSeconds(16);

    /** Age of the scheduler's state above which another node is sought; longer than most outages of the whole store. */
    static final Duration STALE_STATE_AGE = Duration.ofSeconds(5);

    /** Age of a node's state below which it may take over; a store poll takes up to 1.7 s in normal operation. */
    static final Duration FRESH_STATE_AGE = Duration.ofMillis(2200);

    /** Time for which a stale node is skipped. */
    static final Duration STALE_BACKOFF = Duration.ofSeconds(3);

    /** Nodes tried in the search for a fresh one; bounds the number of connections while the store is down. */
    static final int MAX_CANDIDATES = 5;

    private final Ticker ticker;
    private List<NodeEntry> orderedNodes = List.of();
    private final Map<String, Backoff> backoffs = new HashMap<>();
    private final Map<String, Long> staleUntil = new HashMap<>();

    private record Backoff(long untilNanos, Duration delay) {}

    SchedulerSelector(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Replaces the registered nodes to select from. */
    void replaceNodes(Collection<NodeEntry> registered) {
        orderedNodes = registered.stream()
                .sorted(Comparator.comparingDouble(NodeEntry::capacity)
                        .reversed()
                        .thenComparingLong(NodeEntry::startedMillis)
                        .thenComparing(node -> hash(node.name()))
                        .thenComparing(NodeEntry::name))
                .toList();
        backoffs.keySet().retainAll(registered.stream().map(NodeEntry::name).toList());
    }

    /** Returns the names of the nodes in the order of selection. */
    List<String> orderedNames() {
        return orderedNodes.stream().map(NodeEntry::name).toList();
    }

    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the first node that is neither skipped as unresponsive nor known to be stale, or empty. */
    Optional<NodeEntry> firstFresh() {
        long now = ticker.nanos();
        return candidates().stream()
                .filter(node -> {
                    Long until = staleUntil.get(node.name());
                    return until == null || now - until >= 0;
                })
                .findFirst();
    }

    /** Returns the first node that is not skipped as unresponsive, even if it is stale, or empty. */
    Optional<NodeEntry> firstCandidate() {
        return candidates().stream().findFirst();
    }

    private List<NodeEntry> candidates() {
        long now = ticker.nanos();
        return orderedNodes.stream()
                .filter(node -> {
                    Backoff backoff = backoffs.get(node.name());
                    return backoff == null || now - backoff.untilNanos() >= 0;
                })
                .limit(MAX_CANDIDATES)
                .toList();
    }

    /** Records a response of the node in use and the age of its state. */
    void responded(String node, Duration stateAge) {
        backoffs.remove(node);
        if (stateAge.compareTo(STALE_STATE_AGE) > 0) {
            markStale(node);
        }
    }

    /** Returns whether a node that has responded may replace the one in use; if not, it is skipped as stale. */
    boolean mayTakeOver(String node, Duration stateAge) {
        backoffs.remove(node);
        if (stateAge.compareTo(FRESH_STATE_AGE) < 0) {
            staleUntil.remove(node);
            return true;
        }
        markStale(node);
        return false;
    }

    private void markStale(String node) {
        staleUntil.put(node, ticker.nanos() + STALE_BACKOFF.toNanos());
    }

    /** Skips an unresponsive node for a while. */
    void failed(String node) {
        Backoff previous = backoffs.get(node);
        Duration delay = previous == null ? INITIAL_BACKOFF : previous.delay().multipliedBy(2);
        if (delay.compareTo(MAX_BACKOFF) > 0) {
            delay = MAX_BACKOFF;
        }
        backoffs.put(node, new Backoff(ticker.nanos() + delay.toNanos(), delay));
    }
}
