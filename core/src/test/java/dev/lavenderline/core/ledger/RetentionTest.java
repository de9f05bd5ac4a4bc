package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.RETENTION;
import static dev.lavenderline.core.ledger.WorkEntries.WORKSPACE;
import static dev.lavenderline.core.ledger.WorkEntries.cancel;
import static dev.lavenderline.core.ledger.WorkEntries.chunk;
import static dev.lavenderline.core.ledger.WorkEntries.job;
import static dev.lavenderline.core.ledger.WorkEntries.seal;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetentionTest {
    private static final Duration ONE_MS = Duration.ofMillis(1);
    private final WorkLedger ledger = WorkEntries.ledger();
    private final LogFixture log = new LogFixture().addReaders(ledger);

    /** Guards against results that are removed early, and against a ledger that grows without bound. */
    @Test
    void endedJobAndItsFileAreRemovedAfterTheRetention() {
        WorkEntries.openJob(log, "j", 2);
        log.advance(RETENTION).append("h");
        assertTrue(ledger.job("j").isPresent(), "an open job is never removed");
        log.append("h", cancel("j", WORKSPACE));
        log.advance(RETENTION.minus(ONE_MS)).append("h");
        assertTrue(ledger.job("j").isPresent());
        assertTrue(ledger.file("f-j").isPresent());
        log.advance(ONE_MS).append("h");
        assertFalse(ledger.job("j").isPresent());
        assertFalse(ledger.file("f-j").isPresent());
        assertEquals(List.of(), ledger.jobs(WORKSPACE));
    }

    /** Guards against the removal of a file while one of its chunks is recent or a job refers to it. */
    @Test
    void unreferencedFileIsKeptOneRetentionAfterItsNewestChunk() {
        log.append("h", chunk("f", 0, 0, 1), seal("f", 1, 1), chunk("unsealed", 0, 0, 1));
        log.advance(RETENTION.minus(ONE_MS)).append("h", chunk("f", 0, 0, 1));
        log.advance(ONE_MS).append("h");
        assertTrue(ledger.file("f").isPresent());
        log.append("h", seal("unsealed", 1, 1));
        assertFalse(ledger.file("unsealed").isPresent());
        log.advance(RETENTION).append("h", job("late", "f", 1));
        assertFalse(ledger.job("late").isPresent());
    }

    /** Guards against readers whose states differ because the log's clock stepped back or one restored a snapshot. */
    @Test
    void logTimeNeverDecreases() {
        WorkEntries.openJob(log, "j", 2);
        log.append("h", cancel("j", WORKSPACE));
        log.advance(RETENTION.minus(ONE_MS)).append("h");
        WorkLedger restored = WorkEntries.ledger();
        restored.restore(ledger.position(), ledger.snapshot());
        log.addReaders(restored).advance(Duration.ofHours(-5)).append("h");
        assertEquals(ledger.logTime(), restored.logTime());
        log.advance(Duration.ofHours(5)).append("h");
        assertTrue(ledger.job("j").isPresent());
        log.advance(ONE_MS).append("h");
        assertFalse(ledger.job("j").isPresent());
        assertArrayEquals(ledger.snapshot(), restored.snapshot());
    }

    /** Guards against a setting that removes jobs as soon as they end. */
    @Test
    void retentionMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> new WorkLedger(Duration.ZERO, event -> {}));
    }
}
