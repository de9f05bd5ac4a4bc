package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Selects the node whose scheduler is used, and the nodes that have to be asked for that. All nodes order the
 * registered nodes in the same way, tell each other which of them have responded, and use the first of these, so that
 * they agree whenever they reach the same nodes. A node whose state is stale because it gets no responses from the
 * store is replaced by one whose state is fresh; if all are stale, the scheduler stays.
 *
 * <p>While there is no scheduler, a {@link SchedulerSearch} decides which nodes are asked. Otherwise a node asks those
 * that others have seen and that are preferred to the scheduler. Only the node whose scheduler is in use looks for
 * others that nobody has seen, and tells the rest, so that the number of connections does not grow with the fleet; the
 * rest ask one such node from time to time, in case the scheduler's node cannot reach it.
 *
 * <p>Invariant: a node that was never asked comes before one that did not respond. Not thread-safe; confined to the
 * event loop.
 */
final class SchedulerSelector {
    /** Age of the scheduler's state above which another node is sought; longer than most outages of the whole store. */
    static final Duration STALE_STATE_AGE = Duration.ofSeconds(5);

    /** Age of a node's state below which it may take over; a store poll takes up to 1.7 s in normal operation. */
    static final Duration FRESH_STATE_AGE = Duration.ofMillis(2200);

    /** Time for which a stale node is skipped. */
    static final Duration STALE_BACKOFF = Duration.ofSeconds(3);

    /** Nodes that the scheduler's node asks at a time outside of a search. */
    static final int MAX_PROBES = 4;

    /** Time in which nodes join a new scheduler, and after which one that responds and has not joined is asked anew. */
    static final Duration PROBE_INTERVAL = Duration.ofSeconds(2);

    /** Time between two nodes that another node asks outside of a search. */
    static final Duration RARE_PROBE_INTERVAL = Duration.ofSeconds(5);

    /** Fresh nodes in a report, besides this node: the preferred one and its likely successor. */
    private static final int REPORTED_NODES = 2;

    private final Ticker ticker;
    private final String self;
    private final Supplier<Duration> ownStateAge;
    private final NodeBackoffs backoffs;
    private final NodeSightings sightings;
    private final long firstBeat;
    private final long startedNanos;
    private final Map<String, Duration> stateAges = new HashMap<>();
    private final Map<String, Long> staleUntil = new HashMap<>();
    private final Map<String, Long> probedNanos = new HashMap<>();
    private NodeOrder order = new NodeOrder(List.of());
    private Optional<SchedulerSearch> search = Optional.empty();
    private int searches;
    private long changedNanos;
    private long rareProbeNanos;

    /**
     * Creates a selector without nodes.
     *
     * @param self name of this node
     * @param ownStateAge returns the time since this node last read all jobs from the store
     */
    SchedulerSelector(Ticker ticker, String self, Supplier<Duration> ownStateAge) {
        this.ticker = ticker;
        this.self = self;
        this.ownStateAge = ownStateAge;
        this.backoffs = new NodeBackoffs(ticker);
        this.sightings = new NodeSightings(ticker);
        this.startedNanos = ticker.nanos();
        this.firstBeat = ticker.now().toEpochMilli();
        this.changedNanos = startedNanos;
        this.rareProbeNanos = startedNanos;
    }

    /** Replaces the registered nodes to select from. What failed is asked again at once if it has been restarted. */
    void replaceNodes(Collection<NodeEntry> registered) {
        NodeOrder previous = order;
        order = new NodeOrder(registered);
        for (NodeEntry node : order.nodes()) {
            Optional<NodeEntry> before = previous.find(node.name());
            if (before.isPresent() && !before.get().equals(node)) {
                backoffs.responded(node.name());
            }
        }
        backoffs.retain(order.names());
        sightings.retain(order.names());
        stateAges.keySet().retainAll(order.names());
        staleUntil.keySet().retainAll(order.names());
        probedNanos.keySet().retainAll(order.names());
    }

    /** Returns the names of the nodes in the order of selection. */
    List<String> orderedNames() {
        return order.nodes().stream().map(NodeEntry::name).toList();
    }

    boolean contains(String node) {
        return order.contains(node);
    }

    /** Starts a search; nothing that was seen before the given time counts in it. */
    void startSearch(long seenSinceNanos) {
        searches++;
        sightings.ignoreBefore(seenSinceNanos);
        search = Optional.of(new SchedulerSearch(ticker, self + ' ' + searches));
    }

    void endSearch() {
        search = Optional.empty();
    }

    /** Records that another scheduler is in use from now on. */
    void schedulerChanged() {
        endSearch();
        changedNanos = ticker.nanos();
    }

