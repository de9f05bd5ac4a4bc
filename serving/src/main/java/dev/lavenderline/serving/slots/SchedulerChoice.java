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
 * they can reach, so that they agree whenever they reach the same nodes. A node that does not hear from the store comes
 * after those that do.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class SchedulerChoice {
    /** First time for which a node that does not answer is passed over. */
    static final Duration FIRST_PASS = Duration.ofSeconds(2);

    /** Longest time for which a node that does not answer is passed over. */
    static final Duration LONGEST_PASS = Duration.ofSeconds(16);

    /** Time for which a node that does not hear from the store is used only if there is no other. */
    static final Duration STALE = Duration.ofSeconds(3);

    /** Nodes that are tried before a stale one is used; bounds the connections while the store is down for all. */
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
                        .thenComparing(node -> hash(node.name()))
                        .thenComparing(NodeEntry::name))
                .toList();
        passed.keySet().retainAll(registered.stream().map(NodeEntry::name).toList());
    }

    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the node to use, none if none is registered or all are passed over. */
    Optional<NodeEntry> best() {
        long now = ticker.nanos();
        List<NodeEntry> answering = order.stream()
                .filter(node -> {
                    Pass pass = passed.get(node.name());
                    return pass == null || now - pass.untilNanos() >= 0;
                })
                .limit(CANDIDATES)
                .toList();
        return answering.stream()
                .filter(node -> {
                    Long until = staleUntil.get(node.name());
                    return until == null || now - until >= 0;
                })
                .findFirst()
                .or(() -> answering.stream().findFirst());
    }

    /** Records whether a node that answers hears from the store. */
    void heard(String node, boolean stale) {
        passed.remove(node);
        if (stale) {
            staleUntil.put(node, ticker.nanos() + STALE.toNanos());
        } else {
            staleUntil.remove(node);
        }
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
