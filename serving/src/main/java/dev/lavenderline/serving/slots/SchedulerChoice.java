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
 * Chooses the node whose scheduler is used. All nodes order the registered nodes in the same way and use the first that
 * they can reach, those that have run longest before those that were restarted, so that they agree whenever they reach the same nodes. A node whose state is old, because it does not
 * hear from the store, is replaced by one whose state is fresh; if all are old, nothing changes.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class SchedulerChoice {
    /** First time for which a node that does not answer is passed over. */
    static final Duration FIRST_PASS = Duration.ofSeconds(2);

    /** Longest time for which a node that does not answer is passed over. */
    static final Duration LONGEST_PASS = Duration.ofSeconds(16);

    /** Age of a node's state above which another node is looked for; above most outages of a whole store. */
    static final Duration STALE_AGE = Duration.ofSeconds(5);

    /** Age of a node's state below which it may take over: a poll takes up to 1.7 s on a calm day. */
    static final Duration FRESH_AGE = Duration.ofMillis(2200);

    /** Time for which a stale node is not asked again. */
    static final Duration STALE_PASS = Duration.ofSeconds(3);

    /** Nodes that are asked before the search for a fresh one ends; bounds connections while the store is down. */
    static final int CANDIDATES = 5;

    private final Ticker ticker;
    private List<NodeEntry> order = List.of();
    private final Map<String, Pass> passed = new HashMap<>();
    private final Map<String, Long> staleUntil = new HashMap<>();

    private record Pass(long untilNanos, Duration delay) {}

    SchedulerChoice(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Replaces the registered nodes. */
    void nodes(Collection<NodeEntry> registered) {
        order = registered.stream()
                .sorted(Comparator.comparingDouble(NodeEntry::capacity)
                        .reversed()
                        .thenComparingLong(NodeEntry::startedMillis)
                        .thenComparing(node -> hash(node.name()))
                        .thenComparing(NodeEntry::name))
                .toList();
        passed.keySet().retainAll(registered.stream().map(NodeEntry::name).toList());
    }

    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the first node that answers and is not known to be stale, none if there is none. */
    Optional<NodeEntry> fresh() {
        long now = ticker.nanos();
        return answering().stream()
                .filter(node -> {
                    Long until = staleUntil.get(node.name());
                    return until == null || now - until >= 0;
                })
                .findFirst();
    }

    /** Returns the first node that answers, none if all are passed over. */
    Optional<NodeEntry> any() {
        return answering().stream().findFirst();
    }

    private List<NodeEntry> answering() {
        long now = ticker.nanos();
        return order.stream()
                .filter(node -> {
                    Pass pass = passed.get(node.name());
                    return pass == null || now - pass.untilNanos() >= 0;
                })
                .limit(CANDIDATES)
                .toList();
    }

    /** Records an answer of the node in use. */
    void heard(String node, Duration age) {
        passed.remove(node);
        if (age.compareTo(STALE_AGE) > 0) {
            stale(node);
        }
    }

    /** Returns whether a node that has answered may replace the one in use; if not, it is not asked for a while. */
    boolean mayTakeOver(String node, Duration age) {
        passed.remove(node);
        if (age.compareTo(FRESH_AGE) < 0) {
            staleUntil.remove(node);
            return true;
        }
        stale(node);
        return false;
    }

    private void stale(String node) {
        staleUntil.put(node, ticker.nanos() + STALE_PASS.toNanos());
    }

    /** Passes over a node for a while because it does not answer. */
    void failed(String node) {
        Pass before = passed.get(node);
        Duration delay = before == null ? FIRST_PASS : before.delay().multipliedBy(2);
        if (delay.compareTo(LONGEST_PASS) > 0) {
            delay = LONGEST_PASS;
        }
        passed.put(node, new Pass(ticker.nanos() + delay.toNanos(), delay));
    }
}