    /** Records that a node is being asked. */
    void asked(String node) {
        long now = ticker.nanos();
        probedNanos.put(node, now);
        search.ifPresent(running -> running.asked(node));
    }

    /** Records a node's own response and the age of its state. */
    void responded(String node, Duration stateAge) {
        backoffs.responded(node);
        stateAges.put(node, stateAge);
        search.ifPresent(running -> running.responded(node));
        if (stateAge.compareTo(FRESH_STATE_AGE) < 0) {
            staleUntil.remove(node);
        } else if (stateAge.compareTo(STALE_STATE_AGE) > 0) {
            staleUntil.put(node, ticker.nanos() + STALE_BACKOFF.toNanos());
        }
    }

    /** Skips an unresponsive node for a while. */
    void failed(String node) {
        backoffs.failed(node);
        search.ifPresent(running -> running.failed(node));
    }

    /** Records what another node says of nodes that have responded. */
    void seen(Collection<NodeSighting> reported) {
        for (NodeSighting sighting : reported) {
            if (order.contains(sighting.node()) && !sighting.node().equals(self)) {
                sightings.record(sighting);
            }
        }
    }

    /** Returns what to tell other nodes: this node, and the preferred ones of those that have responded. */
    List<NodeSighting> report() {
        List<NodeSighting> report = new ArrayList<>();
        if (order.contains(self)) {
            report.add(ownSighting());
        }
        order.nodes().stream()
                .filter(node -> !node.name().equals(self))
                .flatMap(node -> sightings.find(node.name()).stream())
                .filter(SchedulerSelector::fresh)
                .limit(REPORTED_NODES)
                .forEach(report::add);
        return report;
    }

    private NodeSighting ownSighting() {
        long beat = firstBeat + Duration.ofNanos(ticker.nanos() - startedNanos).toMillis();
        return new NodeSighting(self, beat, Duration.ZERO, ownStateAge.get());
    }

    private Optional<NodeSighting> sighting(String node) {
        return node.equals(self) ? Optional.of(ownSighting()) : sightings.find(node);
    }

    private static boolean fresh(NodeSighting sighting) {
        return sighting.stateAge().compareTo(FRESH_STATE_AGE) < 0;
    }

    /** Returns the preferred node of those that have been seen and are fresh, whether or not this node reaches it. */
    Optional<String> preferredSeen() {
        return order.nodes().stream()
                .map(NodeEntry::name)
                .filter(node -> sighting(node).filter(SchedulerSelector::fresh).isPresent())
                .findFirst();
    }

    /**
     * Returns the nodes to ask now.
     *
     * @param scheduler the node whose scheduler is in use, empty if there is none
     * @param open nodes that are being asked
     * @param joined nodes that use this node's scheduler
     */
    List<NodeEntry> toAsk(Optional<String> scheduler, Set<String> open, Set<String> joined) {
        Predicate<NodeEntry> askable = node -> !node.name().equals(self)
                && !open.contains(node.name())
                && !scheduler.filter(node.name()::equals).isPresent();
        if (search.isPresent()) {
            Stream<NodeEntry> seen = order.nodes().stream()
                    .filter(askable)
                    .filter(node -> sightings.find(node.name()).isPresent() && !backoffs.skipsSeen(node.name()));
            List<NodeEntry> untried = order.nodes().stream()
                    .filter(askable)
                    .filter(node -> !backoffs.skips(node.name()))
                    .toList();
            Set<String> failedBefore = new HashSet<>();
            untried.stream().map(NodeEntry::name).filter(backoffs::hasFailed).forEach(failedBefore::add);
            return Stream.concat(seen.limit(1), search.get().toAsk(untried, failedBefore).stream())
                    .distinct()
                    .toList();
        }
        Optional<NodeEntry> successor = scheduler.flatMap(this::successor);
        if (successor.isPresent()) {
            return successor.stream().filter(askable).toList();
        }
        if (scheduler.filter(self::equals).isPresent()) {
            // The others need a moment to join before those that have not are worth asking. A preferred one that was
            // never asked does not join: it was registered after the search.
            boolean joinTimeOver = ticker.nanos() - changedNanos >= PROBE_INTERVAL.toNanos();
            return unseenBy(
                    askable.and(node -> !joined.contains(node.name()))
                            .and(node -> joinTimeOver || preferredAndNeverAsked(node.name())),
                    MAX_PROBES - open.size());
        }
        return rareProbe(askable.and(node ->
                scheduler.filter(used -> order.before(node.name(), used)).isPresent()));
    }

    private boolean preferredAndNeverAsked(String node) {
        return order.before(node, self) && !probedNanos.containsKey(node);
    }

