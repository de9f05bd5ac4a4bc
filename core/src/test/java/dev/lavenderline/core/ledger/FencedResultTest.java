package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.cancel;
import static dev.lavenderline.core.ledger.WorkEntries.claim;
import static dev.lavenderline.core.ledger.WorkEntries.close;
import static dev.lavenderline.core.ledger.WorkEntries.complete;
import static dev.lavenderline.core.ledger.WorkEntries.doneItems;
import static dev.lavenderline.core.ledger.WorkEntries.failure;
import static dev.lavenderline.core.ledger.WorkEntries.release;
import static dev.lavenderline.core.ledger.WorkEntries.result;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FencedResultTest {
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

    /** Guards against results that a node writes after a pause in which it lost its claim. */
    @Test
    void resultUnderAReplacedClaimIsIgnored() {
        log.append("b", claim("j", "b", claim));
        log.append("a", complete("j", claim, result(0, "late")));
        assertEquals(List.of(), doneItems(job));
    }

    /** Guards against claim 0 of an unclaimed job being taken for a valid claim. */
    @Test
    void claimZeroIsInvalidOnAnUnclaimedJob() {
        log.append("a", release("j", claim));
        log.append("a", complete("j", 0, result(0, "unowned")), close("j", 0, "deadline"));
        assertEquals(List.of(), doneItems(job));
        assertEquals(Job.State.IN_PROGRESS, job.state());
    }

    /** Guards against a second result of an item, also within one record, and against a wrong count of failures. */
    @Test
    void firstResultOfAnItemWins() {
        long first = log.append("a", complete("j", claim, result(1, "one"), failure(1, "attempts_exhausted")));
        log.append("a", complete("j", claim, failure(1, "attempts_exhausted"), failure(2, "invalid_request")));
        assertEquals(first, job.resultOffset(1).orElseThrow());
        assertEquals(1, job.completed());
        assertEquals(1, job.failed());
        assertEquals(0, job.nextPending(0));
        assertEquals(3, job.nextPending(1));
    }

    /** Guards against an item index outside the job that makes every reader of the log fail. */
    @Test
    void resultOfAnUnknownItemIsIgnored() {
        log.append("a", complete("j", claim, result(3, "x"), result(-1, "y")));
        assertEquals(0, job.done());
        assertThrows(IndexOutOfBoundsException.class, () -> job.isDone(3));
    }

    /** Guards against records that change a cancelled job, and against a cancellation by another workspace. */
    @Test
    void recordsAfterACancellationByTheOwningWorkspaceAreIgnored() {
        log.append("http", cancel("j", "other-workspace"));
        assertEquals(Job.State.IN_PROGRESS, job.state());
        log.append("http", cancel("j", WorkEntries.WORKSPACE));
        log.append("a", complete("j", claim, result(0, "x")), close("j", claim, "deadline"), release("j", claim));
        log.append("b", claim("j", "b", claim));
        assertEquals(Job.State.CANCELLED, job.state());
        assertEquals(0, job.done());
        assertEquals(claim, job.claim());
    }

    /** Guards against a former holder that closes a job, and against results after the close. */
    @Test
    void onlyTheCurrentHolderCanClose() {
        long second = log.append("b", claim("j", "b", claim));
        log.append("a", close("j", claim, "deadline"));
        assertEquals(Job.State.IN_PROGRESS, job.state());
        log.append("b", close("j", second, ""), complete("j", second, result(0, "x")));
        assertEquals(Job.State.EXPIRED, job.state());
        assertEquals("expired", job.closedReason());
        assertEquals(0, job.done());
    }

    /** Guards against a cancellation or a close that changes a completed job. */
    @Test
    void completedIsFinal() {
        log.append("a", complete("j", claim, result(0, ""), result(1, ""), failure(2, "invalid_request")));
        log.append("a", close("j", claim, "deadline"), cancel("j", WorkEntries.WORKSPACE));
        assertEquals(Job.State.COMPLETED, job.state());
        assertEquals(log.now(), job.ended().orElseThrow());
        assertEquals(List.of(), ledger.openJobs());
    }
}
