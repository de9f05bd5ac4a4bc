package dev.lavenderline.serving.slots;

import com.google.common.hash.Hashing;
import dev.lavenderline.core.Ticker;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which nodes are asked in one search for a scheduler, and when it has lasted long enough. The nodes that come
 * first in the order are asked, and beside them a random sample, which doubles with each step until enough nodes have
 * responded: what these have seen leads to the preferred one of those that live, without asking the lost ones first.
 *
 * <p>Invariants: the time of a search does not grow with the number of nodes or of lost ones; unless most are lost,
 * neither does the number of nodes asked. Not thread-safe; confined to the event loop.
 */
final class SchedulerSearch {
    /** Time between two steps. */
    static final Duration STEP = Duration.ofMillis(50);

    /** Nodes that the first step asks, the sample included; doubles with each step. */
    static final int FIRST_STEP_NODES = 8;

    /** Nodes asked in each step because they come first in the order. */
    static final int PREFERRED_PER_STEP = 2;

    /** Responses that end the sampling; with so many, what one node has seen reaches all within a few steps. */
    static final int ENOUGH_RESPONSES = 8;

    /** Time after which an asked node is passed over; longer than a connection and a ping take to another region. */
    static final Duration RESPONSE_WAIT = Duration.ofMillis(250);

    /** Time after which the preferred one of the nodes that have been seen is used. */
    static final Duration SETTLE_TIME = Duration.ofMillis(500);

    /** Time after which one that has responded is used, even if others have seen a preferred one. */
    static final Duration MAX_TIME = SETTLE_TIME.plus(RESPONSE_WAIT);

    private static final int MAX_DOUBLINGS = 16;

    private final Ticker ticker;
    private final long startedNanos;
    private final String salt;
    private final Map<String, Long> askedNanos = new HashMap<>();
    private final Set<String> responded = new HashSet<>();
    private int preferredAsked;

    /** Starts a search; nodes with different salts sample differently. */
    SchedulerSearch(Ticker ticker, String salt) {
        this.ticker = ticker;
        this.startedNanos = ticker.nanos();
        this.salt = salt;
    }

    void asked(String node) {
        askedNanos.put(node, ticker.nanos());
    }

    void responded(String node) {
        responded.add(node);
    }

    /** Forgets a response, as the node has been lost since. */
    void failed(String node) {
        responded.remove(node);
    }

    boolean hasResponded(String node) {
        return responded.contains(node);
    }

    /** Returns whether a node is passed over because it should have responded by now. */
    boolean overdue(String node) {
        Long asked = askedNanos.get(node);
        return asked != null && !responded.contains(node) && ticker.nanos() - asked >= RESPONSE_WAIT.toNanos();
    }

    boolean settled() {
        return elapsedNanos() >= SETTLE_TIME.toNanos();
    }

    boolean timeOver() {
        return elapsedNanos() >= MAX_TIME.toNanos();
    }

    /**
     * Returns the nodes to ask now.
     *
     * @param ordered nodes that may be asked, the preferred one first
     * @param failedBefore those of them that did not respond when they were last asked; asked last
     */
    List<NodeEntry> toAsk(List<NodeEntry> ordered, Set<String> failedBefore) {
        long steps = Math.min(elapsedNanos() / STEP.toNanos(), MAX_DOUBLINGS) + 1;
        Set<NodeEntry> chosen = new LinkedHashSet<>();
        Comparator<NodeEntry> failedLast = Comparator.comparing(node -> failedBefore.contains(node.name()));
        for (NodeEntry node : ordered.stream().sorted(failedLast).toList()) {
            if (preferredAsked >= PREFERRED_PER_STEP * steps) {
                break;
            }
            preferredAsked++;
            chosen.add(node);
        }
        long allowed = FIRST_STEP_NODES * ((1L << steps) - 1) - askedNanos.size() - chosen.size();
        if (responded.size() >= ENOUGH_RESPONSES || allowed <= 0) {
            return List.copyOf(chosen);
        }
        ordered.stream()
                .filter(node -> !chosen.contains(node))
                .sorted(failedLast.thenComparing(node -> sampleOrder(node.name())))
                .limit(allowed)
                .forEach(chosen::add);
        return List.copyOf(chosen);
    }

    private long sampleOrder(String node) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(salt, StandardCharsets.UTF_8)
                .putString(node, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private long elapsedNanos() {
        return ticker.nanos() - startedNanos;
    }
}