    /** Returns the first node of those that have been seen, this one included, that replaces the scheduler in use. */
    private Optional<NodeEntry> successor(String scheduler) {
        return order.nodes().stream()
                .filter(node -> !node.name().equals(scheduler))
                .filter(node ->
                        sighting(node.name()).filter(SchedulerSelector::fresh).isPresent())
                .filter(node -> !backoffs.skipsSeen(node.name()) && replaces(node.name(), scheduler))
                .findFirst();
    }

    /** Returns whether a node that is fresh is preferred to the scheduler in use. */
    private boolean replaces(String node, String scheduler) {
        return !skippedAsStale(node) && (order.before(node, scheduler) || skippedAsStale(scheduler));
    }

    private boolean skippedAsStale(String node) {
        Long until = staleUntil.get(node);
        return until != null && ticker.nanos() - until < 0;
    }

    /** Returns nodes that have not been asked lately, those that never failed first. */
    private List<NodeEntry> unseenBy(Predicate<NodeEntry> wanted, int limit) {
        long now = ticker.nanos();
        return order.nodes().stream()
                .filter(wanted)
                .filter(node -> !backoffs.skips(node.name()))
                .filter(node -> {
                    Long probed = probedNanos.get(node.name());
                    return probed == null || now - probed >= PROBE_INTERVAL.toNanos();
                })
                .sorted(Comparator.comparing((NodeEntry node) -> backoffs.hasFailed(node.name()))
                        .thenComparing(node -> probedNanos.getOrDefault(node.name(), Long.MIN_VALUE)))
                .limit(Math.max(0, limit))
                .toList();
    }

    private List<NodeEntry> rareProbe(Predicate<NodeEntry> wanted) {
        long now = ticker.nanos();
        if (now - rareProbeNanos < RARE_PROBE_INTERVAL.toNanos()) {
            return List.of();
        }
        List<NodeEntry> chosen = unseenBy(wanted, 1);
        if (!chosen.isEmpty()) {
            rareProbeNanos = now;
        }
        return chosen;
    }

    /**
     * Returns the node whose scheduler to use instead of the one in use, or empty to stay. In a search, it waits until
     * all nodes that are preferred to it have failed or are overdue, or until the search has settled.
     */
    Optional<NodeEntry> toUse(Optional<String> scheduler) {
        if (search.isEmpty()) {
            return scheduler
                    .filter(used -> !used.equals(self))
                    .flatMap(this::successor)
                    .filter(node -> node.name().equals(self));
        }
        SchedulerSearch running = search.get();
        Predicate<NodeEntry> responsive = node -> node.name().equals(self) || running.hasResponded(node.name());
        Optional<NodeEntry> best = preferred(responsive);
        Optional<NodeEntry> bestSeen =
                preferred(responsive.or(node -> sightings.find(node.name()).isPresent()
                        && !backoffs.skipsSeen(node.name())
                        && !running.overdue(node.name())));
        if (best.isEmpty() || running.timeOver()) {
            return best;
        }
        if (!best.equals(bestSeen)) {
            return Optional.empty();
        }
        boolean othersFailed = order.nodes().stream()
                .takeWhile(node -> !node.equals(best.get()))
                .allMatch(node -> backoffs.skips(node.name())
                        || running.overdue(node.name())
                        || running.hasResponded(node.name()));
        return othersFailed || running.settled() ? best : Optional.empty();
    }

    /** Returns the first node, or, if that is stale, the first fresh one if there is any. */
    private Optional<NodeEntry> preferred(Predicate<NodeEntry> candidates) {
        List<NodeEntry> nodes = order.nodes().stream().filter(candidates).toList();
        if (nodes.isEmpty() || stateAge(nodes.get(0)).compareTo(STALE_STATE_AGE) <= 0) {
            return nodes.stream().findFirst();
        }
        return nodes.stream()
                .filter(node -> stateAge(node).compareTo(FRESH_STATE_AGE) < 0)
                .findFirst()
                .or(() -> Optional.of(nodes.get(0)));
    }

    private Duration stateAge(NodeEntry node) {
        if (node.name().equals(self)) {
            return ownStateAge.get();
        }
        return sightings
                .find(node.name())
                .map(NodeSighting::stateAge)
                .orElseGet(() -> stateAges.getOrDefault(node.name(), Duration.ZERO));
    }

    /** Returns whether a node that has just responded outside of a search replaces the scheduler. */
    boolean takesOver(String node, Duration stateAge, String scheduler) {
        responded(node, stateAge);
        if (stateAge.compareTo(FRESH_STATE_AGE) >= 0) {
            staleUntil.put(node, ticker.nanos() + STALE_BACKOFF.toNanos());
            return false;
        }
        return replaces(node, scheduler);
    }

    boolean searching() {
        return search.isPresent();
    }
}
