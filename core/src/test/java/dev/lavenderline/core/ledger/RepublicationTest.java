package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.chunk;
import static dev.lavenderline.core.ledger.WorkEntries.claim;
import static dev.lavenderline.core.ledger.WorkEntries.complete;
import static dev.lavenderline.core.ledger.WorkEntries.failure;
import static dev.lavenderline.core.ledger.WorkEntries.republish;
import static dev.lavenderline.core.ledger.WorkEntries.result;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RepublicationTest {
    private final WorkLedger ledger = WorkEntries.ledger();
    private final LogFixture log = new LogFixture().addReaders(ledger);
    private Job job;
    private long claim;

    @BeforeEach
    void claimJob() {
        WorkEntries.openJob(log, "j", 3);
        job = ledger.job("j").orElseThrow();
        claim = log.append("a", claim("j", "a", 0));
    }

    /** Guards against a republished record that adds a result, changes a count or completes a job. */
    @Test
    void onlyLocationsOfExistingResultsChange() {
        log.append("a", complete("j", claim, failure(0, "invalid_request")));
        long moved = log.append("b", republish("j", result(0, "x"), result(1, "y"), result(2, "z"), result(7, "")));
        assertEquals(moved, job.resultOffset(0).orElseThrow());
        assertFalse(job.isDone(1));
        assertEquals(1, job.failed());
        assertEquals(Job.State.IN_PROGRESS, job.state());
    }

    /** Guards against a chunk that is republished with another item range and so shifts the items of a running job. */
    @Test
    void chunkOfASealedFileCanOnlyMove() {
        BatchFile file = ledger.file("f-j").orElseThrow();
        long before = file.chunkOf(0).offset();
        log.append("a", chunk("f-j", 0, 0, 2), chunk("f-j", 1, 3, 1));
        assertEquals(before, file.chunkOf(2).offset());
        log.advance(Duration.ofHours(1));
        long moved = log.append("a", claim("j", "c", 0), chunk("f-j", 0, 0, 3));
        assertEquals(new ChunkLocation(moved, 1, 0, 3, log.now()), file.chunkOf(2));
        assertEquals(1, file.chunks().size());
    }

    /** Guards against reading an ignored result that shares a batch with the valid one. */
    @Test
    void resultIsFoundAmongIgnoredOnesOfTheSameBatch() {
        long second = log.append("a", claim("j", "a", claim));
        long offset = log.append(
                "a",
                complete("other", second, result(0, "other job")),
                complete("j", claim, result(0, "ignored")),
                complete("j", second, result(0, "valid"), result(0, "repeated")),
                complete("j", second, result(0, "repeated")));
        assertEquals(offset, job.resultOffset(0).orElseThrow());
        assertEquals(Optional.of("valid"), body(offset));
        long moved = log.append("b", complete("j", second, result(0, "ignored")), republish("j", result(0, "copy")));
        assertEquals(Optional.of("copy"), body(moved));
    }

    private Optional<String> body(long offset) {
        return WorkLedger.resultIn(log.records().get((int) offset - 1).batch(), "j", 0)
                .map(result -> result.getBody().toStringUtf8());
    }
}
