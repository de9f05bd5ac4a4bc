package dev.lavenderline.node.jobs;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.node.log.LogStream;
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
 * Claims jobs that no node holds or whose holder is gone.
 *
 * <p>Liveness only decides when a claim is written; the log decides whether it is valid. A holder counts as gone only
 * if it neither sends heartbeats nor records results, so that nodes that lost contact with each other but not with the
 * log do not take over each other's jobs. Not thread-safe; confined to the node's event loop.
 */
final class JobClaims {
    /** Time without heartbeats and recorded results after which a holder counts as gone. */
    static final Duration HOLDER_TIMEOUT = Duration.ofSeconds(4);
    /**
     * Head start of the first node in rendezvous order over the next ones, and of these over those that follow, so that
     * usually only one claims a job.
     */
    static final Duration RANK_DELAY = Duration.ofSeconds(1);
    /** Binary logarithm of the factor by which each group of nodes with the same delay is larger than all before it. */
    private static final int GROUP_GROWTH_BITS = 3;
    /** Time after which a claim that has not been applied is written again. */
    private static final Duration CLAIM_RETRY_INTERVAL = Duration.ofSeconds(5);

    private final LogStream<WorkLedger> work;
    private final String incarnation;
    private final Predicate<String> isLive;
    private final ToIntFunction<Job> rank;
    private final Duration logTimeout;
    private final Ticker ticker;
    private final Map<String, Long> withoutHolderSince = new HashMap<>();
    private final Map<String, Long> lastResultAt = new HashMap<>();
    private final Map<String, Long> lastClaimAt = new HashMap<>();
    private boolean draining;

    /**
     * Creates the claims of this node.
     *
     * @param incarnation incarnation of this node
     * @param isLive whether an incarnation sends heartbeats
     * @param rank position of this node in the order in which live nodes claim a job, 0 for the first
     */
    JobClaims(
            LogStream<WorkLedger> work,
            String incarnation,
            Predicate<String> isLive,
            ToIntFunction<Job> rank,
            Duration logTimeout,
            Ticker ticker) {
        this.work = work;
        this.incarnation = incarnation;
        this.isLive = isLive;
        this.rank = rank;
        this.logTimeout = logTimeout;
        this.ticker = ticker;
    }

    /** Notes that a result of a job was recorded, which shows that its holder is alive. */
    void resultRecorded(String jobId) {
        lastResultAt.put(jobId, ticker.nanos());
    }

    /** Forgets a job that ended. */
    void jobEnded(String jobId) {
        lastResultAt.remove(jobId);
        withoutHolderSince.remove(jobId);
        lastClaimAt.remove(jobId);
    }

    /** Claims the jobs that are due; call about five times a second. */
    void check() {
        if (draining || !work.isFresh(HOLDER_TIMEOUT)) {
            return;
        }
        for (Job job : work.ledger().openJobs()) {
            if (isHeldByOther(job) || job.holder().equals(incarnation)) {
                withoutHolderSince.remove(job.id());
                continue;
            }
            long since = withoutHolderSince.computeIfAbsent(job.id(), id -> ticker.nanos());
            Duration withoutHolder = Duration.ofNanos(ticker.nanos() - since);
            if (withoutHolder.compareTo(claimDelay(job)) >= 0 && mayClaim(job.id())) {
                claim(job);
            }
        }
    }

    private boolean isHeldByOther(Job job) {
        if (job.holder().isEmpty() || job.holder().equals(incarnation)) {
            return false;
        }
        Long last = lastResultAt.get(job.id());
        boolean hasRecentResult = last != null && ticker.nanos() - last < HOLDER_TIMEOUT.toNanos();
        return hasRecentResult || isLive.test(job.holder());
    }

    private Duration claimDelay(Job job) {
        Duration rankDelay = rankDelay(rank.applyAsInt(job));
        // Membership reports a node as gone after 3 s without heartbeats; the rest of the timeout has to pass here.
        return job.holder().isEmpty() ? rankDelay : rankDelay.plus(HOLDER_TIMEOUT.minusSeconds(3));
    }

    /**
     * Returns the delay of a node. Nodes in front of it may be live and yet unable to claim, for example without
     * contact to the log; their number must not add up to minutes.
     */
    static Duration rankDelay(int rank) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(rank);
        return RANK_DELAY.multipliedBy((bits + GROUP_GROWTH_BITS - 1) / GROUP_GROWTH_BITS);
    }

    private boolean mayClaim(String jobId) {
        Long last = lastClaimAt.get(jobId);
        return last == null || ticker.nanos() - last > CLAIM_RETRY_INTERVAL.toNanos();
    }

    /** Writes a claim for a job. */
    void claim(Job job) {
        lastClaimAt.put(job.id(), ticker.nanos());
        Entry entry = Entry.newBuilder()
                .setJobClaimed(JobClaimed.newBuilder()
                        .setJobId(job.id())
                        .setHolder(incarnation)
                        .setPrevious(job.claim()))
                .build();
        work.append(entry, logTimeout).subscribe().with(result -> {});
    }

    /** Releases all jobs of this node and claims no more; completes when the append has succeeded or failed. */
    Uni<Void> release() {
        draining = true;
        Set<Entry> entries = new HashSet<>();
        for (Job job : work.ledger().openJobs()) {
            if (job.holder().equals(incarnation)) {
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
