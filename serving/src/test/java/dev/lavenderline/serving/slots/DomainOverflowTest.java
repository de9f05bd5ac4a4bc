package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against an event at each swing of the load. */
class DomainOverflowTest {
    private final ManualTime time = new ManualTime();
    private final DomainOverflow overflow = new DomainOverflow(time);
    private final List<Boolean> changes = new ArrayList<>();

    /** Places 10 requests a second, of which one in {@code every} leaves its domain; none if it is 0. */
    private void place(int seconds, int every) {
        for (int i = 0; i < 10 * seconds; i++) {
            time.advance(Duration.ofMillis(100));
            String target = every > 0 && i % every == 0 ? "b" : "a";
            overflow.placed("a", target).ifPresent(change -> changes.add(change.overflows()));
        }
    }

    @Test
    void swingIsReportedOnceAndItsEndOnce() {
        place(8, 0);
        assertEquals(List.of(), changes);
        for (int swing = 0; swing < 5; swing++) {
            place(4, 2);
            place(4, 10);
        }
        assertEquals(List.of(true), changes);
        place(9, 0);
        assertEquals(List.of(true, false), changes);
    }
}
