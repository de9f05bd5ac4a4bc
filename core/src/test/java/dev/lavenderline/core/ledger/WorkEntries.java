package dev.lavenderline.core.ledger;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.FileSealed;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import dev.lavenderline.proto.log.JobCancelled;
import dev.lavenderline.proto.log.JobClaimed;
import dev.lavenderline.proto.log.JobClosed;
import dev.lavenderline.proto.log.JobCreated;
import dev.lavenderline.proto.log.JobReleased;
import dev.lavenderline.proto.log.RoleClaimed;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Builds entries of the stream {@code work}. */
final class WorkEntries {
    static final String WORKSPACE = "estate-desk";
    static final Duration RETENTION = Duration.ofHours(24);

    private WorkEntries() {}

    static WorkLedger ledger() {
        return new WorkLedger(RETENTION, event -> {});
    }

    static Entry chunk(String file, int index, int firstItem, int items) {
        return Entry.newBuilder()
                .setFileChunk(FileChunk.newBuilder()
                        .setFileId(file)
                        .setWorkspace(WORKSPACE)
                        .setIndex(index)
                        .setFirstItem(firstItem)
                        .setItems(items))
                .build();
    }

    static Entry seal(String file, int items, int chunks) {
        return Entry.newBuilder()
                .setFileSealed(FileSealed.newBuilder()
                        .setFileId(file)
                        .setWorkspace(WORKSPACE)
                        .setName(file + ".jsonl")
                        .setItems(items)
                        .setChunks(chunks))
                .build();
    }

    static Entry job(String job, String file, int items) {
        return job(job, file, items, created -> {});
    }

    static Entry job(String job, String file, int items, Consumer<JobCreated.Builder> customizer) {
        JobCreated.Builder created = JobCreated.newBuilder()
                .setJobId(job)
                .setWorkspace(WORKSPACE)
                .setFileId(file)
                .setItems(items);
        customizer.accept(created);
        return Entry.newBuilder().setJobCreated(created).build();
    }

    static Entry claim(String job, String holder, long previous) {
        return Entry.newBuilder()
                .setJobClaimed(
                        JobClaimed.newBuilder().setJobId(job).setHolder(holder).setPrevious(previous))
                .build();
    }

    static Entry release(String job, long claim) {
        return Entry.newBuilder()
                .setJobReleased(JobReleased.newBuilder().setJobId(job).setClaim(claim))
                .build();
    }

    static Entry complete(String job, long claim, ItemResult... results) {
        return Entry.newBuilder()
                .setItemsCompleted(ItemsCompleted.newBuilder()
                        .setJobId(job)
                        .setClaim(claim)
                        .addAllResults(List.of(results)))
                .build();
    }

    static Entry republish(String job, ItemResult... results) {
        return Entry.newBuilder()
                .setItemsCompleted(ItemsCompleted.newBuilder()
                        .setJobId(job)
                        .setRepublished(true)
                        .addAllResults(List.of(results)))
                .build();
    }

    static ItemResult result(int item, String body) {
        return ItemResult.newBuilder()
                .setIndex(item)
                .setBody(ByteString.copyFromUtf8(body))
                .build();
    }

    static ItemResult failure(int item, String code) {
        return ItemResult.newBuilder().setIndex(item).setErrorCode(code).build();
    }

    static Entry cancel(String job, String workspace) {
        return Entry.newBuilder()
                .setJobCancelled(JobCancelled.newBuilder().setJobId(job).setWorkspace(workspace))
                .build();
    }

    static Entry close(String job, long claim, String reason) {
        return Entry.newBuilder()
                .setJobClosed(
                        JobClosed.newBuilder().setJobId(job).setClaim(claim).setReason(reason))
                .build();
    }

    static Entry role(String role, String holder, long previous) {
        return Entry.newBuilder()
                .setRoleClaimed(
                        RoleClaimed.newBuilder().setRole(role).setHolder(holder).setPrevious(previous))
                .build();
    }

    /** Appends a file of one chunk and a job that uses it. */
    static void openJob(LogFixture log, String job, int items) {
        log.append("http", chunk("f-" + job, 0, 0, items), seal("f-" + job, items, 1), job(job, "f-" + job, items));
    }

    static List<Integer> doneItems(Job job) {
        List<Integer> done = new ArrayList<>();
        for (int i = 0; i < job.items(); i++) {
            if (job.isDone(i)) {
                done.add(i);
            }
        }
        return done;
    }
}
