package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which nodes have responded lately, to this node or to others that have told it.
 *
 * <p>Invariant: a node that is gone drops out after {@link #LIFETIME}, however often others repeat its last sighting:
 * only one with a larger beat counts as new. Not thread-safe; confined to the event loop.
 */
final class NodeSightings {
    /** Time for which a sighting counts; longer than it takes a node's ping to reach all others through a scheduler. */
    static final Duration LIFETIME = Duration.ofMillis(1500);

    /** Time after which a smaller beat is accepted again, as that of a node whose clock was set back. */
    private static final Duration BEAT_MEMORY = Duration.ofSeconds(10);

    private final Ticker ticker;
    private final Map<String, Seen> seen = new HashMap<>();
    private long cutoffNanos;

    private record Seen(long beat, long atNanos, Duration stateAge) {}

    NodeSightings(Ticker ticker) {
        this.ticker = ticker;
        this.cutoffNanos = ticker.nanos();
    }

    /** Records a sighting unless it is older than the known one, or than the cutoff. */
    void record(NodeSighting sighting) {
        long now = ticker.nanos();
        long at = now - sighting.age().toNanos();
        Seen known = seen.get(sighting.node());
        boolean copy =
                known != null && sighting.beat() <= known.beat() && now - known.atNanos() < BEAT_MEMORY.toNanos();
        if (at - cutoffNanos >= 0 && !copy) {
            seen.put(sighting.node(), new Seen(sighting.beat(), at, sighting.stateAge()));
        }
    }

    /** Ignores what was seen before a time, because many nodes may have been lost since. */
    void ignoreBefore(long nanos) {
        cutoffNanos = nanos;
    }

    /** Forgets all nodes but these. */
    void retain(Set<String> nodes) {
        seen.keySet().retainAll(nodes);
    }

    /** Returns the sighting of a node with its present age, if it counts. */
    Optional<NodeSighting> find(String node) {
        Seen known = seen.get(node);
        if (known == null || known.atNanos() - cutoffNanos < 0) {
            return Optional.empty();
        }
        Duration age = Duration.ofNanos(ticker.nanos() - known.atNanos());
        return age.compareTo(LIFETIME) < 0
                ? Optional.of(new NodeSighting(node, known.beat(), age, known.stateAge()))
                : Optional.empty();
    }
}
