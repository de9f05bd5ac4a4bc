package dev.lavenderline.serving.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests about unknown jobs that use up the calls that the store allows. */
class SharedReadsTest {
    private static final Duration PERIOD = Duration.ofMillis(200);

    private final ManualTime time = new ManualTime();
    private final Deque<Promise<Void>> reads = new ArrayDeque<>();
    private final SharedReads shared = new SharedReads(
            () -> {
                reads.add(Promise.promise());
                return reads.getLast().future();
            },
            PERIOD,
            time,
            time);

    @Test
    void callsDuringAReadShareTheNextOne() {
        Future<Void> first = shared.read();
        List<Future<Void>> later = List.of(shared.read(), shared.read());
        time.advance(PERIOD);
        assertEquals(1, reads.size());
        reads.getLast().complete();
        assertTrue(first.succeeded());
        assertFalse(later.get(0).isComplete());
        assertEquals(2, reads.size());
        reads.getLast().fail("no response");
        assertTrue(later.stream().allMatch(Future::failed));
    }

    @Test
    void readsBeginAPeriodApart() {
        shared.read();
        reads.getLast().complete();
        for (int i = 0; i < 100; i++) {
            shared.read();
        }
        assertEquals(1, reads.size());
        time.advance(PERIOD);
        assertEquals(2, reads.size());
        reads.getLast().complete();
        time.advance(PERIOD);
        assertEquals(2, reads.size(), "a read for nobody");
    }
}
