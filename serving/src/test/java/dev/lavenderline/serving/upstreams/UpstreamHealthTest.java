package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that stay in use while they are down, and against ejections for a few lost answers. */
class UpstreamHealthTest {
    /** A service so large that its size does not matter. */
    private static final List<Upstream> MANY =
            IntStream.range(0, 20).mapToObj(i -> upstream("e" + i)).toList();

    private final ManualTime time = new ManualTime();
    private final UpstreamHealth health = new UpstreamHealth(time);

    @Test
    void unreachableUpstreamIsEjectedAtOnceAndTriedOnce() {
        health.unreachable("e");
        assertFalse(health.usable("e"));
        time.advance(UpstreamHealth.FIRST_EJECTION);
        assertTrue(health.usable("e"));
        health.sent("e");
        assertFalse(health.usable("e"), "one trial at a time");
        health.succeeded("e");
        assertTrue(health.usable("e"));
    }

    @Test
    void delayDoublesUpToItsLimit() {
        Duration delay = health.unreachable("e").orElseThrow();
        for (int i = 0; i < 6; i++) {
            time.advance(delay);
            health.sent("e");
            delay = health.unreachable("e").orElseThrow();
        }
        assertEquals(UpstreamHealth.LONGEST_EJECTION, delay);
    }

    @Test
    void failuresOfRequestsThatWereUnderWayDoNotLengthenTheDelay() {
        Duration first = health.unreachable("e").orElseThrow();
        for (int i = 0; i < 8; i++) {
            assertEquals(first, health.unreachable("e").orElseThrow());
        }
    }

    /** Replays trouble-2 of gatewright-line: full engines met by silence were ejected, which filled the others. */
    @Test
    void silenceOfAnUpstreamThatAnswersOthersDoesNotEject() {
        for (int i = 0; i < 50; i++) {
            health.succeeded("e");
            time.advance(Duration.ofMillis(100));
            assertTrue(health.unreachable("e").isEmpty());
        }
        time.advance(UpstreamHealth.ANSWERED);
        assertTrue(health.unreachable("e").isPresent());
    }

    /** Guards against a crashed engine that attracts requests because its slots are free. */
    @Test
    void refusedConnectionsInARowEjectAnUpstreamThatHasJustAnswered() {
        health.succeeded("e");
        assertTrue(health.unreachable("e").isEmpty());
        assertTrue(health.unreachable("e").isEmpty());
        assertTrue(health.unreachable("e").isPresent());
        assertFalse(health.usable("e"));
    }

    /** The 5% of lost answers of the sites' days eject an engine less than once in a thousand requests. */
    @Test
    void fewLostAnswersDoNotEject() {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(11);
        int ejections = 0;
        for (int i = 0; i < 20_000; i++) {
            if (random.nextDouble() >= 0.05) {
                health.succeeded("e");
            } else if (health.failed("e", MANY).isPresent()) {
                ejections++;
                time.advance(UpstreamHealth.LONGEST_EJECTION);
                health.succeeded("e");
            }
        }
        assertTrue(ejections < 20, ejections + " ejections");
    }

    @Test
    void everyTenthAnswerLostDoesNotEject() {
        for (int i = 0; i < 200; i++) {
            if (i % 10 == 0) {
                assertTrue(health.failed("e", MANY).isEmpty());
            } else {
                health.succeeded("e");
            }
        }
        assertTrue(health.usable("e"));
    }

    @Test
    void lostAnswersInARowEject() {
        health.failed("e", MANY);
        health.failed("e", MANY);
        assertTrue(health.failed("e", MANY).isPresent());
        assertFalse(health.usable("e"));
    }

    /** Replays an engine that fails 40% of its requests while it answers the others quickly. */
    @Test
    void engineThatFailsPartOfItsRequestsGetsFewOfThem() {
        int misses = 0;
        for (int seed = 0; seed < 50; seed++) {
            UpstreamHealth tested = new UpstreamHealth(time);
            UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
            int sent = 0;
            for (int i = 0; i < 65; i++) {
                time.advance(Duration.ofMillis(100));
                if (!tested.usable("e")) {
                    continue;
                }
                tested.sent("e");
                sent++;
                if (random.nextDouble() < 0.4) {
                    tested.failed("e", MANY);
                } else {
                    tested.succeeded("e");
                }
            }
            misses += sent > 33 ? 1 : 0;
        }
        assertTrue(misses <= 5, misses + " of 50 engines kept half of their requests");
    }

    @Test
    void successOfARequestUnderWayDoesNotEndTheEjectionOfAFailingEngine() {
        for (int i = 0; i < 3; i++) {
            health.failed("e", MANY);
        }
        health.succeeded("e");
        assertFalse(health.usable("e"));
        time.advance(UpstreamHealth.FIRST_EJECTION);
        assertTrue(health.usable("e"));
    }

    @Test
    void halfOfTheUpstreamsStayInUse() {
        List<Upstream> service = List.of(upstream("a"), upstream("b"), upstream("c"), upstream("d"));
        for (Upstream upstream : service) {
            for (int i = 0; i < 10; i++) {
                health.failed(upstream.id(), service);
            }
        }
        assertEquals(
                List.of("c", "d"),
                service.stream().map(Upstream::id).filter(health::usable).toList());
    }

    /** Guards against an ejected upstream of a small service that gets one trial after the other. */
    @Test
    void failedTrialEjectsAgainAlthoughTheServiceIsSmall() {
        List<Upstream> service = List.of(upstream("a"), upstream("b"));
        for (int i = 0; i < 3; i++) {
            health.failed("a", service);
        }
        time.advance(UpstreamHealth.FIRST_EJECTION);
        health.sent("a");
        assertTrue(health.failed("a", service).isPresent());
        assertFalse(health.usable("a"));
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "10.0.0.1", 80, "a", 2, false);
    }
}
