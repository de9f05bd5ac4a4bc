package dev.lavenderline.serving.jobs;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobEnded;
import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.proto.jobs.JobRecord;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * State of the batch jobs, built from the records of the job topic. All nodes that have read the same records have the
 * same state, regardless of the order of records with different keys.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class JobLedger {
    private final Ticker ticker;
    private final EventLog log;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, List<JobRecord>> recordsBeforeJob = new HashMap<>();
    private final EarlyEnds earlyEnds = new EarlyEnds();

    private List<Job> openJobs = List.of();
    private boolean openJobsStale;
    private final List<Consumer<ItemResult>> resultListeners = new ArrayList<>();
    private final List<Consumer<Job>> cancelListeners = new ArrayList<>();

    public JobLedger(Ticker ticker, EventLog log) {
        this.ticker = ticker;
        this.log = log;
    }

    /** Adds a listener for new results. */
    public void onResult(Consumer<ItemResult> listener) {
        resultListeners.add(listener);
    }

    /** Adds a listener for jobs cancelled by their callers. */
    public void onCancelled(Consumer<Job> listener) {
        cancelListeners.add(listener);
    }

    /** Applies a record; applying it again has no effect. */
    public void apply(KeyedRecord record) {
        if (record.deletion()) {
            delete(record.key());
            return;
        }
        try {
            JobRecord value = JobRecord.parseFrom(record.value());
            if (JobRecords.valid(value)) {
                apply(value);
            } else {
                logMalformed(record.key(), "a number is out of range");
            }
        } catch (InvalidProtocolBufferException e) {
            logMalformed(record.key(), e.getMessage());
        }
    }

    private void logMalformed(String key, String message) {
        log.event(ServingEvent.RECORD_MALFORMED, "key", key, "message", message);
    }

    /**
     * Applies the newest record of each key of a partition and forgets the jobs of that partition of which no part is
     * among them. Jobs that stay keep their state, so that listeners are only called for what is new.
     *
     * @param inPartition whether the records of the job with this id are in the partition
     */
    public void reset(List<KeyedRecord> current, Predicate<String> inPartition) {
        Set<String> existing = new HashSet<>();
        current.forEach(record -> JobRecords.jobOfPart(record.key()).ifPresent(existing::add));
        Predicate<String> deleted = id -> inPartition.test(id) && !existing.contains(id);
        // A job is only deleted after it ended, so runs of its items are pointless.
        List<Job> missed = jobs.values().stream()
                .filter(job -> deleted.test(job.id()) && job.open())
                .toList();
        jobs.keySet().removeIf(deleted);
        // All records that exist are in the list.
        recordsBeforeJob.keySet().removeIf(inPartition);
        earlyEnds.removeIf(inPartition);
        openJobsStale = true;
        missed.forEach(job -> cancelListeners.forEach(listener -> listener.accept(job)));
        current.forEach(record -> FailureGuard.run(log, () -> apply(record), "key", record.key()));
    }

    private void delete(String key) {
        JobRecords.jobOfEnd(key).ifPresent(earlyEnds::remove);
        JobRecords.jobOfPart(key).ifPresent(id -> {
            jobs.remove(id);
            recordsBeforeJob.remove(id);
            openJobsStale = true;
        });
    }

    private void apply(JobRecord record) {
        if (record.getBodyCase() == JobRecord.BodyCase.PART) {
            addPart(record.getPart());
            return;
        }
        String id = switch (record.getBodyCase()) {
            case RESULT -> record.getResult().getJob();
            case FAILURES -> record.getFailures().getJob();
            case ENDED -> record.getEnded().getJob();
            default -> "";
        };
        Job job = jobs.get(id);
        if (job == null && record.getBodyCase() == JobRecord.BodyCase.ENDED) {
            earlyEnds.add(id, ticker.nanos() - age(record.getEnded()).toNanos());
            return;
        }
        if (job == null) {
            // The initial read returns records by key, so results may precede their job.
            recordsBeforeJob.computeIfAbsent(id, key -> new ArrayList<>()).add(record);
            return;
        }
        apply(job, record);
    }

    /**
     * Returns the time since a job was accepted, which may be long if this process has just started. Computed from the
     * wall clocks of two nodes, which may differ, and therefore limited to the range from 0 to the retention.
     */
    private Duration age(JobPart part) {
        Duration age = Duration.ofMillis(ticker.now().toEpochMilli() - part.getAcceptedUnixMs());
        Duration retention = Duration.ofMillis(part.getRetentionMs());
        if (age.isNegative()) {
            return Duration.ZERO;
        }
        return age.compareTo(retention) < 0 ? age : retention;
    }

    /** Returns the time since a caller ended a job, 0 if the clock of the node that recorded it is ahead. */
    private Duration age(JobEnded ended) {
        return Duration.ofMillis(Math.max(0, ticker.now().toEpochMilli() - ended.getEndedUnixMs()));
    }

    private void addPart(JobPart part) {
        Job job = jobs.computeIfAbsent(
                part.getJob(), id -> new Job(part, ticker.nanos() - age(part).toNanos()));
        if (job.itemCount() != part.getItemsTotal() || job.parts() != part.getParts()) {
            logMalformed(JobRecords.key(part), "the job has other numbers of items or parts");
            return;
        }
        job.addPart(part);
        openJobsStale = true;
        List<JobRecord> records = recordsBeforeJob.remove(part.getJob());
        if (records != null) {
            records.forEach(record -> apply(job, record));
        }
        if (earlyEnds.remove(part.getJob())) {
            cancel(job);
        }
    }

    private void cancel(Job job) {
        if (!job.cancelled()) {
            job.cancel();
            openJobsStale = true;
            cancelListeners.forEach(listener -> listener.accept(job));
        }
    }

    private void apply(Job job, JobRecord record) {
        if (!JobRecords.concerns(record, job)) {
            logMalformed(job.id(), "the job has no such item");
            return;
        }
        switch (record.getBodyCase()) {
            case RESULT -> {
                if (job.addResult(record.getResult())) {
                    openJobsStale |= !job.open();
                    resultListeners.forEach(listener -> listener.accept(record.getResult()));
                }
            }
            case FAILURES ->
                job.setFailures(
                        record.getFailures().getItem(), record.getFailures().getFailures());
            case ENDED -> cancel(job);
            default -> log.event(ServingEvent.RECORD_MALFORMED, "job", job.id(), "message", "record has no known body");
        }
    }

    /** Returns a job; empty if it is unknown or not all of its parts have been read. */
    public Optional<Job> find(String id) {
        return Optional.ofNullable(jobs.get(id)).filter(Job::allPartsRead);
    }

    /** Returns whether a caller ended a job of which no part has been read. */
    boolean endedBeforeJob(String id) {
        return earlyEnds.contains(id);
    }

    /** Returns whether the end of a job may be recorded of which no part has been read. */
    boolean hasRoomForEnd(String id) {
        return earlyEnds.hasRoomFor(id);
    }

    /** Returns the jobs that were ended before any of their parts was read, by the time of the end (ticker's clock). */
    public Map<String, Long> endsBeforeJob() {
        return earlyEnds.times();
    }

    /** Returns all jobs, including those of which some parts have not been read. */
    public Collection<Job> all() {
        return jobs.values();
    }

    /** Returns the open jobs, earliest due time first. */
    public List<Job> openByDueTime() {
        if (openJobsStale) {
            openJobsStale = false;
            openJobs = jobs.values().stream()
                    .filter(job -> job.allPartsRead() && job.open())
                    .sorted(Comparator.comparingLong(Job::dueNanos).thenComparing(Job::id))
                    .toList();
        }
        return openJobs;
    }

    /**
     * Returns the tokens of a route's items that have no result, excluding cancelled jobs.
     *
     * @param workspace name of the workspace whose items count; empty for those of all callers
     */
    public long waitingTokens(String route, String workspace) {
        return jobs.values().stream()
                .filter(job -> job.route().equals(route))
                .filter(job -> workspace.isEmpty() || job.workspace().equals(workspace))
                .mapToLong(Job::unfinishedTokens)
                .sum();
    }
}
