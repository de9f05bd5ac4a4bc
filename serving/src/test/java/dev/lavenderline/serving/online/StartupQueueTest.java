package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against rejecting callers that connect a moment before a restarted node can serve them. */
class StartupQueueTest {
    private final ManualTime time = new ManualTime();
    private final List<String> outcomes = new ArrayList<>();
    private boolean ready;
    private final StartupQueue queue = new StartupQueue(() -> ready, time, time);

    private void submit(String name, Duration maxWait) {
        queue.submit(maxWait, () -> outcomes.add(name + " served"), () -> outcomes.add(name + " rejected"));
    }

    @Test
    void earlyRequestsAreServedInOrderOnceReady() {
        submit("first", Duration.ofSeconds(1));
        submit("second", Duration.ofSeconds(1));
        time.advance(Duration.ofMillis(300));
        assertEquals(List.of(), outcomes);
        ready = true;
        time.advance(Duration.ofMillis(20));
        submit("third", Duration.ofSeconds(1));
        assertEquals(List.of("first served", "second served", "third served"), outcomes);
    }

    @Test
    void requestIsRejectedOnceIfTheStartTakesTooLong() {
        submit("short", Duration.ofMillis(400));
        submit("long", Duration.ofMinutes(1));
        time.advance(Duration.ofMillis(450));
        assertEquals(List.of("short rejected"), outcomes);
        time.advance(StartupQueue.MAX_WAIT);
        ready = true;
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("short rejected", "long rejected"), outcomes);
    }

    /** Guards against callers without an answer since the handling of another one failed. */
    @Test
    void failureOfOneRequestDoesNotEndTheChecks() {
        queue.submit(Duration.ofMillis(100), () -> {}, () -> {
            throw new IllegalStateException("rejection failed");
        });
        submit("later", Duration.ofMillis(500));
        assertThrows(IllegalStateException.class, () -> time.advance(Duration.ofMillis(200)));
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("later rejected"), outcomes);
    }
}
