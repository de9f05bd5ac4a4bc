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
 * Judges the exactly-once completion of batch items over the stream {@code work}.
 *
 * <p>Folds the records by the rules of the design page on its own, without the product's ledger, and compares the result
 * with what callers read. Not thread-safe.
 */
public final class CompletionChecker {
    private final Map<String, JobTrace> jobs = new TreeMap<>();

    private CompletionChecker() {}

    /** Folds a whole stream. */
    public static CompletionChecker of(List<LoggedBatch> work) {
        CompletionChecker checker = new CompletionChecker();
        Map<String, Long> sequences = new HashMap<>();
        for (LoggedBatch logged : work) {
            String writer = logged.batch().getWriter();
            long sequence = logged.batch().getSequence();
            if (sequence <= sequences.getOrDefault(writer, 0L)) {
                continue;
            }
            sequences.put(writer, sequence);
            logged.batch().getEntriesList().forEach(entry -> checker.fold(logged.offset(), entry));
        }
        return checker;
    }

    private void fold(long offset, Entry entry) {
        switch (entry.getBodyCase()) {
            case JOB_CREATED ->
                jobs.putIfAbsent(
                        entry.getJobCreated().getJobId(),
                        new JobTrace(entry.getJobCreated().getItems()));
            case JOB_CLAIMED -> {
                JobTrace job = jobs.get(entry.getJobClaimed().getJobId());
                if (job != null
                        && job.isOpen()
                        && job.claim == entry.getJobClaimed().getPrevious()
                        && job.claim != offset) {
                    job.claim = offset;
                    job.claims++;
                }
            }
            case ITEMS_COMPLETED -> completed(entry.getItemsCompleted());
            case JOB_CANCELLED -> end(entry.getJobCancelled().getJobId());
            case JOB_CLOSED -> end(entry.getJobClosed().getJobId());
            default -> {}
        }
    }

    private void completed(ItemsCompleted completed) {
        JobTrace job = jobs.get(completed.getJobId());
        if (job == null || completed.getRepublished()) {
            return;
        }
        for (ItemResult result : completed.getResultsList()) {
            if (completed.getClaim() == job.claim && job.isOpen()) {
                job.results.putIfAbsent(result.getIndex(), result);
            } else {
                job.voidResults++;
            }
        }
    }

    private void end(String jobId) {
        JobTrace job = jobs.get(jobId);
        if (job != null) {
            job.ended = true;
        }
    }

    /** Returns how often a job was claimed. */
    public int claims(String jobId) {
        return jobs.get(jobId).claims;
    }

    /** Returns the results that were recorded under claims that were no longer valid. */
    public int voidResults(String jobId) {
        return jobs.get(jobId).voidResults;
    }

    /**
     * Compares a job's results as a caller read them with the log.
     *
     * @param customIds the {@code custom_id} of each line that the caller read, output and errors together
     * @return violations, empty if there are none
     */
    public List<String> check(String jobId, List<String> customIds) {
        List<String> violations = new ArrayList<>();
        JobTrace job = jobs.get(jobId);
        if (job == null) {
            return List.of("job " + jobId + " is not on the log");
        }
        Set<String> seen = new HashSet<>();
        for (String customId : customIds) {
            if (!seen.add(customId)) {
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
                .filter(id -> !seen.contains(id))
                .forEach(id -> violations.add("item " + id + " is on the log and was not read"));
        seen.stream()
                .filter(id -> !logged.contains(id))
                .forEach(id -> violations.add("item " + id + " was read and is not on the log"));
        return violations;
    }

    private static final class JobTrace {
        private final int items;
        private final Map<Integer, ItemResult> results = new TreeMap<>();
        private long claim;
        private int claims;
        private int voidResults;
        private boolean ended;

        private JobTrace(int items) {
            this.items = items;
        }

        private boolean isOpen() {
            return !ended && results.size() < items;
        }
    }
}
