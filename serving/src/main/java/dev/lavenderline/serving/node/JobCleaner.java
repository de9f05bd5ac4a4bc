package dev.lavenderline.serving.node;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.slots.ItemRef;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Gives up items whose time has passed and deletes jobs whose results need not be readable any more. Runs on the node whose scheduler is in use.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class JobCleaner {
    /** Time beyond each limit, since clocks of hosts differ and may jump by seconds. */
    private static final Duration MARGIN = Duration.ofSeconds(6);

    private final JobLedger ledger;
    private final JobStore store;
    private final Ticker ticker;
    private final Duration readable;
    private final Set<ItemRef> abandoned = new HashSet<>();
    private final Set<String> forgotten = new HashSet<>();

    /**
     * Creates a cleaner.
     *
     * @param readable time after its submission for which a closed job stays readable
     */
    JobCleaner(JobLedger ledger, JobStore store, Ticker ticker, Duration readable) {
        this.readable = readable;
        this.ledger = ledger;
        this.store = store;
        this.ticker = ticker;
    }

    void run() {
        giveUp();
        forget();
    }

    private void forget() {
        long now = ticker.nanos();
        for (Job job : List.copyOf(ledger.all())) {
            boolean old = now - job.acceptedNanos() > readable.plus(MARGIN).toNanos();
            if (old && !job.open() && job.complete() && forgotten.add(job.id())) {
                store.forget(job.id()).onComplete(done -> forgotten.remove(job.id()));
            }
        }
    }

    private void giveUp() {
        long now = ticker.nanos();
        for (Job job : List.copyOf(ledger.openByDueTime())) {
            if (now - job.abandonNanos() < MARGIN.toNanos()) {
                continue;
            }
            for (int i = 0; i < job.total(); i++) {
                ItemRef item = new ItemRef(job.id(), i);
                if (!job.hasResult(i) && abandoned.add(item)) {
                    store.addResult(item, false, "").onComplete(done -> abandoned.remove(item));
                }
            }
        }
    }
}
