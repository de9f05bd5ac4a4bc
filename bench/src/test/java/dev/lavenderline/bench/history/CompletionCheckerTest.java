package dev.lavenderline.bench.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import dev.lavenderline.proto.log.JobClaimed;
import dev.lavenderline.proto.log.JobCreated;
import dev.lavenderline.proto.log.RecordBatch;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a checker that overlooks lost, duplicate or invalid results: each test of a violation plants one. */
final class CompletionCheckerTest {
    private final List<LoggedBatch> log = new ArrayList<>();

    @Test
    void acceptsACorrectHistory() {
        createAndClaim();
        complete(2, 0, 1);

        assertEquals(List.of(), check("item-0", "item-1"));
    }

    @Test
    void reportsALostItem() {
        createAndClaim();
        complete(2, 0);

        assertEquals(List.of("item 1 has no valid result on the log"), check("item-0"));
    }

    @Test
    void reportsAnItemReadTwice() {
        createAndClaim();
        complete(2, 0, 1);

        assertEquals(List.of("item item-1 was read twice"), check("item-0", "item-1", "item-1"));
    }

    @Test
    void reportsAResultUnderAnOutdatedClaim() {
        createAndClaim();
        append("b", 1, Entry.newBuilder().setJobClaimed(claim("b", 2)).build());
        complete(2, 0, 1);

        assertEquals(
                List.of(
                        "item 0 has no valid result on the log",
                        "item 1 has no valid result on the log",
                        "item item-0 was read and is not on the log"),
                check("item-0"));
    }

    @Test
    void reportsAResultThatWasNotRead() {
        createAndClaim();
        complete(2, 0, 1);

        assertEquals(List.of("item item-1 is on the log and was not read"), check("item-0"));
    }

    @Test
    void appliesARepeatedBatchOnce() {
        createAndClaim();
        log.add(new LoggedBatch(log.size() + 1L, log.get(1).batch()));
        complete(2, 0, 1);

        assertEquals(1, CompletionChecker.of(log).claims("job"));
        assertEquals(List.of(), check("item-0", "item-1"));
    }

    private List<String> check(String... customIds) {
        return CompletionChecker.of(log).check("job", List.of(customIds));
    }

    private void createAndClaim() {
        append(
                "a",
                1,
                Entry.newBuilder()
                        .setJobCreated(JobCreated.newBuilder().setJobId("job").setItems(2))
                        .build());
        append("a", 2, Entry.newBuilder().setJobClaimed(claim("a", 0)).build());
    }

    private static JobClaimed claim(String holder, long previous) {
        return JobClaimed.newBuilder()
                .setJobId("job")
                .setHolder(holder)
                .setPrevious(previous)
                .build();
    }

    private void complete(long claim, int... items) {
        ItemsCompleted.Builder completed =
                ItemsCompleted.newBuilder().setJobId("job").setClaim(claim);
        for (int item : items) {
            completed.addResults(ItemResult.newBuilder().setIndex(item).setCustomId("item-" + item));
        }
        append("a", 3, Entry.newBuilder().setItemsCompleted(completed).build());
    }

    private void append(String writer, long sequence, Entry entry) {
        log.add(new LoggedBatch(
                log.size() + 1L,
                RecordBatch.newBuilder()
                        .setVersion(1)
                        .setWriter(writer)
                        .setSequence(sequence)
                        .addEntries(entry)
                        .build()));
    }
}
