package dev.lavenderline.serving.workspaces;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * A node's part in keeping the quotas of workspaces: admits requests by itself while much of the quota is left, and
 * otherwise keeps those that wait for a decision of the scheduler.
 *
 * <p>Handles a workspace that reaches its quota between two reports, connections that are lost with a report or a
 * decision, and times without a scheduler.
 *
 * <p>Invariants: of each workspace, the node has admitted no more requests by itself that its scheduler may not know
 * than {@link Quota#unreportedPerNode}; each request that waits gets exactly one decision, within {@link #MAX_WAIT}
 * and the time between two calls of {@link #expire}. Not thread-safe; confined to the event loop.
 */
public final class QuotaClient {
    /** Time for which a request waits for a decision; short, as its caller expects a response within 300 ms. */
    public static final Duration MAX_WAIT = Duration.ofMillis(250);

    private final Ticker ticker;
    private final Supplier<Workspaces> workspaces;
    private final IntSupplier nodeCount;

    /** All requests that this node has admitted, those that a scheduler has granted included. */
    private final Map<String, AdmissionWindow> admitted = new HashMap<>();

    private final Map<String, Integer> unreported = new HashMap<>();

    /** Admissions of each workspace in {@link #reports}, together. */
    private final Map<String, Integer> unacknowledged = new HashMap<>();

    private final Deque<Report> reports = new ArrayDeque<>();
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private Set<String> limited = Set.of();
    private boolean connected;
    private long nextId = 1;

    /** Receives the decision on a request; called once. */
    public interface Listener {
        /** The request may be run. */
        void admitted();

        /** The quota is used up until the delay is over. */
        void overQuota(Duration retryAfter);

        /** No decision was made in time. */
        void undecided();
    }

    private record Report(long sentNanos, Map<String, Integer> admissions) {}

    private record Waiting(String workspace, Listener listener, long sinceNanos) {}

    /**
     * Creates a client.
     *
     * @param nodeCount returns the number of nodes that may admit requests of a workspace
     */
    public QuotaClient(Ticker ticker, Supplier<Workspaces> workspaces, IntSupplier nodeCount) {
        this.ticker = ticker;
        this.workspaces = workspaces;
        this.nodeCount = nodeCount;
    }

    private Optional<Workspace> withQuota(String workspace) {
        return workspaces.get().named(workspace).filter(Workspace::limited);
    }

    /** Returns whether requests of a workspace take part in the quotas. */
    public boolean counts(String workspace) {
        return withQuota(workspace).isPresent();
    }

    /** Admits a request if this node may do so by itself and the quota is not close to being used up. */
    public boolean tryAdmit(String workspace) {
        return !limited.contains(workspace) && tryAdmitUnreported(workspace);
    }

    /** Admits a request if the scheduler may stay without knowledge of it. */
    private boolean tryAdmitUnreported(String workspace) {
        if (!mayAdmitUnreported(workspace)) {
            return false;
        }
        admitUnreported(workspace);
        return true;
    }

    /** Returns whether this node may admit a request of a workspace that the scheduler does not know. */
    public boolean mayAdmitUnreported(String workspace) {
        Optional<Workspace> found = withQuota(workspace);
        return found.isEmpty() || unknown(workspace) < Quota.of(found.get()).unreportedPerNode(nodeCount.getAsInt());
    }

    /** Counts a request that this node admits by itself. */
    public void admitUnreported(String workspace) {
        if (counts(workspace)) {
            unreported.merge(workspace, 1, Integer::sum);
            admittedByScheduler(workspace);
        }
    }

    /**
     * Returns the requests that this node has admitted and the scheduler may not know; those long past don't matter.
     */
    private int unknown(String workspace) {
        int count = unreported.getOrDefault(workspace, 0) + unacknowledged.getOrDefault(workspace, 0);
        AdmissionWindow window = admitted.get(workspace);
        return count == 0 || window == null ? 0 : Math.min(count, window.total(ticker.nanos()));
    }

    /** Returns whether this node may admit no further request of a workspace before it has reported the last ones. */
    public boolean reportDue(String workspace) {
        return unreported.containsKey(workspace) && !mayAdmitUnreported(workspace);
    }

    /** Counts a request that the scheduler has admitted. */
    public void admittedByScheduler(String workspace) {
        long now = ticker.nanos();
        if (counts(workspace)) {
            admitted.computeIfAbsent(workspace, name -> new AdmissionWindow(now))
                    .add(now, now, 1);
        }
    }

    /** Returns the requests admitted since the last report, to be sent to the scheduler at once; may be empty. */
    public Map<String, Integer> takeReport() {
        if (unreported.isEmpty()) {
            return Map.of();
        }
        Map<String, Integer> admissions = Map.copyOf(unreported);
        unreported.clear();
        reports.add(new Report(ticker.nanos(), admissions));
        admissions.forEach((workspace, count) -> unacknowledged.merge(workspace, count, Integer::sum));
        return admissions;
    }

    /** Records that the scheduler has received what was sent to it until a time. */
    public void acknowledged(long sentNanos) {
        while (!reports.isEmpty() && reports.peek().sentNanos() - sentNanos <= 0) {
            reports.remove()
                    .admissions()
                    .forEach((workspace, count) ->
                            unacknowledged.merge(workspace, -count, (a, b) -> a + b == 0 ? null : a + b));
        }
    }

    /**
     * Records that this node now uses a scheduler, to which it sends its {@link #usage}, and then each request in
     * {@link #waiting}.
     */
    public void connected() {
        connected = true;
        takeReport();
        Map<String, Integer> sent = Map.copyOf(unacknowledged);
        reports.clear();
        reports.add(new Report(ticker.nanos(), sent));
    }

    /** Records that this node uses no scheduler. */
    public void disconnected() {
        connected = false;
    }

    /** Replaces the workspaces of which each request needs a decision. */
    public void replaceLimited(Collection<String> workspaceNames) {
        limited = Set.copyOf(workspaceNames);
    }

    /** Returns the requests that this node has admitted, by workspace, in each period, the current one first. */
    public Map<String, List<Integer>> usage() {
        long now = ticker.nanos();
        admitted.values().removeIf(window -> window.total(now) == 0);
        Map<String, List<Integer>> usage = new HashMap<>();
        admitted.forEach((workspace, window) -> usage.put(workspace, window.periods(now)));
        return usage;
    }

    /** Lets a request wait for a decision; returns its number. */
    public long await(String workspace, Listener listener) {
        long id = nextId++;
        waiting.put(id, new Waiting(workspace, listener, ticker.nanos()));
        return id;
    }

    /** Returns the workspaces of the requests that wait for a decision, by their numbers. */
    public Map<Long, String> waiting() {
        Map<Long, String> workspaceNames = new LinkedHashMap<>();
        waiting.forEach((id, entry) -> workspaceNames.put(id, entry.workspace()));
        return workspaceNames;
    }

    /**
     * Handles the decision on a request that waits; has no effect if it no longer does.
     *
     * @param retryAfter time until the quota has room, zero if no decision was possible
     */
    public void decided(long id, boolean admitted, Duration retryAfter) {
        Waiting entry = waiting.remove(id);
        if (entry == null) {
            return;
        }
        acknowledged(entry.sinceNanos());
        if (admitted) {
            admittedByScheduler(entry.workspace());
            entry.listener().admitted();
        } else if (retryAfter.isZero()) {
            entry.listener().undecided();
        } else {
            entry.listener().overQuota(retryAfter);
        }
    }

    /** Decides on requests that have waited for too long. Without a scheduler, some of them are admitted. */
    public void expire() {
        long now = ticker.nanos();
        List<Map.Entry<Long, Waiting>> expired = waiting.entrySet().stream()
                .filter(entry -> now - entry.getValue().sinceNanos() >= MAX_WAIT.toNanos())
                .toList();
        for (Map.Entry<Long, Waiting> entry : expired) {
            Waiting request = entry.getValue();
            if (waiting.remove(entry.getKey()) == null) {
                continue;
            }
            if (!connected && tryAdmitUnreported(request.workspace())) {
                request.listener().admitted();
            } else {
                request.listener().undecided();
            }
        }
    }
}
