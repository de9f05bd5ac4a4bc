package dev.lavenderline.bench.history;

import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the exactly-once completion of batch items against the records of the stream {@code work}.
 *
 * <p>Applies the records with its own implementation of the rules of the design page instead of the {@code WorkLedger}
 * under test, and compares the result with what callers read. Not thread-safe.
 */
public final class CompletionChecker {
    private final Map<String, JobHistory> jobs = new TreeMap<>();

    private CompletionChecker() {}

    /** Returns a checker that has applied all records of a stream, given in offset order. */
    public static CompletionChecker of(List<LoggedBatch> records) {
        CompletionChecker checker = new CompletionChecker();
        Map<String, Long> lastSequences = new HashMap<>();
        for (LoggedBatch logged : records) {
            String writer = logged.batch().getWriter();
            long sequence = logged.batch().getSequence();
            if (sequence <= lastSequences.getOrDefault(writer, 0L)) {
                continue;
            }
            lastSequences.put(writer, sequence);
            logged.batch().getEntriesList().forEach(entry -> checker.apply(logged.offset(), entry));
        }
        return checker;
    }

    private void apply(long offset, Entry entry) {
        switch (entry.getBodyCase()) {
            case JOB_CREATED ->
                jobs.putIfAbsent(
                        entry.getJobCreated().getJobId(),
                        new JobHistory(entry.getJobCreated().getItems()));
            case JOB_CLAIMED -> {
                JobHistory job = jobs.get(entry.getJobClaimed().getJobId());
                if (job != null
                        && job.isOpen()
                        && job.claim == entry.getJobClaimed().getPrevious()
                        && job.claim != offset) {
                    job.claim = offset;
                    job.claims++;
                }
            }
            case ITEMS_COMPLETED -> applyResults(entry.getItemsCompleted());
            case JOB_CANCELLED -> endJob(entry.getJobCancelled().getJobId());
            case JOB_CLOSED -> endJob(entry.getJobClosed().getJobId());
            default -> {}
        }
    }

    private void applyResults(ItemsCompleted completed) {
        JobHistory job = jobs.get(completed.getJobId());
        if (job == null || completed.getRepublished()) {
            return;
        }
        for (ItemResult result : completed.getResultsList()) {
            if (completed.getClaim() == job.claim && job.isOpen()) {
                job.results.putIfAbsent(result.getIndex(), result);
            } else {
                job.ignoredResults++;
            }
        }
    }

    private void endJob(String jobId) {
        JobHistory job = jobs.get(jobId);
        if (job != null) {
            job.ended = true;
        }
    }

    /** Returns the number of valid claims of a job. */
    public int claims(String jobId) {
        return jobs.get(jobId).claims;
    }

    /** Returns the number of results that do not count: written under an outdated claim or after the end of the job. */
    public int ignoredResults(String jobId) {
        return jobs.get(jobId).ignoredResults;
    }

    /**
     * Compares the results that a caller read with those on the log.
     *
     * @param customIds the {@code custom_id} of each line of the output file and the error file that the caller read
     * @return the violations found
     */
    public List<String> check(String jobId, List<String> customIds) {
        List<String> violations = new ArrayList<>();
        JobHistory job = jobs.get(jobId);
        if (job == null) {
            return List.of("job " + jobId + " is not on the log");
        }
        Set<String> read = new HashSet<>();
        for (String customId : customIds) {
            if (!read.add(customId)) {
                violations.add("item " + customId + " was read twice");
            }
        }
        Set<String> logged = new HashSet<>();
        job.results.values().forEach(result -> logged.add(result.getCustomId()));
        for (int item = 0; item < job.items; item++) {
            if (!job.results.containsKey(item)) {
                violations.add("item " + item + " has no valid result on the log");
            }
        }
        logged.stream()
                .filter(id -> !read.contains(id))
                .forEach(id -> violations.add("item " + id + " is on the log and was not read"));
        read.stream()
                .filter(id -> !logged.contains(id))
                .forEach(id -> violations.add("item " + id + " was read and is not on the log"));
        return violations;
    }

    private static final class JobHistory {
        private final int items;
        private final Map<Integer, ItemResult> results = new TreeMap<>();
        private long claim;
        private int claims;
        private int ignoredResults;
        private boolean ended;

        private JobHistory(int items) {
            this.items = items;
        }

        private boolean isOpen() {
            return !ended && results.size() < items;
        }
    }
}
