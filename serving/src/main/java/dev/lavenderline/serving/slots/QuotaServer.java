package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.workspaces.QuotaLedger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Keeps the quotas of workspaces at the scheduler's node. Stands between the scheduler and the receiver of its
 * decisions, so that a request that gets no slot gives its admission back.
 *
 * <p>Invariant: a request holds an admission in {@link #undecided} exactly while the scheduler has it waiting. Not
 * thread-safe; confined to the event loop.
 */
final class QuotaServer implements RequestCharges, SlotDecisionListener {
    /** Retry delay of a request that the scheduler of a disconnected part of the nodes may not admit. */
    private static final Duration UNDECIDED_RETRY_DELAY = Duration.ofMillis(400);

    /** Time between two lines about the same workspace. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private final QuotaLedger ledger;
    private final SlotDecisionListener decisions;
    private final Ticker ticker;
    private final EventLog log;

    /** Admissions of requests without a decision on a slot, by node and lease. */
    private final Map<String, Map<Long, Charge>> undecided = new HashMap<>();

    private final Map<String, Rejections> rejections = new HashMap<>();

    private record Charge(String workspace, long nanos) {}

    /** Rejected requests of a workspace since the last line about it. */
    private static final class Rejections {
        long loggedNanos;
        int count;
    }

    QuotaServer(QuotaLedger ledger, SlotDecisionListener decisions, Ticker ticker, EventLog log) {
        this.ledger = ledger;
        this.decisions = decisions;
        this.ticker = ticker;
        this.log = log;
    }

    void onLimitedChange(Consumer<Set<String>> listener) {
        ledger.onLimitedChange(listener);
    }

    Set<String> limited() {
        return ledger.limited();
    }

    void joined(String node, Map<String, List<Integer>> usage) {
        ledger.joined(node, usage);
    }

    void report(String node, Map<String, Integer> admissions) {
        ledger.report(node, admissions);
    }

    void pinged(String node) {
        ledger.pinged(node);
    }

    /** Decides on a request that needs no slot. */
    QuotaLedger.Decision decide(String node, String workspace) {
        QuotaLedger.Decision decision = ledger.admit(node, workspace);
        if (decision.outcome() == QuotaLedger.Outcome.OVER_QUOTA) {
            logRejection(workspace, decision.retryAfter());
        }
        return decision;
    }

    void refresh() {
        ledger.refresh();
        long now = ticker.nanos();
        rejections.values().removeIf(entry -> entry.count == 0 && now - entry.loggedNanos > LOG_INTERVAL.toNanos());
    }

    private void logRejection(String workspace, Duration retryAfter) {
        long now = ticker.nanos();
        Rejections entry = rejections.get(workspace);
        if (entry == null) {
            entry = new Rejections();
            entry.loggedNanos = now - LOG_INTERVAL.toNanos();
            rejections.put(workspace, entry);
        }
        entry.count++;
        if (now - entry.loggedNanos >= LOG_INTERVAL.toNanos()) {
            log.event(
                    ServingEvent.QUOTA_REACHED,
                    "workspace",
                    workspace,
                    "rejected",
                    entry.count,
                    "retryAfterMs",
                    retryAfter.toMillis());
            entry.loggedNanos = now;
            entry.count = 0;
        }
    }

    @Override
    public boolean admit(SlotRequest request) {
        if (!request.charged()
                || request.workspace().isEmpty()
                || request.origin().isPresent()) {
            return true;
        }
        QuotaLedger.Decision decision = decide(request.node(), request.workspace());
        switch (decision.outcome()) {
            case ADMITTED ->
                undecided
                        .computeIfAbsent(request.node(), node -> new HashMap<>())
                        .put(request.lease(), new Charge(request.workspace(), ticker.nanos()));
            case OVER_QUOTA -> decisions.overQuota(request.node(), request.lease(), decision.retryAfter());
            case UNDECIDED -> decisions.rejected(request.node(), request.lease(), UNDECIDED_RETRY_DELAY);
        }
        return decision.outcome() == QuotaLedger.Outcome.ADMITTED;
    }

    private Charge remove(String node, long lease) {
        Map<Long, Charge> ofNode = undecided.get(node);
        return ofNode == null ? null : ofNode.remove(lease);
    }

    private void giveBack(String node, long lease) {
        Charge charge = remove(node, lease);
        if (charge != null) {
            ledger.giveBack(node, charge.workspace(), charge.nanos());
        }
    }

    @Override
    public void released(String node, long lease) {
        giveBack(node, lease);
    }

    @Override
    public void nodeLeft(String node) {
        Map<Long, Charge> charges = undecided.remove(node);
        if (charges != null) {
            charges.values().forEach(charge -> ledger.giveBack(node, charge.workspace(), charge.nanos()));
        }
        ledger.left(node);
    }

    @Override
    public void granted(String node, long lease, String upstream) {
        remove(node, lease);
        decisions.granted(node, lease, upstream);
    }

    @Override
    public void rejected(String node, long lease, Duration retryAfter) {
        giveBack(node, lease);
        decisions.rejected(node, lease, retryAfter);
    }

    @Override
    public void run(String node, long lease, String upstream, ItemRef item) {
        decisions.run(node, lease, upstream, item);
    }

    @Override
    public void preempt(String node, long lease) {
        decisions.preempt(node, lease);
    }
}
