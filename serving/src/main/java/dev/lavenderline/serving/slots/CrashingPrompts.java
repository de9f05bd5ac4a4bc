package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Finds parts of prompts, and single requests that come again, that crash upstreams, from the ends of requests, and
 * tells which requests to reject.
 *
 * <p>A part is blamed once {@link #MIN_CRASHES} upstreams have crashed under requests with it that were about to be
 * answered, and no request with it has completed for {@link #COMPLETION_MEMORY}. Parts that most prompts share are in
 * most crashes too, but their requests complete elsewhere. If several parts of a request come to be blamed together,
 * only requests with all of them are rejected, as some may be sound; a further crash tells them apart. A request as a
 * whole, known by its hash, is blamed in the same way, whenever the upstreams crashed under it. Its completions are of
 * interest after the first crash only, from which time on all nodes report them. Batch items crash no upstreams by
 * themselves: their crashes are not reported and they always run, but their completions count.
 *
 * <p>Invariants: a set of parts is reported as decided at most once while it is rejected; memory is bounded by
 * {@link #MAX_PARTS} and {@link #MAX_RECENT_CRASHES}. Not thread-safe; confined to the event loop.
 */
public final class CrashingPrompts {
    /** Crashes after which a part is blamed; a rarely used part is improbable to be in as many by coincidence. */
    static final int MIN_CRASHES = 3;

    /** Time for which the completion of a request shows that its parts are sound. */
    static final Duration COMPLETION_MEMORY = Duration.ofSeconds(30);

    /** Reports on an upstream within this time are about the same crash; an engine takes longer to start again. */
    static final Duration SAME_CRASH = Duration.ofSeconds(1);

    /** Time for which requests are rejected; after it, three more crashes have to prove the part again. */
    static final Duration REJECTION_PERIOD = Duration.ofMinutes(5);

    /** Time between two reports of the completion of a part to other nodes; far below {@link #COMPLETION_MEMORY}. */
    private static final Duration COMPLETION_REPORT_INTERVAL = Duration.ofSeconds(5);

    /** Number of parts with a history; the one that has been unused for longest is dropped. */
    private static final int MAX_PARTS = 4096;

    /** Number of parts in a rejected set, which its record's key of 255 bytes can hold in hexadecimal. */
    static final int MAX_REJECTED_PARTS = 15;

    /** Number of crashes that are reported to the next scheduler. */
    private static final int MAX_RECENT_CRASHES = 64;

    private final Ticker ticker;
    private final EventLog log;
    private final Map<Long, History> histories = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, History> eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Rejected sets of parts with the times at which they expire. */
    private final Map<Set<Long>, Long> rejected = new HashMap<>();

    /** Hashes of requests under which upstreams have crashed, the latest ones. */
    private final Set<Long> suspects = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_PARTS;
        }
    });

    private final Deque<Crash> recentCrashes = new ArrayDeque<>();
    private final List<Consumer<Set<Long>>> decisionListeners = new ArrayList<>();
    private final List<Consumer<Set<Long>>> withdrawalListeners = new ArrayList<>();

    /**
     * A crash of an engine under a request. Immutable.
     *
     * @param parts hashes of the shared parts of the request's prompt
     * @param request hash of the request, {@link RequestTraits#NO_HASH} if it does not come again
     * @param upstream id of the upstream
     * @param nanos time of the crash
     */
    record Crash(List<Long> parts, long request, String upstream, long nanos) {
        Crash {
            parts = List.copyOf(parts);
        }
    }

    /** The crashes under requests with a part since the last one that completed. */
    private static final class History {
        final List<Crash> crashes = new ArrayList<>();
        Optional<Long> completedNanos = Optional.empty();

        /** When this node last reported a completion to its scheduler. */
        Optional<Long> reportedNanos = Optional.empty();
    }

    public CrashingPrompts(Ticker ticker, EventLog log) {
        this.ticker = ticker;
        this.log = log;
    }

    /** Adds a listener for the sets of parts that this instance decides to reject. */
    public void onDecision(Consumer<Set<Long>> listener) {
        decisionListeners.add(listener);
    }

    /** Adds a listener for the sets of parts that are found to be sound after all. */
    public void onWithdrawal(Consumer<Set<Long>> listener) {
        withdrawalListeners.add(listener);
    }

    /** Returns whether the scheduler should know, because it has not heard of one of the parts lately. */
    private boolean partsCompleted(List<Long> parts) {
        long now = ticker.nanos();
        boolean report = false;
        for (Long part : parts) {
            History history = histories.computeIfAbsent(part, key -> new History());
            history.crashes.clear();
            history.completedNanos = Optional.of(now);
            if (!within(history.reportedNanos, COMPLETION_REPORT_INTERVAL)) {
                history.reportedNanos = Optional.of(now);
                report = true;
            }
        }
        withdrawGroupsIn(parts);
        return report;
    }

    private void withdrawGroupsIn(List<Long> traits) {
        for (Set<Long> group : List.copyOf(rejected.keySet())) {
            if (traits.containsAll(group)) {
                withdraw(group);
                withdrawalListeners.forEach(listener -> listener.accept(group));
            }
        }
    }

    /**
     * Records that a request has completed.
     *
     * @return whether the scheduler should know, because upstreams have crashed under the request, or because it has
     *     not heard of a part of its prompt lately
     */
    boolean completed(RequestTraits traits) {
        boolean report = !traits.sharedParts().isEmpty() && partsCompleted(traits.sharedParts());
        if (suspects.isEmpty() || !suspects.contains(traits.hash())) {
            return report;
        }
        History history = histories.computeIfAbsent(traits.hash(), key -> new History());
        history.crashes.clear();
        history.completedNanos = Optional.of(ticker.nanos());
        withdrawGroupsIn(traits.all());
        return true;
    }

    /** Makes this node report the completions of a request under which an upstream has crashed elsewhere. */
    void suspect(long request) {
        if (request != RequestTraits.NO_HASH) {
            suspects.add(request);
        }
    }

    private boolean within(Optional<Long> nanos, Duration period) {
        return nanos.isPresent() && ticker.nanos() - nanos.get() < period.toNanos();
    }

    /**
     * Records that an upstream has crashed under a request.
     *
     * @param traits the parts of its prompt, if it was about to be answered, and its hash
     * @param age time since the crash
     */
    void crashed(RequestTraits traits, String upstream, Duration age) {
        List<Long> parts = traits.all();
        Crash crash = new Crash(traits.sharedParts(), traits.hash(), upstream, ticker.nanos() - age.toNanos());
        suspect(traits.hash());
        recentCrashes.addLast(crash);
        if (recentCrashes.size() > MAX_RECENT_CRASHES) {
            recentCrashes.removeFirst();
        }
        parts.forEach(part -> record(part, crash));
        if (rejectedFor(parts).isPresent()) {
            return;
        }
        int most = parts.stream().mapToInt(this::crashesToBlame).max().orElse(0);
        if (most < MIN_CRASHES) {
            return;
        }
        Set<Long> group = parts.stream()
                .filter(part -> crashesToBlame(part) == most)
                .distinct()
                .limit(MAX_REJECTED_PARTS)
                .collect(Collectors.toUnmodifiableSet());
        reject(group);
        log.event(ServingEvent.PROMPT_REJECTED, "parts", hex(group), "crashes", most, "lastUpstream", upstream);
        decisionListeners.forEach(listener -> listener.accept(group));
    }

    private void record(Long part, Crash crash) {
        History history = histories.computeIfAbsent(part, key -> new History());
        boolean known = history.crashes.stream()
                .anyMatch(other -> other.upstream().equals(crash.upstream())
                        && Math.abs(other.nanos() - crash.nanos()) < SAME_CRASH.toNanos());
        if (!known && history.crashes.size() < MAX_RECENT_CRASHES) {
            history.crashes.add(crash);
        }
    }

    private int crashesToBlame(Long part) {
        History history = histories.get(part);
        return history == null || within(history.completedNanos, COMPLETION_MEMORY) ? 0 : history.crashes.size();
    }

    /** Rejects requests with all of the parts from now on. */
    public void reject(Set<Long> parts) {
        if (!parts.isEmpty()) {
            rejected.put(Set.copyOf(parts), ticker.nanos() + REJECTION_PERIOD.toNanos());
        }
    }

    /** Ends the rejection of requests with all of the parts. */
    public void withdraw(Set<Long> parts) {
        rejected.remove(parts);
    }

    /** Returns the time for which a request with these traits is rejected, empty if it is served. */
    Optional<Duration> rejectedFor(RequestTraits traits) {
        return rejected.isEmpty() ? Optional.empty() : rejectedFor(traits.all());
    }

    private Optional<Duration> rejectedFor(Collection<Long> parts) {
        long now = ticker.nanos();
        return rejected.entrySet().stream()
                .filter(entry -> entry.getValue() - now > 0 && parts.containsAll(entry.getKey()))
                .map(entry -> Duration.ofNanos(entry.getValue() - now))
                .max(Duration::compareTo);
    }

    /** Returns the rejected sets of parts. */
    public Set<Set<Long>> rejected() {
        return Set.copyOf(rejected.keySet());
    }

    /** Forgets the sets of parts whose time is over, and returns them. */
    public List<Set<Long>> expire() {
        long now = ticker.nanos();
        List<Set<Long>> expired = rejected.entrySet().stream()
                .filter(entry -> entry.getValue() - now <= 0)
                .map(Map.Entry::getKey)
                .toList();
        for (Set<Long> group : expired) {
            rejected.remove(group);
            group.forEach(histories::remove);
        }
        return expired;
    }

    /** Returns the latest crashes, which a new scheduler may not know. */
    List<Crash> recentCrashes() {
        return List.copyOf(recentCrashes);
    }

    /** Returns the time since a crash. */
    Duration age(Crash crash) {
        return Duration.ofNanos(ticker.nanos() - crash.nanos());
    }

    /** Returns parts as they appear in logs. */
    static List<String> hex(Collection<Long> parts) {
        return parts.stream().map(Long::toHexString).sorted().toList();
    }
}
