package dev.lavenderline.core.ledger;

import dev.lavenderline.core.ledger.LogFixture.Stored;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Simple reference implementation of {@link WorkLedger} for one file and its jobs. */
final class WorkModel {
    static final long HOUR_MS = 3_600_000;

    static final class ModelJob {
        long claim;
        String holder = "";
        String endState = "";
        long endedMs;
        final TreeMap<Integer, ItemResult> results = new TreeMap<>();
        final TreeMap<Integer, Long> offsets = new TreeMap<>();
    }

    final TreeMap<String, ModelJob> jobs = new TreeMap<>();
    int staleResults;
    private final int items;
    // Sequence number and log time of the last batch of each writer.
    private final Map<String, long[]> writers = new HashMap<>();
    private long newestChunkMs = -1;
    private boolean sealed;
    private long logTimeMs;

    WorkModel(int items) {
        this.items = items;
    }

    void apply(Stored stored) {
        logTimeMs = Math.max(logTimeMs, stored.time().toEpochMilli());
        writers.values().removeIf(lastBatch -> logTimeMs - lastBatch[1] >= 48 * HOUR_MS);
        jobs.values().removeIf(job -> !job.endState.isEmpty() && logTimeMs - job.endedMs >= 24 * HOUR_MS);
        if (jobs.isEmpty() && logTimeMs - newestChunkMs >= 24 * HOUR_MS) {
            newestChunkMs = -1;
            sealed = false;
        }
        long[] lastBatch = writers.computeIfAbsent(stored.batch().getWriter(), writer -> new long[2]);
        lastBatch[1] = logTimeMs;
        if (stored.batch().getSequence() <= lastBatch[0]) {
            return;
        }
        lastBatch[0] = stored.batch().getSequence();
        stored.batch().getEntriesList().forEach(entry -> apply(stored.offset(), entry));
    }

    private void apply(long offset, Entry entry) {
        switch (entry.getBodyCase()) {
            case FILE_CHUNK -> newestChunkMs = logTimeMs;
            case FILE_SEALED -> sealed = newestChunkMs >= 0;
            case JOB_CREATED -> {
                if (sealed) {
                    jobs.putIfAbsent(entry.getJobCreated().getJobId(), new ModelJob());
                }
            }
            case JOB_CLAIMED -> {
                ModelJob job = openJob(entry.getJobClaimed().getJobId());
                if (job != null && job.claim == entry.getJobClaimed().getPrevious() && job.claim != offset) {
                    job.claim = offset;
                    job.holder = entry.getJobClaimed().getHolder();
                }
            }
            case JOB_RELEASED -> {
                ModelJob job = claimedJob(
                        entry.getJobReleased().getJobId(),
                        entry.getJobReleased().getClaim());
                if (job != null) {
                    job.claim = 0;
                    job.holder = "";
                }
            }
            case ITEMS_COMPLETED -> complete(offset, entry.getItemsCompleted());
            case JOB_CANCELLED -> {
                ModelJob job = openJob(entry.getJobCancelled().getJobId());
                if (job != null && entry.getJobCancelled().getWorkspace().equals(WorkEntries.WORKSPACE)) {
                    end(job, "CANCELLED");
                }
            }
            case JOB_CLOSED -> {
                ModelJob job = claimedJob(
                        entry.getJobClosed().getJobId(), entry.getJobClosed().getClaim());
                if (job != null) {
                    end(job, "EXPIRED");
                }
            }
            default -> throw new AssertionError(entry);
        }
    }

    private void complete(long offset, ItemsCompleted completed) {
        ModelJob known = jobs.get(completed.getJobId());
        if (completed.getRepublished()) {
            if (known != null) {
                completed
                        .getResultsList()
                        .forEach(result -> known.offsets.computeIfPresent(result.getIndex(), (i, old) -> offset));
            }
            return;
        }
        ModelJob job = claimedJob(completed.getJobId(), completed.getClaim());
        if (job == null) {
            staleResults += openJob(completed.getJobId()) == null ? 0 : 1;
            return;
        }
        for (ItemResult result : completed.getResultsList()) {
            if (job.results.putIfAbsent(result.getIndex(), result) == null) {
                job.offsets.put(result.getIndex(), offset);
            }
        }
        if (job.results.size() == items) {
            end(job, "COMPLETED");
        }
    }

    private ModelJob openJob(String id) {
        ModelJob job = jobs.get(id);
        return job == null || !job.endState.isEmpty() ? null : job;
    }

    private ModelJob claimedJob(String id, long claim) {
        ModelJob job = openJob(id);
        return job == null || claim == 0 || job.claim != claim ? null : job;
    }

    private void end(ModelJob job, String state) {
        job.endState = state;
        job.endedMs = logTimeMs;
    }
}
