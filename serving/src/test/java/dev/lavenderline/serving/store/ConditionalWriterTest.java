package dev.lavenderline.serving.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.store.ConditionalWriter.Result;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against changes that wait for another one that fails. */
class ConditionalWriterTest {
    private static final Partition PARTITION = new Partition("jobs", 0);
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final PartitionFollower follower = new PartitionFollower(
            store,
            PARTITION,
            new KeyedListener() {
                @Override
                public void reset(List<KeyedRecord> current) {}

                @Override
                public void record(KeyedRecord newer) {}
            },
            time,
            time,
            EventLog.NONE,
            Duration.ofSeconds(1),
            () -> Duration.ofMillis(100));
    private final ConditionalWriter writer =
            new ConditionalWriter(store, PARTITION, follower, time, time, EventLog.NONE);

    private Future<Result> submit(String name) {
        return writer.submit(name, reservations -> Optional.of(List.of(new KeyedRecord(name, new byte[] {1}))), LIMIT);
    }

    @Test
    void changeThatThrowsIsAbandoned() {
        Future<Result> failed = writer.submit(
                "failed",
                reservations -> {
                    throw new IllegalStateException("spoiled state");
                },
                LIMIT);
        Future<Result> other = submit("other");
        follower.start();
        Future<Result> later = submit("later");
        assertEquals(Result.NOT_APPENDED, failed.result());
        assertEquals(Result.DONE, other.result());
        assertEquals(Result.DONE, later.result());
        assertEquals(0, writer.waiting());
    }

    @Test
    void outcomeThatThrowsKeepsNoOtherChangeFromItsOwn() {
        submit("first").onSuccess(done -> {
            throw new IllegalStateException("reader failed");
        });
        Future<Result> second = submit("second");
        follower.start();
        Future<Result> third = submit("third");
        assertEquals(Result.DONE, second.result());
        assertEquals(Result.DONE, third.result());
    }
}
