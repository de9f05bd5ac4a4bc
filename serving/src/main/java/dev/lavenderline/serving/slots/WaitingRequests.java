package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * The online requests that wait for a slot: their order, and which requests would wait too long to be queued.
 *
 * <p>Handles online load beyond the engines' slots, in which a workspace may send many times its usual rate and callers
 * return in bursts. The order of the requests for a service: resumed streams, whose callers have a part already; then
 * by priority; then returning callers, who would otherwise have lost both attempts; then start-time fair queueing over
 * workspaces, each request costing 1; then by latency target. Requests past their target come last within their
 * priority. Without workspaces all belong to a single one, returning callers have no precedence, and a request expects
 * to wait for all others, so that fleets without workspaces are served as before.
 *
 * <p>Invariants: of {@link #SLOTS_PER_LOWER_PRIORITY} successive slots that waiting requests of a service get while one
 * of a lower priority waits, at least one goes to the longest-waiting of those; a node waits at most once for a lease.
 * Not thread-safe; confined to the event loop.
 */
final class WaitingRequests {
    /** Number of slots of which one goes to a lower priority, so that lasting load of a higher one can't starve it. */
    private static final int SLOTS_PER_LOWER_PRIORITY = 8;

    /** Time over which the slots that became free are counted. */
    private static final Duration RELEASE_PERIOD = Duration.ofSeconds(1);

    private final Ticker ticker;
    private final DoubleSupplier random;
    private final SlotScheduler.Options options;
    private final Map<Key, Entry> byLease = new LinkedHashMap<>();
    private final Map<String, Queue> queues = new HashMap<>();

    private record Key(String node, long lease) {
        static Key of(SlotRequest request) {
            return new Key(request.node(), request.lease());
        }
    }

    private static final class Entry {
        final SlotRequest request;
        final long queuedNanos;
        final long targetNanos;
        final long deadlineNanos;

        /** Virtual start time, assigned when the order is determined. */
        double startTag;

        Entry(SlotRequest request, long now) {
            this.request = request;
            this.queuedNanos = now;
            this.targetNanos = now + request.timeToTarget().toNanos();
            this.deadlineNanos = now + request.timeToDeadline().toNanos();
        }

        int priority() {
            return request.priority();
        }

        boolean late(long now) {
            return targetNanos - now < 0;
        }
    }

    /** The requests for one service. */
    private static final class Queue {
        final Set<Entry> entries = new LinkedHashSet<>();

        /** Virtual times by priority. */
        final Map<Integer, FairShares> shares = new HashMap<>();

        /** Slots since a request of a lower priority got one, counted while such a request waits. */
        int slotsWithoutLowerPriority;

        final Deque<Long> releases = new ArrayDeque<>();

        FairShares shares(int priority) {
            return shares.computeIfAbsent(priority, key -> new FairShares());
        }

        int mostUrgent() {
            return entries.stream().mapToInt(Entry::priority).min().orElse(0);
        }

        /** Returns the longest-waiting request of a lower priority than the most urgent one. */
        Optional<Entry> longestWaitingBelow(int mostUrgent) {
            return entries.stream()
                    .filter(entry -> entry.priority() > mostUrgent)
                    .min(Comparator.comparingLong(entry -> entry.queuedNanos));
        }
    }

    /** Start-time fair queueing: the virtual time, and the next start tags of the workspaces that are ahead of it. */
    private static final class FairShares {
        private final Map<String, Double> nextTags = new HashMap<>();
        private double virtualTime;

        double nextTag(String workspace) {
            return Math.max(virtualTime, nextTags.getOrDefault(workspace, 0.0));
        }

        void served(String workspace) {
            double tag = nextTag(workspace);
            virtualTime = Math.max(virtualTime, tag);
            nextTags.put(workspace, tag + 1);
        }

        /** Forgets the workspaces that would start at the virtual time anyway. */
        void prune() {
            nextTags.values().removeIf(tag -> tag <= virtualTime);
        }
    }

    WaitingRequests(Ticker ticker, DoubleSupplier random, SlotScheduler.Options options) {
        this.ticker = ticker;
        this.random = random;
        this.options = options;
    }

    int size() {
        return byLease.size();
    }

    /** Returns whether a request waits for a slot of a service. */
    boolean waitFor(String service) {
        return waiting(service) > 0;
    }

    boolean isEmpty() {
        return byLease.isEmpty();
    }

    /** Records that a slot of a service became free for online requests. */
    void slotReleased(String service) {
        Deque<Long> releases = queues.computeIfAbsent(service, key -> new Queue()).releases;
        releases.add(ticker.nanos());
        removeOld(releases);
    }

    private void removeOld(Deque<Long> releases) {
        while (!releases.isEmpty() && ticker.nanos() - releases.peek() >= RELEASE_PERIOD.toNanos()) {
            releases.poll();
        }
    }

    /**
     * Queues a request, or returns the delay after which its caller may return if it would wait too long.
     *
     * @param slotsPerSecond estimated rate at which slots of the service become free, 0 if it can't be served now
     */
    Optional<Duration> offer(SlotRequest request, double slotsPerSecond) {
        if (slotsPerSecond == 0) {
            return Optional.of(retryDelay(request.service(), slotsPerSecond, Duration.ZERO));
        }
        boolean shared = !request.workspace().isEmpty();
        double rate = shared ? slotRate(request.service(), slotsPerSecond) : slotsPerSecond;
        Duration wait = seconds(((shared ? requestsBefore(request) : waiting(request.service())) + 1) / rate);
        Duration maxWait = request.retry()
                ? request.timeToDeadline()
                : request.timeToTarget().minus(options.firstEventTime());
        if (wait.compareTo(maxWait) > 0) {
            return Optional.of(retryDelay(request.service(), rate, wait));
        }
        add(request);
        return Optional.empty();
    }

    private int waiting(String service) {
        Queue queue = queues.get(service);
        return queue == null ? 0 : queue.entries.size();
    }

    /** Queues a request whatever its expected wait. */
    void add(SlotRequest request) {
        Entry entry = new Entry(request, ticker.nanos());
        Entry replaced = byLease.put(Key.of(request), entry);
        Queue queue = queues.computeIfAbsent(request.service(), key -> new Queue());
        if (replaced != null) {
            queues.get(replaced.request.service()).entries.remove(replaced);
        }
        queue.entries.add(entry);
    }

    /**
     * Returns the delay after which a caller that is rejected now may return; spread so that callers don't return at
     * once.
     */
    Duration retryDelay(String service, double slotsPerSecond) {
        double rate = slotRate(service, slotsPerSecond);
        return retryDelay(service, rate, rate == 0 ? Duration.ZERO : drainTime(service, rate));
    }

    private Duration retryDelay(String service, double rate, Duration wait) {
        Duration spread = rate == 0 ? Duration.ZERO : drainTime(service, rate);
        Duration longest = max(spread, options.retryAfterJitter());
        return max(wait, options.minRetryAfter()).plusMillis((long) (longest.toMillis() * random.getAsDouble()));
    }

    /** Returns the time that it takes to serve what waits for a service. */
    private Duration drainTime(String service, double rate) {
        Queue queue = queues.get(service);
        return seconds(queue == null ? 0 : queue.entries.size() / rate);
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private double slotRate(String service, double estimate) {
        Queue queue = queues.get(service);
        if (queue == null) {
            return estimate;
        }
        removeOld(queue.releases);
        return Math.max(estimate, queue.releases.size() * 1e9 / RELEASE_PERIOD.toNanos());
    }

    /** Returns how many of the waiting requests would get a slot before a new one. */
    private double requestsBefore(SlotRequest request) {
        Queue queue = queues.get(request.service());
        if (queue == null || queue.entries.isEmpty()) {
            return 0;
        }
        long now = ticker.nanos();
        Entry added = new Entry(request, now);
        Comparator<Entry> levels = levels(now);
        int before = 0;
        int lower = 0;
        int ownBefore = 0;
        Map<String, Integer> sameLevel = new HashMap<>();
        for (Entry entry : queue.entries) {
            int compared = levels.compare(entry, added);
            lower += entry.priority() > request.priority() ? 1 : 0;
            if (compared < 0) {
                before++;
            } else if (compared == 0 && !entry.request.workspace().equals(request.workspace())) {
                sameLevel.merge(entry.request.workspace(), 1, Integer::sum);
            } else if (compared == 0 && entry.targetNanos - added.targetNanos <= 0) {
                ownBefore++;
            }
        }
        FairShares shares = queue.shares(request.priority());
        double tag = shares.nextTag(request.workspace()) + ownBefore;
        double all = before + ownBefore;
        for (Map.Entry<String, Integer> other : sameLevel.entrySet()) {
            double earlier = Math.ceil(tag - shares.nextTag(other.getKey()));
            all += Math.max(0, Math.min(other.getValue(), earlier));
        }
        int mostUrgent = queue.mostUrgent();
        if (request.priority() > mostUrgent) {
            // All requests of lower priorities that wait have waited longer.
            long lowerBefore = queue.entries.stream()
                    .filter(entry -> entry.priority() > mostUrgent)
                    .count();
            return Math.min(all, SLOTS_PER_LOWER_PRIORITY * (lowerBefore + 1) - 1);
        }
        return all + Math.min(lower, Math.floor(all / (SLOTS_PER_LOWER_PRIORITY - 1)));
    }

    /**
     * Returns whether a request must not take a free slot before the waiting ones have been tried: one is of a more
     * urgent priority or of another workspace.
     */
    boolean othersWaitBefore(SlotRequest request) {
        Queue queue = queues.get(request.service());
        return queue != null
                && queue.entries.stream()
                        .anyMatch(entry -> entry.priority() < request.priority()
                                || !entry.request.workspace().equals(request.workspace()));
    }

    /** Removes and returns the requests that have passed their deadline. */
    List<SlotRequest> removeExpired() {
        long now = ticker.nanos();
        return removeEntries(entry -> entry.deadlineNanos - now <= 0);
    }

    /** Removes and returns the requests that match. */
    List<SlotRequest> removeIf(Predicate<SlotRequest> condition) {
        return removeEntries(entry -> condition.test(entry.request));
    }

    private List<SlotRequest> removeEntries(Predicate<Entry> condition) {
        List<Entry> removed = byLease.values().stream().filter(condition).toList();
        removed.forEach(this::leaveWithoutSlot);
        return removed.stream().map(entry -> entry.request).toList();
    }

    /** Removes the request of a lease if it waits. */
    void withdraw(String node, long lease) {
        Optional.ofNullable(byLease.get(new Key(node, lease))).ifPresent(this::leaveWithoutSlot);
    }

    /** Removes a request that gets no slot. Every request that was queued leaves here or in {@link #serve}. */
    private void leaveWithoutSlot(Entry entry) {
        remove(entry);
    }

    private void remove(Entry entry) {
        byLease.remove(Key.of(entry.request));
        queues.get(entry.request.service()).entries.remove(entry);
    }

    /**
     * Gives free slots to waiting requests in their order.
     *
     * @param hasRoom returns whether some upstream of a service can take a request
     * @param placement grants a slot to a request if an upstream that it may use can take it
     */
    void place(Predicate<String> hasRoom, Predicate<SlotRequest> placement) {
        queues.forEach((service, queue) -> {
            if (!queue.entries.isEmpty() && hasRoom.test(service)) {
                place(queue, () -> hasRoom.test(service), placement);
                queue.shares.values().forEach(FairShares::prune);
            }
        });
    }

    private void place(Queue queue, Room room, Predicate<SlotRequest> placement) {
        int mostUrgent = queue.mostUrgent();
        boolean tryLower = queue.longestWaitingBelow(mostUrgent).isPresent();
        if (!tryLower) {
            queue.slotsWithoutLowerPriority = 0;
        }
        for (Entry entry : order(queue)) {
            if (tryLower && queue.slotsWithoutLowerPriority >= SLOTS_PER_LOWER_PRIORITY - 1) {
                Optional<Entry> lower = queue.longestWaitingBelow(mostUrgent);
                tryLower = lower.isPresent() && placement.test(lower.get().request);
                if (tryLower) {
                    serve(queue, lower.get(), mostUrgent);
                }
            }
            if (!room.left()) {
                return;
            }
            if (queue.entries.contains(entry) && placement.test(entry.request)) {
                serve(queue, entry, mostUrgent);
            }
        }
    }

    @FunctionalInterface
    private interface Room {
        boolean left();
    }

    private void serve(Queue queue, Entry entry, int mostUrgent) {
        remove(entry);
        queue.shares(entry.priority()).served(entry.request.workspace());
        if (entry.priority() > mostUrgent) {
            queue.slotsWithoutLowerPriority = 0;
        } else {
            queue.slotsWithoutLowerPriority++;
        }
    }

    /** Returns the order of levels, in each of which the workspaces share. */
    private static Comparator<Entry> levels(long now) {
        return Comparator.comparing((Entry entry) -> entry.request.origin().isEmpty())
                .thenComparingInt(Entry::priority)
                .thenComparing(entry -> entry.late(now))
                .thenComparing(entry -> entry.request.workspace().isEmpty() || !entry.request.retry());
    }

    /** Returns the requests in their order; the k-th of a workspace in a level starts k after its next start tag. */
    private List<Entry> order(Queue queue) {
        Comparator<Entry> levels = levels(ticker.nanos());
        List<Entry> order = new ArrayList<>(queue.entries);
        order.sort(levels.thenComparingLong(entry -> entry.targetNanos));
        Map<String, Integer> positions = new HashMap<>();
        Entry previous = null;
        for (Entry entry : order) {
            if (previous != null && levels.compare(previous, entry) != 0) {
                positions.clear();
            }
            String workspace = entry.request.workspace();
            entry.startTag =
                    queue.shares(entry.priority()).nextTag(workspace) + positions.merge(workspace, 1, Integer::sum);
            previous = entry;
        }
        order.sort(levels.thenComparingDouble(entry -> entry.startTag));
        return order;
    }
}
