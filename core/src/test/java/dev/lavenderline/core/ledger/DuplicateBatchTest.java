package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.claim;
import static dev.lavenderline.core.ledger.WorkEntries.release;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.proto.log.RecordBatch;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DuplicateBatchTest {
    private final List<WorkEvent> events = new ArrayList<>();
    private final WorkLedger ledger = new WorkLedger(WorkEntries.RETENTION, events::add);
    private final LogFixture log = new LogFixture().addReaders(ledger);

    @BeforeEach
    void openJob() {
        WorkEntries.openJob(log, "j", 2);
        events.clear();
    }

    /** Guards against a released claim that is restored by a second append of its batch after a lost response. */
    @Test
    void lateDuplicateOfABatchIsDropped() {
        RecordBatch first = log.batch("a", List.of(claim("j", "a", 0)));
        long offset = log.append(first);
        log.append("a", release("j", offset));
        log.append(first);
        assertEquals(0, ledger.job("j").orElseThrow().claim());
        assertEquals(2, events.size());
        assertEquals(log.records().size(), ledger.position());
    }

    /** Guards against sequence numbers of one writer that cause batches of another to be dropped. */
    @Test
    void sequencesOfWritersAreIndependent() {
        log.append("a");
        log.append("a");
        long claim = log.append("b", claim("j", "b", 0));
        assertEquals(claim, ledger.job("j").orElseThrow().claim());
    }

    /** Guards against a table of writers that grows with each restart of a node. */
    @Test
    void idleWriterIsRemovedAfterItsRetentionInLogTime() {
        RecordBatch batch = log.batch("a", List.of(claim("j", "a", 0)));
        long first = log.append(batch);
        log.append("b", release("j", first));
        log.advance(WriterSequences.IDLE_WRITER_RETENTION.minus(Duration.ofMillis(1)))
                .append(batch);
        assertEquals(0, ledger.job("j").orElseThrow().claim(), "a duplicate within the retention is dropped");
        log.advance(WriterSequences.IDLE_WRITER_RETENTION);
        long claim = log.append(batch);
        assertEquals(claim, ledger.job("j").orElseThrow().claim());
    }

    /** Guards against a follower that delivers a record again after it has reconnected. */
    @Test
    void recordAtOrBelowThePositionIsIgnored() {
        long claim = log.append("a", claim("j", "a", 0));
        ledger.apply(claim, log.now(), log.batch("b", List.of(release("j", claim))));
        assertEquals("a", ledger.job("j").orElseThrow().holder());
    }
}
