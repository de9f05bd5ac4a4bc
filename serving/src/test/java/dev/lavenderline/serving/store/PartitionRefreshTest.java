package dev.lavenderline.serving.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.DeployedStack;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a node that can't read a partition to its end if the store returns it in many small slices. */
class PartitionRefreshTest {
    private static final int RECORDS = 20_000;

    private final SlicedStore store = new SlicedStore();
    private int delivered;
    private final PartitionFollower follower = new PartitionFollower(
            store,
            new Partition("jobs", 0),
            new KeyedListener() {
                @Override
                public void reset(List<KeyedRecord> current) {}

                @Override
                public void record(KeyedRecord newer) {
                    delivered++;
                }
            },
            new ManualTime(),
            new ManualTime(),
            EventLog.NONE,
            Duration.ofSeconds(1),
            () -> Duration.ZERO);

    /** A store that returns one record at a time, later. */
    private static final class SlicedStore implements MetadataStore {
        private record Read(long from, Promise<LogSlice> answer) {}

        final Deque<Read> reads = new ArrayDeque<>();

        @Override
        public Future<LogSlice> read(Partition partition, long from, Duration wait) {
            Promise<LogSlice> answer = Promise.promise();
            if (wait.isZero()) {
                reads.add(new Read(from, answer));
            }
            return answer.future();
        }

        @Override
        public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
            return Future.failedFuture("not used");
        }

        @Override
        public Future<KeyedPage> newest(Partition partition, String after) {
            return Future.succeededFuture(new KeyedPage(List.of(), 0, false));
        }

        @Override
        public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
            return Future.failedFuture("not used");
        }

        @Override
        public void renewConnections() {}

        void answerAll() {
            while (!reads.isEmpty()) {
                Read read = reads.poll();
                KeyedRecord record = new KeyedRecord("key" + read.from(), new byte[] {1});
                read.answer().complete(new LogSlice(read.from(), List.of(record), RECORDS));
            }
        }
    }

    @Test
    void manySlicesAreReadOnTheStackOfTheProgram() throws Exception {
        follower.start();
        Future<Void> refreshed = follower.refresh();
        DeployedStack.run(store::answerAll);
        assertEquals(RECORDS, delivered);
        assertTrue(refreshed.succeeded());
    }
}
