package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.jobs.ItemFailures;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Guards against a record of another writer that fills the memory, throws, or hides the records after it. */
class JobLedgerTest {
    private final List<ServingEvent> events = new ArrayList<>();
    private final JobLedger ledger = new JobLedger(new ManualTime(), (event, fields) -> events.add(event));

    private static JobPart.Builder part(String job) {
        return JobPart.newBuilder()
                .setJob(job)
                .setRoute("r")
                .setParts(1)
                .setItemsTotal(2)
                .setAttempts(3)
                .setRetentionMs(60_000)
                .addItems(JobItem.newBuilder().setId("a").setTokens(10))
                .addItems(JobItem.newBuilder().setId("b").setTokens(20));
    }

    private static KeyedRecord record(String job, UnaryOperator<JobPart.Builder> change) {
        return JobRecords.part(change.apply(part(job)).build());
    }

    private static KeyedRecord result(int item, int position) {
        return JobRecords.result(ItemResult.newBuilder()
                .setJob("good")
                .setItem(item)
                .setPosition(position)
                .setCompleted(true)
                .build());
    }

    @Test
    void recordsWithImpossibleNumbersAreIgnored() {
        List<KeyedRecord> odd = List.of(
                record("odd", part -> part.setItemsTotal(-1)),
                record("odd", part -> part.setItemsTotal(0)),
                record("odd", part -> part.setItemsTotal(1)),
                record("odd", part -> part.setItemsTotal(Integer.MAX_VALUE)),
                record("odd", part -> part.setFirstItem(1)),
                record("odd", part -> part.setFirstItem(-1)),
                record("odd", part -> part.setFirstItem(Integer.MAX_VALUE)),
                record("odd", part -> part.setParts(0)),
                record("odd", part -> part.setPart(1)),
                record("odd", part -> part.setRetentionMs(-1)),
                record("odd", part -> part.setItems(0, JobItem.newBuilder().setTokens(-1))),
                new KeyedRecord("job/odd/0", new byte[] {(byte) 0xff}));
        List<KeyedRecord> all = new ArrayList<>(odd);
        all.add(record("good", part -> part));
        ledger.reset(all, job -> true);
        assertTrue(ledger.find("odd").isEmpty());
        assertEquals(
                List.of("good"), ledger.openByDueTime().stream().map(Job::id).toList());
        assertEquals(odd.size(), events.size());
    }

    @Test
    void resultsOutsideTheJobAreIgnored() {
        ledger.apply(record("good", part -> part));
        ledger.apply(result(0, Integer.MAX_VALUE));
        ledger.apply(result(0, -1));
        ledger.apply(result(2, 0));
        ledger.apply(result(-1, 0));
        ledger.apply(JobRecords.failures(ItemFailures.newBuilder()
                .setJob("good")
                .setItem(2)
                .setFailures(1)
                .build()));
        ledger.apply(record("good", part -> part.setItemsTotal(3).setFirstItem(1)));
        assertEquals(6, events.size());
        ledger.apply(result(1, 0));
        Job job = ledger.find("good").orElseThrow();
        assertEquals(1, job.resultsFrom(0).size());
        assertEquals(10, job.unfinishedTokens());
    }

    @Test
    void oddResultBeforeItsJobDoesNotHideTheOthers() {
        ledger.apply(result(0, Integer.MAX_VALUE));
        ledger.apply(result(1, 0));
        ledger.apply(record("good", part -> part));
        assertEquals(1, ledger.find("good").orElseThrow().resultsFrom(0).size());
        assertEquals(List.of(ServingEvent.RECORD_MALFORMED), events);
    }
}
