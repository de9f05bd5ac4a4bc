package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The order in which items of several workspaces start: by rank, then by priority, then the workspace that ran the
 * fewest tokens, then as items of one workspace do.
 *
 * <p>Handles a workspace with thousands of items, which must neither hide those of others nor run before all of them.
 * Visiting the whole backlog in every round would cost too much, so that a bounded number of items of each workspace is
 * kept for a short time; a round visits the backlog again once one of these is used up.
 *
 * <p>Invariants: a slot is left free while an item may use it for {@link #MAX_AGE} at most; an item is offered only if
 * it is startable at that time. Tokens decay, so that a workspace is not held to what it ran long ago. Not thread-safe;
 * confined to the event loop.
 */
final class ItemOrder {
    /** Items kept of a workspace, rank and set of services; a visit of the backlog pays for as many starts. */
    private static final int MAX_KEPT_ITEMS = 64;

    /**
     * Time for which items are kept, and by which the order may lag. A visit of 8,200 items takes about 1.5 ms,
     * too much for each round.
     */
    private static final Duration MAX_AGE = Duration.ofMillis(300);

    /** Time after which tokens count half, about that in which items are due. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(20);

    /** Growth of the unit in which tokens are stored, after which they are divided by it. */
    private static final double MAX_GROWTH = 1e9;

    /**
     * Number of late items, and of urgent ones, of the same services that are kept without workspaces; far more than
     * slots are freed in a round.
     */
    private static final int MAX_RANKED_ITEMS = 200;

    /** Items with a result that are remembered while no round visits the backlog. */
    private static final int MAX_ENDED_ITEMS = 1000;

    private final Ticker ticker;
    private final Backlog backlog;
    private final Function<BacklogItem, ItemRanking.Rank> ranking;
    private final Predicate<BacklogItem> startable;
    private PriorityQueue<Group> groups = new PriorityQueue<>(Group.ORDER);

    /** Tokens run by workspace, in units that halve in each half-life, so that decay does not change their order. */
    private final Map<String, Double> tokensRun = new HashMap<>();

    /** Items that got a result since the last visit. */
    private final Set<ItemRef> done = new HashSet<>();

    /** The sets of services of the items that the last visit of the whole backlog has found. */
    private Set<Set<String>> services = Set.of();

    private long unitNanos;
    private long visitedNanos;
    private boolean outdated = true;

    private record Key(ItemRanking.Rank rank, int priority, String workspace, Set<String> services) {}

    /** Items of a workspace that are equal but for their size and due time, the first one first. */
    private static final class Group {
        static final Comparator<Group> ORDER = Comparator.comparing((Group group) -> group.key.rank())
                .thenComparingInt(group -> group.key.priority())
                .thenComparingDouble(group -> group.tokensRun)
                .thenComparingLong(group -> group.items.peek().dueNanos());

        final Key key;
        final Deque<BacklogItem> items = new ArrayDeque<>();
        boolean truncated;
        double tokensRun;

        Group(Key key) {
            this.key = key;
        }

        /** Keeps an item that is due after the others. Of urgent ones, the latest due are the first to start. */
        void add(BacklogItem item) {
            if (key.rank() == ItemRanking.Rank.URGENT) {
                items.addFirst(item);
            } else if (items.size() < MAX_KEPT_ITEMS) {
                items.addLast(item);
            } else {
                truncated = true;
            }
            if (items.size() > MAX_KEPT_ITEMS) {
                items.removeLast();
                truncated = true;
            }
        }
    }

    /** Starts an item on a service with capacity; returns whether there was one. */
    @FunctionalInterface
    interface Starter {
        boolean start(BacklogItem item);
    }

    ItemOrder(
            Ticker ticker,
            Backlog backlog,
            Function<BacklogItem, ItemRanking.Rank> ranking,
            Predicate<BacklogItem> startable) {
        this.ticker = ticker;
        this.backlog = backlog;
        this.ranking = ranking;
        this.startable = startable;
        this.unitNanos = ticker.nanos();
    }

    /** Records that an item must not start any more. */
    void ended(ItemRef item) {
        if (groups.isEmpty()) {
            return;
        }
        done.add(item);
        if (done.size() > MAX_ENDED_ITEMS) {
            forgetKept();
        }
    }

    private void forgetKept() {
        groups.clear();
        done.clear();
        outdated = true;
    }

    /** Visits the backlog in the next round, because items in it have changed. */
    void changed() {
        outdated = true;
    }

    /**
     * Starts items in their order.
     *
     * @param hasCapacity returns whether one of the services can run an item
     */
    void start(Predicate<Collection<String>> hasCapacity, Starter starter) {
        if (!backlog.shared()) {
            groups.clear();
            done.clear();
            startByDueTime(hasCapacity, starter);
            return;
        }
        if (visitDue()) {
            visit();
        }
        while (startKept(hasCapacity, starter) && outdated) {
            visit();
        }
        outdated |= groups.isEmpty();
    }

    private boolean visitDue() {
        return outdated || ticker.nanos() - visitedNanos >= MAX_AGE.toNanos();
    }

    /**
     * Starts items in time in order of due times, then urgent ones, least urgent first, then late ones. Passes over
     * items whose services are full. A round ends early if that holds for all services that items may run on, which a
     * visit of the whole backlog collects from time to time.
     */
    private void startByDueTime(Predicate<Collection<String>> hasCapacity, Starter starter) {
        boolean whole = visitDue();
        Set<Set<String>> visited = new HashSet<>();
        Map<Set<String>, RankedItems> ranked = new HashMap<>();
        backlog.visit(item -> {
            Set<String> itemServices = item.services().keySet();
            if (whole) {
                visited.add(itemServices);
            }
            if (!hasCapacity.test(itemServices)) {
                return whole || services.stream().anyMatch(hasCapacity::test);
            }
            ItemRanking.Rank rank = ranking.apply(item);
            RankedItems sameServices = ranked.computeIfAbsent(itemServices, key -> new RankedItems());
            if ((rank == ItemRanking.Rank.LATE && sameServices.late.size() == MAX_RANKED_ITEMS)
                    || !startable.test(item)) {
                return true;
            }
            switch (rank) {
                case LATE -> sameServices.late.add(item);
                case URGENT -> sameServices.addUrgent(item);
                case IN_TIME -> starter.start(item);
            }
            return true;
        });
        ranked.values().forEach(items -> items.urgent.forEach(starter::start));
        ranked.values().forEach(items -> items.late.forEach(starter::start));
        if (whole) {
            services = visited;
            visitedNanos = ticker.nanos();
            outdated = false;
        }
    }

    /** Items of the same services that start after those in time. */
    private static final class RankedItems {
        /** Least urgent first. */
        final Deque<BacklogItem> urgent = new ArrayDeque<>();

        /** In order of due times. */
        final List<BacklogItem> late = new ArrayList<>();

        void addUrgent(BacklogItem item) {
            urgent.addFirst(item);
            if (urgent.size() > MAX_RANKED_ITEMS) {
                urgent.removeLast();
            }
        }
    }

    private void visit() {
        outdated = false;
        visitedNanos = ticker.nanos();
        done.clear();
        pruneTokens();
        Map<Key, Group> byKey = new HashMap<>();
        backlog.visit(item -> {
            if (startable.test(item)) {
                Key key = new Key(
                        ranking.apply(item),
                        item.priority(),
                        item.workspace(),
                        item.services().keySet());
                byKey.computeIfAbsent(key, Group::new).add(item);
            }
            return true;
        });
        byKey.values().forEach(group -> group.tokensRun = tokensRun(group));
        groups = new PriorityQueue<>(Group.ORDER);
        groups.addAll(byKey.values());
        services = byKey.keySet().stream().map(Key::services).collect(Collectors.toSet());
    }

    /** Starts kept items; returns whether some started. Stops when those of a workspace with more items are used up. */
    private boolean startKept(Predicate<Collection<String>> hasCapacity, Starter starter) {
        boolean started = false;
        List<Group> blocked = new ArrayList<>();
        while (!outdated && !groups.isEmpty() && services.stream().anyMatch(hasCapacity::test)) {
            Group group = groups.poll();
            if (!hasCapacity.test(group.key.services())) {
                blocked.add(group);
                continue;
            }
            if (group.tokensRun < tokensRun(group)) {
                group.tokensRun = tokensRun(group);
                groups.add(group);
                continue;
            }
            BacklogItem item = group.items.peek();
            boolean current =
                    !done.contains(item.item()) && startable.test(item) && ranking.apply(item) == group.key.rank();
            if (current && !starter.start(item)) {
                blocked.add(group);
                continue;
            }
            started |= current;
            group.items.poll();
            if (!group.items.isEmpty()) {
                groups.add(group);
            } else {
                outdated = group.truncated;
            }
        }
        groups.addAll(blocked);
        return started;
    }

    private double tokensRun(Group group) {
        return tokensRun.getOrDefault(group.key.workspace(), 0.0);
    }

    /** Records tokens that an item of a workspace is going to run, or negative ones that it was charged for in vain. */
    void charge(String workspace, double tokens) {
        tokensRun.merge(workspace, tokens * growth(), (known, added) -> Math.max(0, known + added));
    }

    private double growth() {
        return Math.pow(2, (double) (ticker.nanos() - unitNanos) / HALF_LIFE.toNanos());
    }

    /** Forgets workspaces that count less than a token, and keeps the stored numbers small. */
    private void pruneTokens() {
        double growth = growth();
        tokensRun.values().removeIf(tokens -> tokens < growth);
        if (growth > MAX_GROWTH) {
            tokensRun.replaceAll((workspace, tokens) -> tokens / growth);
            unitNanos = ticker.nanos();
        }
    }
}
