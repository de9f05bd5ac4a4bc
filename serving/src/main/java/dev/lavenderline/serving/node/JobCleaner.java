package dev.lavenderline.serving.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.slots.ItemRef;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Abandons items whose retention has passed, deletes closed jobs whose results no longer have to be readable, and
 * deletes the ends of jobs that were not submitted within that time. Runs on nodes whose scheduler is in use.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class JobCleaner {
    /** Added to each retention time, since the clocks of hosts differ and may jump by seconds. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(6);

    /** Time for which a route must be missing before the items of its jobs are given up; nodes may lag as long. */
    static final Duration ROUTE_REMOVAL_MARGIN = Duration.ofSeconds(5);

    /** Age of the configuration up to which a missing route counts as removed. */
    static final Duration MAX_CONFIG_AGE = Duration.ofSeconds(2);

    private final JobLedger ledger;
    private final JobStore store;
    private final Ticker ticker;
    private final Duration resultRetention;
    private final Supplier<Optional<FleetConfig>> config;
    private final Supplier<Duration> configAge;

    /** Since when the routes of open jobs have been missing from a confirmed configuration, by name. */
    private final Map<String, Long> missingSinceNanos = new HashMap<>();

    /** Items for which a failure result is being written. */
    private final Set<ItemRef> abandoning = new HashSet<>();

    /** Jobs whose records are being deleted. */
    private final Set<String> deleting = new HashSet<>();

    /**
     * Creates a cleaner.
     *
     * @param resultRetention time after its submission for which a closed job stays readable
     * @param configAge returns the time since the configuration was confirmed to be the newest one
     */
    JobCleaner(
            JobLedger ledger,
            JobStore store,
            Ticker ticker,
            Duration resultRetention,
            Supplier<Optional<FleetConfig>> config,
            Supplier<Duration> configAge) {
        this.config = config;
        this.configAge = configAge;
        this.resultRetention = resultRetention;
        this.ledger = ledger;
        this.store = store;
        this.ticker = ticker;
    }

    void run() {
        abandonItems();
        deleteJobs();
        deleteEnds();
    }

    private void deleteEnds() {
        long now = ticker.nanos();
        long retention = resultRetention.plus(CLOCK_MARGIN).toNanos();
        List<String> expired = ledger.endsBeforeJob().entrySet().stream()
                .filter(end -> now - end.getValue() > retention)
                .map(Map.Entry::getKey)
                .filter(deleting::add)
                .toList();
        expired.forEach(job -> store.deleteEnd(job).onComplete(done -> deleting.remove(job)));
    }

    private void deleteJobs() {
        long now = ticker.nanos();
        for (Job job : List.copyOf(ledger.all())) {
            boolean expired = now - job.acceptedNanos()
                    > resultRetention.plus(CLOCK_MARGIN).toNanos();
            if (expired && !job.open() && job.allPartsRead() && deleting.add(job.id())) {
                store.delete(job.id()).onComplete(done -> deleting.remove(job.id()));
            }
        }
    }

    private void abandonItems() {
        long now = ticker.nanos();
        updateMissingRoutes(now);
        for (Job job : List.copyOf(ledger.openByDueTime())) {
            if (now - job.abandonNanos() >= CLOCK_MARGIN.toNanos() || routeRemoved(job, now)) {
                abandonItems(job);
            }
        }
    }

    private void abandonItems(Job job) {
        for (int i = 0; i < job.itemCount(); i++) {
            ItemRef item = new ItemRef(job.id(), i);
            if (!job.hasResult(i) && abandoning.add(item)) {
                store.addResult(item, false, "").onComplete(done -> abandoning.remove(item));
            }
        }
    }

    /** Notes which routes of open jobs are missing; a configuration that may be out of date says nothing. */
    private void updateMissingRoutes(long now) {
        Optional<FleetConfig> current = config.get();
        if (current.isEmpty() || configAge.get().compareTo(MAX_CONFIG_AGE) > 0) {
            missingSinceNanos.clear();
            return;
        }
        Set<String> missing = ledger.openByDueTime().stream()
                .map(Job::route)
                .filter(route -> current.get().batchRouteNamed(route).isEmpty())
                .collect(Collectors.toSet());
        missingSinceNanos.keySet().retainAll(missing);
        missing.forEach(route -> missingSinceNanos.putIfAbsent(route, now));
    }

    /** Returns whether the route of a job has been removed, so that nothing runs its items any more. */
    private boolean routeRemoved(Job job, long now) {
        Long since = missingSinceNanos.get(job.route());
        return since != null && now - since >= ROUTE_REMOVAL_MARGIN.toNanos();
    }
}
