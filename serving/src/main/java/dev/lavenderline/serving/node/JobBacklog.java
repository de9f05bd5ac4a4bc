package dev.lavenderline.serving.node;

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
 * Items of open jobs whose route is in the configuration, by the due time of their job.
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
            Optional<Route> route = current.get().routeNamed(job.route());
            if (route.isPresent() && !visit(job, route.get(), visitor)) {
                return;
            }
        }
    }

    private static boolean visit(Job job, Route route, Predicate<BacklogItem> visitor) {
        Map<String, Integer> services = new HashMap<>();
        for (WeightedService service : route.services()) {
            services.put(service.service(), service.weight());
        }
        for (int i = 0; i < job.total(); i++) {
            if (!job.hasResult(i)
                    && !visitor.test(new BacklogItem(new ItemRef(job.id(), i), services, job.dueNanos()))) {
                return false;
            }
        }
        return true;
    }
}
