package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against dropping running upstreams after a store outage, and against keeping upstreams that are gone. */
class UpstreamDirectoryTest {
    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "10.0.0.1", 80, "a", 8, false, "v1");
    }

    private void pollEachSecond(int seconds) {
        for (int i = 0; i < seconds; i++) {
            directory.recordStoreResponse();
            directory.expire();
            time.advance(Duration.ofSeconds(1));
        }
    }

    @Test
    void removalTakesEffectAtOnceWithoutOutage() {
        pollEachSecond(3);
        directory.put(upstream("e"));
        directory.remove("e");
        assertTrue(directory.open("s").isEmpty());
    }

    @Test
    void removalAfterAnOutageWaitsForRenewal() {
        pollEachSecond(3);
        directory.put(upstream("e"));
        time.advance(Duration.ofSeconds(5));
        directory.recordStoreResponse();
        directory.remove("e");
        assertEquals(1, directory.open("s").size());
        pollEachSecond(1);
        directory.put(upstream("e"));
        pollEachSecond(5);
        assertEquals(1, directory.open("s").size());
    }

    @Test
    void upstreamNotRenewedAfterAnOutageIsDropped() {
        pollEachSecond(3);
        directory.put(upstream("e"));
        time.advance(Duration.ofSeconds(5));
        directory.recordStoreResponse();
        directory.remove("e");
        pollEachSecond(4);
        assertFalse(directory.find("e").isPresent());
    }

    /** Guards against a grace period that starts with the removal and therefore ends too late. */
    @Test
    void gracePeriodStartsAtTheEndOfTheOutage() {
        pollEachSecond(3);
        directory.put(upstream("e"));
        time.advance(Duration.ofSeconds(5));
        directory.recordStoreResponse();
        time.advance(Duration.ofMillis(1700));
        directory.recordStoreResponse();
        directory.remove("e");
        time.advance(Duration.ofMillis(400));
        directory.expire();
        assertTrue(directory.open("s").isEmpty());
    }

    @Test
    void drainingUpstreamIsRemovedAtOnceAfterAnOutage() {
        pollEachSecond(3);
        directory.put(new Upstream("e", "s", "10.0.0.1", 80, "a", 8, true, "v1"));
        time.advance(Duration.ofSeconds(5));
        directory.recordStoreResponse();
        directory.remove("e");
        assertTrue(directory.find("e").isEmpty());
    }

    @Test
    void distinguishesLeavingFromUnknownUpstreams() {
        pollEachSecond(3);
        directory.put(upstream("e"));
        assertFalse(directory.drainingOrRemoved("e"));
        assertFalse(directory.drainingOrRemoved("unknown"));
        directory.remove("e");
        assertTrue(directory.drainingOrRemoved("e"));
        directory.put(upstream("e"));
        assertFalse(directory.drainingOrRemoved("e"));
    }

    @Test
    void drainingUpstreamIsNotOpen() {
        directory.put(new Upstream("e", "s", "10.0.0.1", 80, "a", 8, true, "v1"));
        assertTrue(directory.open("s").isEmpty());
        assertTrue(directory.find("e").isPresent());
    }

    @Test
    void completeListReplacesTheOldOne() {
        pollEachSecond(3);
        directory.put(upstream("old"));
        directory.replaceAll(List.of(upstream("new")));
        assertTrue(directory.find("old").isEmpty());
        assertTrue(directory.find("new").isPresent());
    }
}
