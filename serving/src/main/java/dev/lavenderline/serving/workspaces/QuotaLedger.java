package dev.lavenderline.serving.workspaces;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Counts the requests of each workspace with a quota for the nodes that use this node's scheduler.
 *
 * <p>Handles a workspace that sends many times its quota through all nodes at once, nodes that join with what another
 * scheduler granted to them, restarts of nodes and of the scheduler, and a part of the nodes that is disconnected and
 * has a scheduler of its own.
 *
 * <p>Invariant: the quotas that all schedulers grant together do not exceed 1.1 times the quotas of the configuration
 * while at most 40% of the nodes are disconnected. Not thread-safe; confined to the event loop.
 */
public final class QuotaLedger {
    /**
     * Part of its share of the quota that a scheduler without a majority of the nodes grants. With 0.25 and 40% of the
     * nodes, simulated fleets reached 99.9% of what users allow.
     */
    static final double MINORITY_PART = 0.2;

    /**
     * Time in which nodes join a new scheduler, longer than they need to notice the loss of the former one. Until all
     * are there, a majority grants the share of those that are: it does not know what the others have admitted.
     */
    static final Duration JOIN_PERIOD = Duration.ofSeconds(1);

    /**
     * Requests a second, and at once, that a majority grants in the {@link #JOIN_PERIOD} whatever the share. Within the
     * 20 requests that users allow beyond a quota; without them, small quotas would admit nothing.
     */
    private static final double MIN_WHILE_JOINING = 10;

    /** Part of the nodes from which a scheduler grants a burst of at least one; at most 10 schedulers do. */
    private static final double MIN_PART_FOR_BURST = 0.1;

    /** Part of the burst that is left when a workspace is no longer limited; twice that at which it became so. */
    private static final double UNLIMITED_ABOVE = 2 * Quota.LIMITED_BELOW;

    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(1);

    private final Ticker ticker;
    private final Supplier<Workspaces> workspaces;
    private final Supplier<OptionalInt> registeredNodes;
    private final Map<String, Account> accounts = new HashMap<>();

    /** Nodes that use the scheduler, with the time of their last report or ping. */
    private final Map<String, Long> joinedNodes = new HashMap<>();

    private Consumer<Set<String>> limitedListener = limited -> {};
    private long activeSinceNanos;
    private long lastCleanupNanos;

    /** Result of a request for an admission. */
    public enum Outcome {
        ADMITTED,
        OVER_QUOTA,

        /** The share of these nodes is used up, but not the quota of the workspace, or this is not known yet. */
        UNDECIDED
    }

    /**
     * Decision on a request.
     *
     * @param retryAfter time until the quota has room, zero unless it is used up
     */
    public record Decision(Outcome outcome, Duration retryAfter) {
        static final Decision ADMITTED = new Decision(Outcome.ADMITTED, Duration.ZERO);
        static final Decision UNDECIDED = new Decision(Outcome.UNDECIDED, Duration.ZERO);
    }

    /** Admissions of a workspace. */
    private static final class Account {
        final Map<String, AdmissionWindow> byNode = new HashMap<>();
        AdmissionWindow ofAllNodes;
        Quota quota;
        boolean limited;

        Account(Quota quota, long nowNanos) {
            this.quota = quota;
            this.ofAllNodes = new AdmissionWindow(nowNanos);
        }

        /** Starts to count anew for a lower quota, which earlier requests did not have to keep. */
        void applyQuota(Quota current, long nowNanos) {
            if (current.requestsPerSecond() < quota.requestsPerSecond() || current.burst() < quota.burst()) {
                byNode.clear();
                ofAllNodes = new AdmissionWindow(nowNanos);
            }
            quota = current;
        }

        void add(String node, long nowNanos, long atNanos, int admitted) {
            ofAllNodes.add(nowNanos, atNanos, admitted);
            byNode.computeIfAbsent(node, name -> new AdmissionWindow(nowNanos)).add(nowNanos, atNanos, admitted);
        }
    }

    /**
     * Creates a ledger.
     *
     * @param registeredNodes returns the number of registered nodes, empty if they have not been read
     */
    public QuotaLedger(Ticker ticker, Supplier<Workspaces> workspaces, Supplier<OptionalInt> registeredNodes) {
        this.ticker = ticker;
        this.workspaces = workspaces;
        this.registeredNodes = registeredNodes;
        this.activeSinceNanos = ticker.nanos();
        this.lastCleanupNanos = ticker.nanos();
    }

    /** Sets the listener that receives all limited workspaces after each change. */
    public void onLimitedChange(Consumer<Set<String>> listener) {
        limitedListener = listener;
    }

    private Optional<Account> account(String workspace) {
        Optional<Quota> quota =
                workspaces.get().named(workspace).filter(Workspace::limited).map(Quota::of);
        if (quota.isEmpty()) {
            return Optional.empty();
        }
        long now = ticker.nanos();
        Account account = accounts.computeIfAbsent(workspace, name -> new Account(quota.get(), now));
        if (!account.quota.equals(quota.get())) {
            account.applyQuota(quota.get(), now);
        }
        return Optional.of(account);
    }

    private boolean joining() {
        return ticker.nanos() - activeSinceNanos < JOIN_PERIOD.toNanos();
    }

    /** Returns the part of a quota that this scheduler grants. */
    private Quota share(Quota quota) {
        int joined = joinedNodes.size();
        int registered = Math.max(1, registeredNodes.get().orElse(joined + 1));
        boolean majority = 2 * joined > registered;
        if (joined >= registered || (majority && !joining())) {
            return quota;
        }
        double part = (double) joined / registered;
        if (majority) {
            return quota.part(part, MIN_WHILE_JOINING, MIN_WHILE_JOINING);
        }
        return quota.part(MINORITY_PART * part, 0, part < MIN_PART_FOR_BURST ? 0 : 1);
    }

