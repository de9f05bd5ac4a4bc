package dev.lavenderline.node.jobs;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.node.log.LoggedStream;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.JobClaimed;
import dev.lavenderline.proto.log.JobReleased;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Claims jobs that nobody holds or whose holder is gone.
 *
 * <p>Liveness only decides when a claim is written; the log decides whether it is valid. A holder counts as gone only if
 * it neither sends heartbeats nor records results, so that nodes that lost each other but not the log do not take jobs
 * from one another. Not thread-safe; confined to the node's event loop.
 */
final class JobClaims {
    static final Duration GONE_LIMIT = Duration.ofSeconds(4);
    /** Head start of each node over the next one in rendezvous order. */
    static final Duration RANK_DELAY = Duration.ofSeconds(1);
    /** Time after which a claim that was not folded is written again. */
    private static final Duration CLAIM_RETRY = Duration.ofSeconds(5);

    private final LoggedStream<WorkLedger> work;
    private final String holder;
    private final Predicate<String> isLive;
    private final ToIntFunction<Job> rank;
    private final Duration logTimeout;
    private final Ticker ticker;
    private final Map<String, Long> missingSince = new HashMap<>();
    private final Map<String, Long> lastProgress = new HashMap<>();
    private final Map<String, Long> claimedAt = new HashMap<>();
    private boolean draining;

    /**
     * Creates the claims of one node.
     *
     * @param holder incarnation of this node
     * @param isLive whether an incarnation sends heartbeats
     * @param rank position of this node in the order in which live nodes claim a job, 0 for the first
     */
    JobClaims(
            LoggedStream<WorkLedger> work,
            String holder,
            Predicate<String> isLive,
            ToIntFunction<Job> rank,
            Duration logTimeout,
            Ticker ticker) {
        this.work = work;
        this.holder = holder;
        this.isLive = isLive;
        this.rank = rank;
        this.logTimeout = logTimeout;
        this.ticker = ticker;
    }

    /** Notes that a result of a job was recorded. */
    void progressed(String jobId) {
        lastProgress.put(jobId, ticker.nanos());
    }

    /** Forgets a job that ended. */
    void ended(String jobId) {
        lastProgress.remove(jobId);
        missingSince.remove(jobId);
        claimedAt.remove(jobId);
    }

    /** Claims what is due; call about five times a second. */
    void check() {
        if (draining || !work.isFresh(GONE_LIMIT)) {
            return;
        }
        for (Job job : work.ledger().openJobs()) {
            if (isHeldByOther(job) || job.holder().equals(holder)) {
                missingSince.remove(job.id());
                continue;
            }
            long since = missingSince.computeIfAbsent(job.id(), id -> ticker.nanos());
            Duration missing = Duration.ofNanos(ticker.nanos() - since);
            if (missing.compareTo(delay(job)) >= 0 && mayWrite(job.id())) {
                claim(job);
            }
        }
    }

    private boolean isHeldByOther(Job job) {
        if (job.holder().isEmpty() || job.holder().equals(holder)) {
            return false;
        }
        Long progress = lastProgress.get(job.id());
        boolean hasProgress = progress != null && ticker.nanos() - progress < GONE_LIMIT.toNanos();
        return hasProgress || isLive.test(job.holder());
    }

    private Duration delay(Job job) {
        Duration turn = RANK_DELAY.multipliedBy(rank.applyAsInt(job));
        // Membership needs 3 s to miss a holder; the rest of the limit has to pass here.
        return job.holder().isEmpty() ? turn : turn.plus(GONE_LIMIT.minusSeconds(3));
    }

    private boolean mayWrite(String jobId) {
        Long last = claimedAt.get(jobId);
        return last == null || ticker.nanos() - last > CLAIM_RETRY.toNanos();
    }

    /** Writes a claim for a job. */
    void claim(Job job) {
        claimedAt.put(job.id(), ticker.nanos());
        Entry entry = Entry.newBuilder()
                .setJobClaimed(JobClaimed.newBuilder()
                        .setJobId(job.id())
                        .setHolder(holder)
                        .setPrevious(job.claim()))
                .build();
        work.append(entry, logTimeout).subscribe().with(result -> {});
    }

    /** Releases all jobs of this node and claims no more; completes when the records are acknowledged. */
    Uni<Void> release() {
        draining = true;
        Set<Entry> entries = new HashSet<>();
        for (Job job : work.ledger().openJobs()) {
            if (job.holder().equals(holder)) {
                entries.add(Entry.newBuilder()
                        .setJobReleased(
                                JobReleased.newBuilder().setJobId(job.id()).setClaim(job.claim()))
                        .build());
            }
        }
        if (entries.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        return work.append(entries.stream().toList(), logTimeout).replaceWithVoid();
    }
}
