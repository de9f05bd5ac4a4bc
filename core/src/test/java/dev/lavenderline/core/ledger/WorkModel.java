package dev.lavenderline.core.ledger;

import dev.lavenderline.core.ledger.LogFixture.Stored;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The rules of the stream {@code work} for one file and its jobs, written as plainly as possible. */
final class WorkModel {
    static final long HOUR_MS = 3_600_000;

    static final class ModelJob {
        long claim;
        String holder = "";
        String end = "";
        long endedMs;
        final TreeMap<Integer, ItemResult> results = new TreeMap<>();
        final TreeMap<Integer, Long> offsets = new TreeMap<>();
    }

    final TreeMap<String, ModelJob> jobs = new TreeMap<>();
    int outdatedResults;
    private final int items;
    private final Map<String, long[]> writers = new HashMap<>();
    private long chunkMs = -1;
    private boolean sealed;
    private long now;

    WorkModel(int items) {
        this.items = items;
    }

    void apply(Stored stored) {
        now = Math.max(now, stored.time().toEpochMilli());
        writers.values().removeIf(seen -> now - seen[1] >= 48 * HOUR_MS);
        jobs.values().removeIf(job -> !job.end.isEmpty() && now - job.endedMs >= 24 * HOUR_MS);
        if (jobs.isEmpty() && now - chunkMs >= 24 * HOUR_MS) {
            chunkMs = -1;
            sealed = false;
        }
        long[] seen = writers.computeIfAbsent(stored.batch().getWriter(), writer -> new long[2]);
        seen[1] = now;
        if (stored.batch().getSequence() <= seen[0]) {
            return;
        }
        seen[0] = stored.batch().getSequence();
        stored.batch().getEntriesList().forEach(entry -> apply(stored.offset(), entry));
    }

    private void apply(long offset, Entry entry) {
        switch (entry.getBodyCase()) {
            case FILE_CHUNK -> chunkMs = now;
            case FILE_SEALED -> sealed = chunkMs >= 0;
            case JOB_CREATED -> {
                if (sealed) {
                    jobs.putIfAbsent(entry.getJobCreated().getJobId(), new ModelJob());
                }
            }
            case JOB_CLAIMED -> {
                ModelJob job = open(entry.getJobClaimed().getJobId());
                if (job != null && job.claim == entry.getJobClaimed().getPrevious() && job.claim != offset) {
                    job.claim = offset;
                    job.holder = entry.getJobClaimed().getHolder();
                }
            }
            case JOB_RELEASED -> {
                ModelJob job = owned(
                        entry.getJobReleased().getJobId(),
                        entry.getJobReleased().getClaim());
                if (job != null) {
                    job.claim = 0;
                    job.holder = "";
                }
            }
            case ITEMS_COMPLETED -> complete(offset, entry.getItemsCompleted());
            case JOB_CANCELLED -> {
                ModelJob job = open(entry.getJobCancelled().getJobId());
                if (job != null && entry.getJobCancelled().getWorkspace().equals(WorkEntries.WORKSPACE)) {
                    end(job, "CANCELLED");
                }
            }
            case JOB_CLOSED -> {
                ModelJob job = owned(
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
        ModelJob job = owned(completed.getJobId(), completed.getClaim());
        if (job == null) {
            outdatedResults += open(completed.getJobId()) == null ? 0 : 1;
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

    private ModelJob open(String id) {
        ModelJob job = jobs.get(id);
        return job == null || !job.end.isEmpty() ? null : job;
    }

    private ModelJob owned(String id, long claim) {
        ModelJob job = open(id);
        return job == null || claim == 0 || job.claim != claim ? null : job;
    }

    private void end(ModelJob job, String how) {
        job.end = how;
        job.endedMs = now;
    }
}
