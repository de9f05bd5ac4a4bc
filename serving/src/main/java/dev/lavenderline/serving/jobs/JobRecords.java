package dev.lavenderline.serving.jobs;

import dev.lavenderline.proto.jobs.ItemFailures;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobEnded;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.proto.jobs.JobRecord;
import dev.lavenderline.proto.jobs.PayloadRef;
import dev.lavenderline.serving.store.KeyedRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Builds the keyed records of the job topic. Stateless and thread-safe. */
final class JobRecords {
    private static final String PART_PREFIX = "job/";
    private static final String RESULT_PREFIX = "result/";

    private static final String END_PREFIX = "end/";

    /**
     * Largest number of items of a job in a record, far above that of a submission. Bounds the memory that a record of
     * another writer can demand.
     */
    static final int MAX_ITEMS = 10_000;

    private JobRecords() {}

    /** Returns whether the numbers of a record are possible. Unsigned numbers above 31 bits are negative here. */
    static boolean valid(JobRecord record) {
        return switch (record.getBodyCase()) {
            case PART -> valid(record.getPart());
            case RESULT ->
                record.getResult().getItem() >= 0 && record.getResult().getPosition() >= 0;
            case FAILURES ->
                record.getFailures().getItem() >= 0 && record.getFailures().getFailures() >= 0;
            case ENDED -> record.getEnded().getEndedUnixMs() >= 0;
            default -> true;
        };
    }

    private static boolean valid(JobPart part) {
        int total = part.getItemsTotal();
        return total > 0
                && total <= MAX_ITEMS
                && part.getParts() > 0
                && part.getParts() <= total
                && part.getPart() >= 0
                && part.getPart() < part.getParts()
                && part.getItemsCount() > 0
                && part.getFirstItem() >= 0
                && part.getFirstItem() <= total - part.getItemsCount()
                && part.getDueInMs() >= 0
                && part.getRetentionMs() >= 0
                && part.getAttempts() >= 0
                && part.getItemsList().stream().allMatch(item -> item.getTokens() >= 0);
    }

    /** Returns whether the item and position of a valid record are within a job. */
    static boolean concerns(JobRecord record, Job job) {
        return switch (record.getBodyCase()) {
            case RESULT ->
                record.getResult().getItem() < job.itemCount()
                        && record.getResult().getPosition() < job.itemCount();
            case FAILURES -> record.getFailures().getItem() < job.itemCount();
            default -> true;
        };
    }

    /**
     * Returns the parts of a job with the content of their items, split so that each stays below a size limit.
     *
     * @param metadata fields that all parts share
     * @param maxRecordBytes size limit
     */
    static List<JobPart> parts(JobPart metadata, List<JobItem> items, int maxRecordBytes) {
        List<List<JobItem>> groups = new ArrayList<>();
        List<JobItem> group = new ArrayList<>();
        int size = 0;
        for (JobItem item : items) {
            if (!group.isEmpty() && size + item.getSerializedSize() > maxRecordBytes / 2) {
                groups.add(group);
                group = new ArrayList<>();
                size = 0;
            }
            group.add(item);
            size += item.getSerializedSize();
        }
        groups.add(group);
        List<JobPart> parts = new ArrayList<>();
        int first = 0;
        for (List<JobItem> partItems : groups) {
            JobPart part = metadata.toBuilder()
                    .setPart(parts.size())
                    .setParts(groups.size())
                    .setItemsTotal(items.size())
                    .setFirstItem(first)
                    .addAllItems(partItems)
                    .build();
            first += partItems.size();
            parts.add(part);
        }
        return parts;
    }

    static String key(JobPart part) {
        return PART_PREFIX + part.getJob() + "/" + part.getPart();
    }

    /** Returns the id of the job, which may contain slashes, if the key is that of a part. */
    static Optional<String> jobOfPart(String key) {
        int idEnd = key.lastIndexOf('/');
        return key.startsWith(PART_PREFIX) && idEnd >= PART_PREFIX.length()
                ? Optional.of(key.substring(PART_PREFIX.length(), idEnd))
                : Optional.empty();
    }

    static String resultKey(String job, int item) {
        return RESULT_PREFIX + job + "/" + item;
    }

    /** Returns what the keys of the records of a job begin with that may refer to payloads; a number follows. */
    static List<String> payloadPrefixes(String job) {
        return List.of(PART_PREFIX + job + "/", RESULT_PREFIX + job + "/");
    }

    static KeyedRecord part(JobPart part) {
        return record(key(part), JobRecord.newBuilder().setPart(part));
    }

    /** Returns a part that refers to the content of its items. */
    static JobPart withPayload(JobPart part, PayloadRef payload) {
        JobPart.Builder builder = part.toBuilder().clearItems().setPayload(payload);
        part.getItemsList()
                .forEach(item -> builder.addItems(
                        JobItem.newBuilder().setId(item.getId()).setTokens(item.getTokens())));
        return builder.build();
    }

    static KeyedRecord result(ItemResult result) {
        return record(
                resultKey(result.getJob(), result.getItem()),
                JobRecord.newBuilder().setResult(result));
    }

    static KeyedRecord failures(ItemFailures failures) {
        return record(
                "failures/" + failures.getJob() + "/" + failures.getItem(),
                JobRecord.newBuilder().setFailures(failures));
    }

    static KeyedRecord cancelled(String job, long endedUnixMs) {
        JobEnded.Builder ended = JobEnded.newBuilder().setJob(job).setEndedUnixMs(endedUnixMs);
        return record(endKey(job), JobRecord.newBuilder().setEnded(ended));
    }

    private static String endKey(String job) {
        return END_PREFIX + job;
    }

    /** Returns the id of the job if the key is that of its end. */
    static Optional<String> jobOfEnd(String key) {
        return key.startsWith(END_PREFIX) ? Optional.of(key.substring(END_PREFIX.length())) : Optional.empty();
    }

    /** Returns a deletion of the record of a job's end. */
    static KeyedRecord endDeletion(String job) {
        return deletion(endKey(job));
    }

    /** Returns whether a job can have this id; its keys must not exceed the store's limit. */
    static boolean validId(String job) {
        int keyBytes = resultKey(job, MAX_ITEMS).getBytes(StandardCharsets.UTF_8).length;
        return !job.isEmpty() && keyBytes <= KeyedRecord.MAX_KEY_BYTES;
    }

    /** Returns deletions of all keys of a job; its parts come last, so that an incomplete deletion is retried. */
    static List<KeyedRecord> deletions(Job job) {
        List<KeyedRecord> records = new ArrayList<>();
        for (int i = 0; i < job.itemCount(); i++) {
            if (job.hasResult(i)) {
                records.add(deletion(resultKey(job.id(), i)));
            }
            if (job.failures(i) > 0) {
                records.add(deletion("failures/" + job.id() + "/" + i));
            }
        }
        if (job.cancelled()) {
            records.add(endDeletion(job.id()));
        }
        for (int i = 0; i < job.parts(); i++) {
            records.add(deletion("job/" + job.id() + "/" + i));
        }
        return records;
    }

    private static KeyedRecord deletion(String key) {
        return new KeyedRecord(key, new byte[0]);
    }

    private static KeyedRecord record(String key, JobRecord.Builder value) {
        return new KeyedRecord(key, value.build().toByteArray());
    }
}
