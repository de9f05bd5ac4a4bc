package dev.lavenderline.serving.node;

import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.Backlog;
import dev.lavenderline.serving.slots.BacklogItem;
import dev.lavenderline.serving.slots.ItemRef;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Items without a result of open jobs whose route is configured, ordered by the due time of their job.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class JobBacklog implements Backlog {
    private final JobLedger ledger;
    private final Supplier<Optional<FleetConfig>> config;

    JobBacklog(JobLedger ledger, Supplier<Optional<FleetConfig>> config) {
        this.ledger = ledger;
        this.config = config;
    }

    @Override
    public void visit(Predicate<BacklogItem> visitor) {
        Optional<FleetConfig> current = config.get();
        if (current.isEmpty()) {
            return;
        }
        for (Job job : ledger.openByDueTime()) {
            Optional<Route> route = current.get().batchRouteNamed(job.route());
            if (route.isEmpty()) {
                continue;
            }
            int priority = current.get()
                    .workspaces()
                    .priority(job.workspace(), route.get().priority());
            if (!visitItems(job, route.get(), priority, visitor)) {
                return;
            }
        }
    }

    @Override
    public boolean shared() {
        return config.get().map(current -> current.workspaces().enabled()).orElse(false);
    }

    private static boolean visitItems(Job job, Route route, int priority, Predicate<BacklogItem> visitor) {
        Map<String, Integer> weights = new HashMap<>();
        for (WeightedService service : route.services()) {
            weights.put(service.service(), service.weight());
        }
        for (int i = 0; i < job.itemCount(); i++) {
            if (job.hasResult(i)) {
                continue;
            }
            int tokens = job.item(i).map(JobItem::getTokens).orElse(0);
            ItemRef ref = new ItemRef(job.id(), i);
            if (!visitor.test(new BacklogItem(
                    ref, weights, job.dueNanos(), job.acceptedBy(), tokens, job.workspace(), priority))) {
                return false;
            }
        }
        return true;
    }
}
