package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against dropping running upstreams after a store outage, and against keeping upstreams that are gone. */
class UpstreamDirectoryTest {
    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "10.0.0.1", 80, "a", 8, false, "v1");
    }

    private boolean limited() {
        return directory.limit(directory.find("e").orElseThrow()).isPresent();
    }

    private boolean respond(OptionalDouble limit, long sentNanos) {
        return directory
                .noteResponse(directory.find("e").orElseThrow(), false, limit, sentNanos)
                .isPresent();
    }

    @Test
    void limitEndsWithAResponseThatNamesNone() {
        directory.put(upstream("e"));
        assertTrue(respond(OptionalDouble.of(2), time.nanos()));
        assertFalse(respond(OptionalDouble.of(2), time.nanos()), "no news");
        assertTrue(respond(OptionalDouble.of(3), time.nanos()), "another limit");
        time.advance(Duration.ofSeconds(1));
        assertTrue(respond(OptionalDouble.empty(), time.nanos()));
        assertFalse(limited());
        assertFalse(respond(OptionalDouble.empty(), time.nanos()), "no news");
    }

    /** Its response may have been sent before the one with the limit. */
    @Test
    void responseToAnEarlierRequestDoesNotEndALimit() {
        directory.put(upstream("e"));
        long earlierNanos = time.nanos();
        time.advance(Duration.ofMillis(10));
        respond(OptionalDouble.of(2), earlierNanos);
        time.advance(Duration.ofMillis(10));
        assertFalse(respond(OptionalDouble.empty(), earlierNanos));
        assertTrue(limited());
    }

    @Test
    void upstreamThatStartsAgainHasNoLimit() {
        directory.put(upstream("e"));
        respond(OptionalDouble.of(2), time.nanos());
        directory.put(new Upstream("e", "s", "10.0.0.1", 80, "a", 8, false, "v1", 5));
        assertFalse(limited());
        assertFalse(directory.limited("s"));
    }

    @Test
    void limitFromANodeThatDoesNotKnowOfTheLeaveKeepsIt() {
        directory.put(upstream("e"));
        directory.note(new UpstreamNotice("e", 0, true, OptionalDouble.empty()));
        assertTrue(directory.note(new UpstreamNotice("e", 0, false, OptionalDouble.of(2))));
        assertTrue(directory.drainingOrRemoved("e"));
        assertFalse(directory.note(new UpstreamNotice("e", 0, false, OptionalDouble.of(2))), "no news");
    }

    /** Another node may report late what it heard before the upstream started again. */
    @Test
    void noticeOfAnEarlierStartIsIgnored() {
        directory.put(new Upstream("e", "s", "10.0.0.1", 80, "a", 8, false, "v1", 5));
        respond(OptionalDouble.of(2), time.nanos());
        assertFalse(directory.note(new UpstreamNotice("e", 4, true, OptionalDouble.empty())));
        assertTrue(limited());
        assertFalse(directory.drainingOrRemoved("e"));
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

    /** An upstream may cancel its shutdown; nothing else would say that it takes requests again. */
    @Test
    void upstreamThatSaidThatItLeavesIsTriedAgainIfItStays() {
        directory.put(upstream("e"));
        directory.noteResponse(upstream("e"), true, OptionalDouble.empty(), time.nanos());
        assertEquals(List.of(), directory.open("s"));
        time.advance(UpstreamDirectory.LEAVING_PERIOD.minusMillis(1));
        assertTrue(directory.drainingOrRemoved("e"));
        time.advance(Duration.ofMillis(1));
        assertFalse(directory.drainingOrRemoved("e"));
        assertEquals(1, directory.open("s").size());
        assertFalse(
                directory
                        .noteResponse(upstream("e"), true, OptionalDouble.empty(), time.nanos())
                        .isPresent(),
                "no news for others");
        assertTrue(directory.drainingOrRemoved("e"), "it has said so again");
    }

    /** Nodes tell each other what they know, again with each change of the scheduler. */
    @Test
    void noticeOfAnotherNodeDoesNotKeepAnUpstreamOut() {
        directory.put(upstream("e"));
        UpstreamNotice notice = new UpstreamNotice("e", 0, true, OptionalDouble.empty());
        assertTrue(directory.note(notice));
        for (int i = 0; i < 4; i++) {
            assertTrue(directory.drainingOrRemoved("e"));
            time.advance(UpstreamDirectory.LEAVING_PERIOD.dividedBy(4));
            assertFalse(directory.note(notice));
        }
        assertFalse(directory.drainingOrRemoved("e"));
        assertFalse(directory.note(new UpstreamNotice("e", 0, false, OptionalDouble.empty())));
        assertFalse(directory.drainingOrRemoved("e"));
    }
}
