package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Keeps a scheduler in use: asks nodes as {@link SchedulerSelector} decides, pings those that it is connected to, and
 * notices when the scheduler is lost.
 *
 * <p>Invariants: a scheduler is used only after its node has responded on the link that is used; every other link is
 * closed once there is a scheduler and its node has responded or failed. The time from the loss of the scheduler to the
 * next one is bounded by {@link #MAX_LOSS_DETECTION} and {@link SchedulerSearch#MAX_TIME}, whatever the number of nodes
 * and of lost ones. Not thread-safe; confined to the event loop.
 */
final class SchedulerElection implements SightingExchange {
    /** Time between two checks of the links, plus {@link #INTERVAL_MILLIS_PER_NODE} for each node. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** Time between two pings, plus {@link #INTERVAL_MILLIS_PER_NODE} for each node. */
    static final Duration PING_INTERVAL = Duration.ofMillis(200);

    /** Added to both intervals for each registered node, to save the pings that the scheduler has to answer. */
    private static final long INTERVAL_MILLIS_PER_NODE = 2;

    /** Longest time between two checks, and between two steps of a ping; bounds the time to notice a loss. */
    static final Duration MAX_CHECK_INTERVAL = Duration.ofMillis(150);

    static final Duration MAX_PING_INTERVAL = Duration.ofMillis(400);

    /** Time between two pings of a node that has responded in a search, which repeat what has been seen. */
    static final Duration SEARCH_PING_INTERVAL = Duration.ofMillis(100);

    /** A node that sends nothing for this long after a ping is considered lost. */
    static final Duration PING_TIMEOUT = Duration.ofMillis(450);

    /** Longest time from the loss of the scheduler's node until it is noticed: a ping, its time-out and two checks. */
    static final Duration MAX_LOSS_DETECTION =
            MAX_PING_INTERVAL.plus(PING_TIMEOUT).plus(MAX_CHECK_INTERVAL.multipliedBy(2));

    /** A connection to a node. Its owner reports what happens to it to the election. */
    interface Link {
        NodeEntry target();

        /** Starts connecting. */
        void open();

        void ping();

        /** Closes the connection; not reported. */
        void close();
    }

    /** Carries out what the election decides. */
    interface Listener {
        /**
         * Handles the selection of a scheduler; the previous one is closed by the listener.
         *
         * @param link empty if the scheduler is this node's own
         */
        void selected(NodeEntry scheduler, Optional<Link> link);

        /** Handles the loss of the scheduler in use. */
        void schedulerLost(String reason);

        /** Handles the start of a search while there is no scheduler. */
        void searchStarted();

        /** Tells the nodes that use this node's scheduler that a preferred node has been seen. */
        void preferredSeen(List<NodeSighting> report);
    }

    private final String self;
    private final SchedulerSelector selector;
    private final Function<NodeEntry, Link> links;
    private final Supplier<Duration> ownStateAge;
    private final Supplier<Set<String>> joined;
    private final Listener listener;
    private final Ticker ticker;
    private final Timers timers;
    private final Map<String, Contact> asked = new HashMap<>();
    private Optional<NodeEntry> scheduler = Optional.empty();
    private Optional<Contact> current = Optional.empty();
    private Timers.Timer stepTimer = () -> {};
    private int nodeCount = 1;
    private boolean nodesKnown;

    /** A link and the times of its frames. */
    private static final class Contact {
        final Link link;
        boolean connected;
        boolean responded;
        long lastFrameNanos;
        long lastPingNanos;

        Contact(Link link) {
            this.link = link;
        }

        String node() {
            return link.target().name();
        }
    }

    /**
     * Creates an election without nodes.
     *
     * @param self name of this node
     * @param links creates a link to another node
     * @param ownStateAge returns the age of this node's state
     * @param joined returns the names of the nodes that use this node's scheduler
     */
    SchedulerElection(
            String self,
            Function<NodeEntry, Link> links,
            Supplier<Duration> ownStateAge,
            Supplier<Set<String>> joined,
            Listener listener,
            Ticker ticker,
            Timers timers) {
        this.self = self;
        this.selector = new SchedulerSelector(ticker, self, ownStateAge);
        this.links = links;
        this.ownStateAge = ownStateAge;
        this.joined = joined;
        this.listener = listener;
        this.ticker = ticker;
        this.timers = timers;
    }

    /** Starts checking the links. */
    void start() {
        Duration interval = CHECK_INTERVAL.plusMillis(INTERVAL_MILLIS_PER_NODE * nodeCount);
        timers.after(shorter(interval, MAX_CHECK_INTERVAL), this::start);
        check();
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Replaces the nodes to select from.
     *
     * @param registered number of registered nodes, those included that are not to be selected
     */
    void replaceNodes(Collection<NodeEntry> nodes, int registered) {
        nodesKnown = true;
        nodeCount = Math.max(1, registered);
        selector.replaceNodes(nodes);
        decide();
    }

    List<String> preferredNodes() {
        return selector.orderedNames();
    }

    /** Returns whether a node is being asked. */
    boolean asking() {
        return !asked.isEmpty();
    }

    @Override
    public List<NodeSighting> report() {
        return selector.report();
    }

    @Override
    public void received(List<NodeSighting> sightings) {
        if (sightings.isEmpty()) {
            return;
        }
        Optional<String> before = selector.preferredSeen();
        selector.seen(sightings);
        if (!selector.preferredSeen().equals(before)) {
            listener.preferredSeen(selector.report());
            decide();
        }
    }

    /** Handles the end of {@link Link#open}. */
    void connected(Link link) {
        contact(link).ifPresent(contact -> {
            contact.connected = true;
            ping(contact);
        });
    }

    private Optional<Contact> contact(Link link) {
        return current.filter(contact -> contact.link == link)
                .or(() -> Optional.ofNullable(asked.get(link.target().name())).filter(contact -> contact.link == link));
    }

    private void ping(Contact contact) {
        contact.lastPingNanos = ticker.nanos();
        contact.link.ping();
    }

    /** Handles any frame; call it before the frame itself is handled. */
    void frameReceived(Link link) {
        contact(link).ifPresent(contact -> contact.lastFrameNanos = ticker.nanos());
    }

    /** Handles the response to a ping. */
    void responded(Link link, Duration stateAge, List<NodeSighting> sightings) {
        received(sightings);
        Optional<Contact> found = contact(link);
        if (found.isEmpty()) {
            return;
        }
        Contact contact = found.get();
        boolean inUse = current.filter(contact::equals).isPresent();
        if (inUse || selector.searching()) {
            contact.responded = true;
            selector.responded(contact.node(), stateAge);
            decide();
            return;
        }
        if (selector.takesOver(
                contact.node(), stateAge, scheduler.map(NodeEntry::name).orElse(self))) {
            use(contact.link.target());
        } else {
            asked.remove(contact.node());
            contact.link.close();
        }
    }

    /** Handles a link that failed or was closed by its peer. */
    void lost(Link link, String reason) {
        Optional<Contact> found = contact(link);
        if (found.isEmpty()) {
            return;
        }
        Contact contact = found.get();
        link.close();
        selector.failed(contact.node());
        asked.remove(contact.node(), contact);
        if (current.filter(contact::equals).isPresent()) {
            current = Optional.empty();
            scheduler = Optional.empty();
            listener.schedulerLost(reason);
            // Others may have been lost at the same time: only what has been seen since then counts.
            boolean silent = contact.lastFrameNanos - contact.lastPingNanos < 0;
            startSearch(silent ? contact.lastPingNanos : ticker.nanos());
        }
        decide();
    }

    private void check() {
        current.ifPresent(contact -> check(contact, pingInterval()));
        for (Contact contact : List.copyOf(asked.values())) {
            check(contact, SEARCH_PING_INTERVAL);
        }
        if (scheduler.isPresent() && current.isEmpty()) {
            selector.responded(self, ownStateAge.get());
        }
        decide();
    }

    private Duration pingInterval() {
        return shorter(PING_INTERVAL.plusMillis(INTERVAL_MILLIS_PER_NODE * nodeCount), MAX_PING_INTERVAL);
    }

    private void check(Contact contact, Duration interval) {
        if (!contact.connected) {
            return;
        }
        long now = ticker.nanos();
        if (contact.lastFrameNanos - contact.lastPingNanos < 0) {
            if (now - contact.lastPingNanos > PING_TIMEOUT.toNanos()) {
                lost(contact.link, "silent");
            }
        } else if (now - contact.lastPingNanos > interval.toNanos()) {
            ping(contact);
        }
    }

    /** Starts a search if there is no scheduler, or none of a registered node, and carries out what is decided. */
    private void decide() {
        if (!nodesKnown) {
            return;
        }
        boolean needed =
                scheduler.filter(node -> selector.contains(node.name())).isEmpty();
        if (needed && !selector.searching()) {
            startSearch(ticker.nanos());
        } else if (!needed && selector.searching()) {
            endSearch();
        }
        Optional<String> inUse = scheduler.map(NodeEntry::name);
        Optional<NodeEntry> next = selector.toUse(inUse);
        if (next.isPresent()) {
            use(next.get());
            return;
        }
        for (NodeEntry node : selector.toAsk(inUse, Set.copyOf(asked.keySet()), joined.get())) {
            selector.asked(node.name());
            Contact contact = new Contact(links.apply(node));
            asked.put(node.name(), contact);
            contact.link.open();
        }
    }

    private void startSearch(long seenSinceNanos) {
        selector.startSearch(seenSinceNanos);
        asked.keySet().forEach(selector::asked);
        stepTimer.cancel();
        stepTimer = timers.every(SchedulerSearch.STEP, this::check);
        if (scheduler.isEmpty()) {
            listener.searchStarted();
        }
    }

    private void endSearch() {
        selector.endSearch();
        stepTimer.cancel();
    }

    private void use(NodeEntry node) {
        boolean own = node.name().equals(self);
        Optional<Contact> contact = Optional.ofNullable(asked.get(node.name()));
        if (!own && contact.isEmpty()) {
            return;
        }
        asked.remove(node.name());
        stepTimer.cancel();
        selector.schedulerChanged();
        scheduler = Optional.of(node);
        current = own ? Optional.empty() : contact;
        List<Contact> others =
                asked.values().stream().filter(other -> other.responded).toList();
        for (Contact other : others) {
            asked.remove(other.node());
            other.link.close();
        }
        listener.selected(node, current.map(found -> found.link));
    }
}
