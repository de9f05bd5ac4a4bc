package dev.lavenderline.serving.jobs;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.proto.jobs.JobRecord;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * State of the batch jobs as the records of the job topic give it. All nodes that have read the same records have the
 * same state, whatever the order of the records of different keys.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class JobLedger {
    private final Ticker ticker;
    private final EventLog log;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, List<JobRecord>> early = new HashMap<>();
    private List<Job> openOrder = List.of();
    private boolean openOrderStale;
    private final List<Consumer<ItemResult>> resultListeners = new ArrayList<>();
    private final List<Consumer<Job>> endListeners = new ArrayList<>();

    public JobLedger(Ticker ticker, EventLog log) {
        this.ticker = ticker;
        this.log = log;
    }

    /** Adds a listener for new results. */
    public void onResult(Consumer<ItemResult> listener) {
        resultListeners.add(listener);
    }

    /** Adds a listener for jobs that their callers ended. */
    public void onEnded(Consumer<Job> listener) {
        endListeners.add(listener);
    }

    /** Applies a record; the same record may come again. */
    public void apply(KeyedRecord record) {
        if (record.deletion()) {
            forget(record.key());
            return;
        }
        try {
            apply(JobRecord.parseFrom(record.value()));
        } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
            log.event(ServingEvent.RECORD_MALFORMED, "key", record.key(), "message", e.getMessage());
        }
    }

    private void forget(String key) {
        String[] words = key.split("/", 3);
        if (words.length >= 2 && words[0].equals("job")) {
            jobs.remove(words[1]);
            early.remove(words[1]);
            openOrderStale = true;
        }
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
        if (job == null) {
            // Keys are read in their own order after a start, so that results can come before their job.
            early.computeIfAbsent(id, key -> new ArrayList<>()).add(record);
            return;
        }
        apply(job, record);
    }

    /** A process that starts later learns of a job long after another clock saw its acceptance. */
    private Duration age(JobPart part) {
        Duration age = Duration.ofMillis(ticker.now().toEpochMilli() - part.getAcceptedUnixMs());
        Duration longest = Duration.ofMillis(part.getRetentionMs());
        if (age.isNegative()) {
            return Duration.ZERO;
        }
        return age.compareTo(longest) < 0 ? age : longest;
    }

    private void addPart(JobPart part) {
        Job job = jobs.computeIfAbsent(
                part.getJob(), id -> new Job(part, ticker.nanos() - age(part).toNanos()));
        job.addPart(part);
        openOrderStale = true;
        List<JobRecord> waiting = early.remove(part.getJob());
        if (waiting != null) {
            waiting.forEach(record -> apply(job, record));
        }
    }

    private void apply(Job job, JobRecord record) {
        switch (record.getBodyCase()) {
            case RESULT -> {
                if (job.addResult(record.getResult())) {
                    openOrderStale |= !job.open();
                    resultListeners.forEach(listener -> listener.accept(record.getResult()));
                }
            }
            case FAILURES ->
                job.setFailures(
                        record.getFailures().getItem(), record.getFailures().getFailures());
            case ENDED -> {
                if (!job.ended()) {
                    job.end();
                    openOrderStale = true;
                    endListeners.forEach(listener -> listener.accept(job));
                }
            }
            default -> log.event(ServingEvent.RECORD_MALFORMED, "job", job.id(), "message", "unknown kind");
        }
    }

    /** Returns a job of which all parts have been read. */
    public Optional<Job> find(String id) {
        return Optional.ofNullable(jobs.get(id)).filter(Job::complete);
    }

    /** Returns all jobs. */
    public Collection<Job> all() {
        return jobs.values();
    }

    /** Returns the open jobs by due time. */
    public List<Job> openByDueTime() {
        if (openOrderStale) {
            openOrderStale = false;
            openOrder = jobs.values().stream()
                    .filter(job -> job.complete() && job.open())
                    .sorted(Comparator.comparingLong(Job::dueNanos).thenComparing(Job::id))
                    .toList();
        }
        return openOrder;
    }

    /** Returns the tokens of the items of a route that have no result. */
    public long waitingTokens(String route) {
        return jobs.values().stream()
                .filter(job -> job.route().equals(route))
                .mapToLong(Job::unfinishedTokens)
                .sum();
    }
}