    /** Decides on a request of a workspace at a node and counts it if it is admitted. */
    public Decision admit(String node, String workspace) {
        Optional<Account> found = account(workspace);
        if (found.isEmpty()) {
            return Decision.ADMITTED;
        }
        Account account = found.get();
        long now = ticker.nanos();
        Quota share = share(account.quota);
        if (account.ofAllNodes.requestsLeft(now, share) < 1) {
            return rejection(account, now);
        }
        account.add(node, now, now, 1);
        limitIfLow(account, share);
        return Decision.ADMITTED;
    }

    /**
     * Rejects a request. While nodes join, no quota counts as used up: requests that they held for lack of a scheduler
     * arrive at once.
     */
    private Decision rejection(Account account, long nowNanos) {
        if (joining() || account.ofAllNodes.requestsLeft(nowNanos, account.quota) >= 1) {
            return Decision.UNDECIDED;
        }
        // At least 1 ms, which the protocol needs to tell this from a request without a decision.
        Duration retryAfter =
                account.ofAllNodes.timeUntilOneLeft(nowNanos, account.quota).plusMillis(1);
        return new Decision(Outcome.OVER_QUOTA, retryAfter);
    }

    /** Takes back an admission for a request that was not run. */
    public void giveBack(String node, String workspace, long admittedNanos) {
        Account account = accounts.get(workspace);
        if (account == null) {
            return;
        }
        AdmissionWindow ofNode = account.byNode.get(node);
        if (ofNode != null) {
            ofNode.remove(ticker.nanos(), admittedNanos, 1);
            account.ofAllNodes.remove(ticker.nanos(), admittedNanos, 1);
        }
    }

    /**
     * Counts the requests that a node has admitted since its last report or ping. They count as of that time: counted
     * as of now, requests that kept the limit would appear closer together than they were.
     */
    public void report(String node, Map<String, Integer> admissions) {
        long now = ticker.nanos();
        long earliest = joinedNodes.getOrDefault(node, now);
        admissions.forEach((workspace, admitted) -> account(workspace).ifPresent(account -> {
            account.add(node, now, earliest, admitted);
            limitIfLow(account, share(account.quota));
        }));
        pinged(node);
    }

    /** Records that a node has reported all that it had to. */
    public void pinged(String node) {
        joinedNodes.replace(node, ticker.nanos());
    }

    /**
     * Adds a node with the requests that it has admitted, by workspace, which replace those that are known of it. If
     * more are known, these stay: the node has restarted and forgotten them.
     *
     * @param usage requests in each period, the current one first
     */
    public void joined(String node, Map<String, List<Integer>> usage) {
        long now = ticker.nanos();
        if (joinedNodes.isEmpty()) {
            activeSinceNanos = now;
        }
        joinedNodes.put(node, now);
        usage.forEach((workspace, periods) -> account(workspace).ifPresent(account -> {
            AdmissionWindow reported = AdmissionWindow.ofOtherNode(now, periods);
            AdmissionWindow known = account.byNode.computeIfAbsent(node, name -> new AdmissionWindow(now));
            if (reported.total(now) >= known.total(now)) {
                account.ofAllNodes.removeAll(now, known);
                account.ofAllNodes.addAll(now, reported);
                account.byNode.put(node, reported);
            }
            limitIfLow(account, share(account.quota));
        }));
    }

    /** Removes a node; the requests that it has admitted count on. */
    public void left(String node) {
        joinedNodes.remove(node);
    }

    private boolean admittedLocally(Quota quota) {
        return quota.unreportedPerNode(registeredNodes.get().orElse(1)) > 0;
    }

    /**
     * Lists a workspace as limited if little of its quota is left, unless nodes ask for each of its requests anyway.
     */
    private void limitIfLow(Account account, Quota share) {
        if (!account.limited
                && account.ofAllNodes.requestsLeft(ticker.nanos(), share) < Quota.LIMITED_BELOW * share.burst()
                && admittedLocally(account.quota)) {
            account.limited = true;
            limitedListener.accept(limited());
        }
    }

    /** Returns the workspaces of which nodes must ask for each request. */
    public Set<String> limited() {
        Set<String> limited = new HashSet<>();
        accounts.forEach((name, account) -> {
            if (account.limited) {
                limited.add(name);
            }
        });
        return limited;
    }

    /** Updates the limited workspaces and forgets what is over. Call it every few tens of milliseconds. */
    public void refresh() {
        long now = ticker.nanos();
        boolean changed = false;
        for (Map.Entry<String, Account> entry : accounts.entrySet()) {
            Account account = entry.getValue();
            if (account.limited && mayBeUnlimited(entry.getKey(), account)) {
                account.limited = false;
                changed = true;
            }
        }
        if (changed) {
            limitedListener.accept(limited());
        }
        if (now - lastCleanupNanos >= CLEANUP_INTERVAL.toNanos()) {
            lastCleanupNanos = now;
            accounts.values().forEach(account -> account.byNode.values().removeIf(window -> window.total(now) == 0));
            accounts.values().removeIf(account -> !account.limited && account.ofAllNodes.total(now) == 0);
        }
    }

    private boolean mayBeUnlimited(String workspace, Account account) {
        if (account(workspace).isEmpty() || !admittedLocally(account.quota)) {
            return true;
        }
        Quota share = share(account.quota);
        return account.ofAllNodes.requestsLeft(ticker.nanos(), share) > UNLIMITED_ABOVE * share.burst();
    }
}
