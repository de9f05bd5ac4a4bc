package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a read of the list for each resumption, and against resumptions that no read serves. */
class ListReadsTest {
    private static final Duration STEP = Duration.ofMillis(1);

    private final ManualTime time = new ManualTime();
    private final List<Promise<Void>> sent = new ArrayList<>();
    private int ended;
    private final ListReads reads = new ListReads(
            () -> {
                Promise<Void> response = Promise.promise();
                sent.add(response);
                return response.future();
            },
            () -> ended++,
            time,
            time);

    @Test
    void requestsBeforeOneReadShareIt() {
        reads.request();
        assertEquals(0, sent.size(), "within the request");
        time.advance(STEP);
        assertEquals(1, sent.size());
        sent.get(0).complete();
        assertEquals(1, ended);
        reads.request();
        reads.request();
        assertEquals(1, sent.size(), "too soon");
        time.advance(ListReads.MIN_INTERVAL);
        assertEquals(2, sent.size());
        sent.get(1).complete();
        time.advance(Duration.ofSeconds(5));
        assertEquals(2, sent.size());
        assertEquals(2, ended);
    }

    /** Guards against a conclusion of a later request from the read of an earlier one. */
    @Test
    void requestDuringAReadGetsOneOfItsOwn() {
        reads.request();
        time.advance(ListReads.MIN_INTERVAL.plus(STEP));
        reads.request();
        time.advance(STEP);
        assertEquals(1, sent.size());
        sent.get(0).complete();
        time.advance(STEP);
        assertEquals(2, sent.size());
    }

    @Test
    void failedReadEnds() {
        reads.request();
        time.advance(STEP);
        sent.get(0).fail("no response");
        assertEquals(1, ended);
        reads.request();
        time.advance(ListReads.MIN_INTERVAL);
        assertEquals(2, sent.size());
    }

    /** Guards against reads that end for good because a response was lost. */
    @Test
    void readWithoutAResponseIsNotAwaited() {
        reads.request();
        time.advance(STEP);
        reads.request();
        time.advance(ListReads.TIMEOUT.plus(STEP));
        assertEquals(2, sent.size());
        assertEquals(1, ended);
        sent.get(0).complete();
        assertEquals(2, ended, "late response");
        reads.request();
        assertEquals(2, sent.size(), "the second read is awaited");
        sent.get(1).complete();
        time.advance(ListReads.MIN_INTERVAL);
        assertEquals(3, sent.size());
    }
}
