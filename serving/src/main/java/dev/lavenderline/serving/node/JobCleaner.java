package dev.lavenderline.serving.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.slots.ItemRef;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Abandons items whose retention has passed, deletes closed jobs whose results no longer have to be readable, and
 * deletes the ends of jobs that were not submitted within that time. Runs on nodes whose scheduler is in use.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class JobCleaner {
    /** Added to each retention time, since the clocks of hosts differ and may jump by seconds. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(6);

    private final JobLedger ledger;
    private final JobStore store;
    private final Ticker ticker;
    private final Duration resultRetention;

    /** Items for which a failure result is being written. */
    private final Set<ItemRef> abandoning = new HashSet<>();

    /** Jobs whose records are being deleted. */
    private final Set<String> deleting = new HashSet<>();

    /**
     * Creates a cleaner.
     *
     * @param resultRetention time after its submission for which a closed job stays readable
     */
    JobCleaner(JobLedger ledger, JobStore store, Ticker ticker, Duration resultRetention) {
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
        for (Job job : List.copyOf(ledger.openByDueTime())) {
            if (now - job.abandonNanos() < CLOCK_MARGIN.toNanos()) {
                continue;
            }
            for (int i = 0; i < job.itemCount(); i++) {
                ItemRef item = new ItemRef(job.id(), i);
                if (!job.hasResult(i) && abandoning.add(item)) {
                    store.addResult(item, false, "").onComplete(done -> abandoning.remove(item));
                }
            }
        }
    }
}
