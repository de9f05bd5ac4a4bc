package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.log.RecordBatch;
import io.vavr.control.Either;
import io.vertx.core.Future;
import org.junit.jupiter.api.Test;

/** Guards against a wrong batch for an offset, an unbounded cache, and one read per batch in sequential access. */
class RecordReaderTest extends LogFixture {
    private static final int VALUE_BYTES = 1_000;

    private final RecordReader reader = new RecordReader(log, 10 * VALUE_BYTES, 5 * VALUE_BYTES);

    private void storeValues(int count) {
        for (int i = 1; i <= count; i++) {
            log.store(RecordingLedger.batch("n1", i, i + "x".repeat(VALUE_BYTES - 100)));
        }
    }

    private Either<LogError, RecordBatch> fetch(long offset) {
        Future<Either<LogError, RecordBatch>> outcome = Futures.toFuture(reader.fetch("work", offset));
        until(outcome::isComplete);
        return outcome.result();
    }

    @Test
    void consecutiveBatchesAreReadTogether() {
        storeValues(40);
        for (int offset = 1; offset <= 40; offset++) {
            assertEquals(offset, fetch(offset).get().getSequence());
        }
        // A read returns 5 or 6 batches.
        assertTrue(log.reads() <= 10, log.reads() + " reads");
    }

    @Test
    void scatteredBatchesAreReadOneByOneAndTheLeastRecentlyUsedAreEvicted() {
        storeValues(40);
        for (int offset = 40; offset >= 2; offset -= 2) {
            assertEquals(offset, fetch(offset).get().getSequence());
        }
        assertEquals(20, log.reads());
        fetch(4);
        assertEquals(20, log.reads(), "a recent batch is cached");
        fetch(40);
        assertEquals(21, log.reads(), "an old batch was evicted");
    }

    @Test
    void concurrentFetchesOfABatchShareOneRead() {
        storeValues(3);
        Future<Either<LogError, RecordBatch>> first = Futures.toFuture(reader.fetch("work", 2));
        Future<Either<LogError, RecordBatch>> second = Futures.toFuture(reader.fetch("work", 2));
        until(() -> first.isComplete() && second.isComplete());

        assertEquals(1, log.reads());
        assertEquals(2, second.result().get().getSequence());
    }

    @Test
    void failuresAreReturnedAsValuesAndAreNotCached() {
        storeValues(3);
        log.store(new byte[] {(byte) 0xff});
        assertInstanceOf(LogError.Rejected.class, fetch(4).getLeft());
        assertInstanceOf(LogError.Rejected.class, fetch(9).getLeft());
        log.setOutage(true);
        assertInstanceOf(LogError.Unavailable.class, fetch(3).getLeft());
        log.setOutage(false);
        assertEquals(3, fetch(3).get().getSequence());
        log.expireBefore(3);
        assertEquals(Either.left(new LogError.Expired(3)), fetch(1));
    }
}
