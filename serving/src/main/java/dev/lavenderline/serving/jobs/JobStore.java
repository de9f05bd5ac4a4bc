package dev.lavenderline.serving.jobs;

import com.google.common.hash.Hashing;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.ItemFailures;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.store.ConditionalWriter;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reads and writes the job topic. All records of a job are in one partition, and every append is conditional on the
 * offset up to which that partition was read.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class JobStore {
    static final String TOPIC = "jobs";

    /** Maximum wait of a long poll, and so the time within which an idle partition is confirmed to be unchanged. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(1);

    /** Time limit of writes while the store is down; an item runs again if the node that ran it is lost meanwhile. */
    private static final Duration WRITE_TIMEOUT = Duration.ofMinutes(2);

    private final Ticker ticker;
    private final JobLedger ledger;
    private final int maxRecordBytes;
    private final List<PartitionFollower> followers = new ArrayList<>();
    private final List<ConditionalWriter> writers = new ArrayList<>();

    /** Outcome of submitting a job. */
    public enum Acceptance {
        ACCEPTED,
        /** The job would exceed the route's limit of waiting tokens; it does not run. */
        OVER_LIMIT,
        /** The job was not appended in time; it does not run. */
        NOT_APPENDED,
        /** The job may have been appended, but the store did not confirm it in time; it may run. */
        UNKNOWN
    }

    /**
     * Creates a job store; {@link #start} begins to read.
     *
     * @param partitions number of partitions; must be the same on all nodes
     * @param maxRecordBytes size limit of a record
     * @param pause time between two polls of a partition
     */
    public JobStore(
            MetadataStore store,
            JobLedger ledger,
            Ticker ticker,
            Timers timers,
            EventLog log,
            int partitions,
            int maxRecordBytes,
            Supplier<Duration> pause) {
        this.ticker = ticker;
        this.ledger = ledger;
        this.maxRecordBytes = maxRecordBytes;
        KeyedListener listener = new KeyedListener() {
            @Override
            public void reset(List<KeyedRecord> current) {
                current.forEach(ledger::apply);
            }

            @Override
            public void record(KeyedRecord newer) {
                ledger.apply(newer);
            }
        };
        for (int i = 0; i < partitions; i++) {
            Partition partition = new Partition(TOPIC, i);
            PartitionFollower follower =
                    new PartitionFollower(store, partition, listener, ticker, timers, log, POLL_WAIT, pause);
            followers.add(follower);
            writers.add(new ConditionalWriter(store, partition, follower, ticker, timers));
        }
    }

    /** Starts reading all partitions. */
    public void start() {
        followers.forEach(PartitionFollower::start);
    }

    /** Returns whether the initial read of a job's partition is complete. */
    public boolean loaded(String job) {
        return followers.get(partition(job)).nextOffset() >= 0;
    }

    /** Returns the longest time since the store's last response over all partitions. */
    public Duration age() {
        return followers.stream()
                .map(PartitionFollower::age)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    /** Returns the number of changes that the store has not confirmed. */
    public int pendingWrites() {
        return writers.stream().mapToInt(ConditionalWriter::waiting).sum();
    }

    private int partition(String job) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(job, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, followers.size());
    }

    private ConditionalWriter writer(String job) {
        return writers.get(partition(job));
    }

    /** Reads the partition of a job up to its current end. */
    public Future<Void> refresh(String job) {
        return followers.get(partition(job)).refresh();
    }

    /** Accepts a job within the route's limit of waiting tokens; accepting it again has no further effect. */
    public Future<Acceptance> accept(JobSubmission submission, Route route, String host, Duration timeout) {
        JobPart metadata = JobPart.newBuilder()
                .setJob(submission.id())
                .setRoute(route.name())
                .setHost(host)
                .setAcceptedUnixMs(ticker.now().toEpochMilli())
                .setDueInMs((int) route.completionTarget().toMillis())
                .setRetentionMs((int) route.retention().toMillis())
                .setAttempts(route.attempts())
                .build();
        boolean[] overLimit = new boolean[1];
        ConditionalWriter.Change change = reservations -> {
            if (ledger.find(submission.id()).isPresent()) {
                overLimit[0] = false;
                return Optional.of(List.of());
            }
            if (reservations.take("job/" + submission.id()) > 0) {
                return Optional.empty();
            }
            overLimit[0] = route.maxWaitingTokens() > 0
                    && ledger.waitingTokens(route.name()) + submission.tokens() > route.maxWaitingTokens();
            return overLimit[0]
                    ? Optional.of(List.of())
                    : Optional.of(JobRecords.job(metadata, submission.items(), maxRecordBytes));
        };
        return writer(submission.id()).submit(change, timeout).map(result -> switch (result) {
            case DONE -> overLimit[0] ? Acceptance.OVER_LIMIT : Acceptance.ACCEPTED;
            case NOT_APPENDED -> Acceptance.NOT_APPENDED;
            case UNKNOWN -> Acceptance.UNKNOWN;
        });
    }

    /** Cancels a job; true if it is cancelled or unknown, false if that was not confirmed in time. */
    public Future<Boolean> cancel(String job, Duration timeout) {
        return writer(job)
                .submit(
                        reservations -> {
                            boolean cancelled =
                                    ledger.find(job).map(Job::cancelled).orElse(true);
                            return Optional.of(cancelled ? List.of() : List.of(JobRecords.cancelled(job)));
                        },
                        timeout)
                .map(result -> result == ConditionalWriter.Result.DONE);
    }

    /** Appends the result of an item unless it has one or the job was cancelled; false if not confirmed in time. */
    public Future<Boolean> addResult(ItemRef item, boolean completed, String output) {
        ConditionalWriter.Change change = reservations -> {
            Optional<Job> job = ledger.find(item.job());
            if (job.isEmpty() || job.get().hasResult(item.index()) || job.get().cancelled()) {
                return Optional.of(List.of());
            }
            if (reservations.take("result/" + item) > 0) {
                return Optional.empty();
            }
            int position = job.get().resultCount() + reservations.take("results/" + item.job());
            return Optional.of(List.of(JobRecords.result(ItemResult.newBuilder()
                    .setJob(item.job())
                    .setItem(item.index())
                    .setPosition(position)
                    .setCompleted(completed)
                    .setOutput(output)
                    .build())));
        };
        return writer(item.job()).submit(change, WRITE_TIMEOUT).map(result -> result == ConditionalWriter.Result.DONE);
    }

    /** Deletes all records of a job; false if not confirmed in time. */
    public Future<Boolean> delete(String job) {
        return writer(job)
                .submit(
                        reservations -> Optional.of(
                                ledger.find(job).map(JobRecords::deletions).orElse(List.of())),
                        WRITE_TIMEOUT)
                .map(result -> result == ConditionalWriter.Result.DONE);
    }

    /** Increments the failure count of an item; false if not confirmed in time. */
    public Future<Boolean> addFailure(ItemRef item) {
        int newCount =
                ledger.find(item.job()).map(job -> job.failures(item.index())).orElse(0) + 1;
        ConditionalWriter.Change change = reservations -> {
            Optional<Job> job = ledger.find(item.job());
            if (job.isEmpty() || job.get().hasResult(item.index()) || job.get().failures(item.index()) >= newCount) {
                return Optional.of(List.of());
            }
            return Optional.of(List.of(JobRecords.failures(ItemFailures.newBuilder()
                    .setJob(item.job())
                    .setItem(item.index())
                    .setFailures(newCount)
                    .build())));
        };
        return writer(item.job()).submit(change, WRITE_TIMEOUT).map(result -> result == ConditionalWriter.Result.DONE);
    }
}
