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

/** Guards against keeping an upstream in use while it is down, and against ejecting one for a few lost responses. */
class UpstreamHealthTest {
    /** A service large enough that the limit on ejected upstreams does not apply. */
    private static final List<Upstream> LARGE_SERVICE =
            IntStream.range(0, 20).mapToObj(i -> upstream("e" + i)).toList();

    private static final TrialHolder HOLDER = new TrialHolder("n", 1);

    private final ManualTime time = new ManualTime();
    private final UpstreamHealth health = new UpstreamHealth(time);

    @Test
    void unreachableUpstreamIsEjectedAtOnceAndGetsOneTrial() {
        health.unreachable("e");
        assertFalse(health.usable("e"));
        time.advance(UpstreamHealth.BASE_DELAY);
        assertTrue(health.usable("e"));
        health.sent("e", HOLDER);
        assertFalse(health.usable("e"), "only one trial request at a time");
        health.succeeded("e");
        assertTrue(health.usable("e"));
    }

    @Test
    void delayDoublesUpToItsLimit() {
        Duration delay = health.unreachable("e").orElseThrow();
        for (int i = 0; i < 6; i++) {
            time.advance(delay);
            health.sent("e", HOLDER);
            delay = health.unreachable("e").orElseThrow();
        }
        assertEquals(UpstreamHealth.MAX_DELAY, delay);
    }

    @Test
    void failuresOfRequestsInFlightDoNotLengthenTheDelay() {
        Duration first = health.unreachable("e").orElseThrow();
        for (int i = 0; i < 8; i++) {
            assertEquals(first, health.unreachable("e").orElseThrow());
        }
    }

    /** Guards against ejecting full engines for timeouts, which overloads the remaining ones. */
    @Test
    void timeoutsDoNotEjectAnUpstreamThatRespondsToOthers() {
        for (int i = 0; i < 50; i++) {
            health.succeeded("e");
            time.advance(Duration.ofMillis(100));
            assertTrue(health.unreachable("e").isEmpty());
        }
        time.advance(UpstreamHealth.RECENT_RESPONSE);
        assertTrue(health.unreachable("e").isPresent());
    }

    /** Guards against a crashed engine that attracts requests because its slots appear free. */
    @Test
    void consecutiveRefusedConnectionsEjectAnUpstreamThatHasJustResponded() {
        health.succeeded("e");
        assertTrue(health.unreachable("e").isEmpty());
        assertTrue(health.unreachable("e").isEmpty());
        assertTrue(health.unreachable("e").isPresent());
        assertFalse(health.usable("e"));
    }

    /** A loss of 5% of the responses, as in production, ejects an engine less than once in 1,000 requests. */
    @Test
    void fewLostResponsesDoNotEject() {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(11);
        int ejections = 0;
        for (int i = 0; i < 20_000; i++) {
            if (random.nextDouble() >= 0.05) {
                health.succeeded("e");
            } else if (health.failed("e", HOLDER, LARGE_SERVICE).isPresent()) {
                ejections++;
                time.advance(UpstreamHealth.MAX_DELAY);
                health.succeeded("e");
            }
        }
        assertTrue(ejections < 20, ejections + " ejections");
    }

    @Test
    void everyTenthResponseLostDoesNotEject() {
        for (int i = 0; i < 200; i++) {
            if (i % 10 == 0) {
                assertTrue(health.failed("e", HOLDER, LARGE_SERVICE).isEmpty());
            } else {
                health.succeeded("e");
            }
        }
        assertTrue(health.usable("e"));
    }

    @Test
    void consecutiveLostResponsesEject() {
        health.failed("e", HOLDER, LARGE_SERVICE);
        health.failed("e", HOLDER, LARGE_SERVICE);
        assertTrue(health.failed("e", HOLDER, LARGE_SERVICE).isPresent());
        assertFalse(health.usable("e"));
    }

    /** Guards against an engine that fails 40% of its requests and attracts more by quick responses to the others. */
    @Test
    void engineThatFailsPartOfItsRequestsGetsFewOfThem() {
        int overused = 0;
        for (int seed = 0; seed < 50; seed++) {
            UpstreamHealth tracker = new UpstreamHealth(time);
            UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
            int sent = 0;
            for (int i = 0; i < 65; i++) {
                time.advance(Duration.ofMillis(100));
                if (!tracker.usable("e")) {
                    continue;
                }
                tracker.sent("e", HOLDER);
                sent++;
                if (random.nextDouble() < 0.4) {
                    tracker.failed("e", HOLDER, LARGE_SERVICE);
                } else {
                    tracker.succeeded("e");
                }
            }
            overused += sent > 33 ? 1 : 0;
        }
        assertTrue(overused <= 5, overused + " of 50 engines got more than half of the requests");
    }

    @Test
    void successOfARequestInFlightDoesNotEndTheEjectionOfAFailingEngine() {
        for (int i = 0; i < 3; i++) {
            health.failed("e", HOLDER, LARGE_SERVICE);
        }
        health.succeeded("e");
        assertFalse(health.usable("e"));
        time.advance(UpstreamHealth.BASE_DELAY);
        assertTrue(health.usable("e"));
    }

    @Test
    void halfOfTheUpstreamsStayInUse() {
        List<Upstream> service = List.of(upstream("a"), upstream("b"), upstream("c"), upstream("d"));
        for (Upstream upstream : service) {
            for (int i = 0; i < 10; i++) {
                health.failed(upstream.id(), HOLDER, service);
            }
        }
        assertEquals(
                List.of("c", "d"),
                service.stream().map(Upstream::id).filter(health::usable).toList());
    }

    /** Guards against trial after trial for an ejected upstream of a small service. */
    @Test
    void failedTrialEjectsAgainAlthoughTheServiceIsSmall() {
        List<Upstream> service = List.of(upstream("a"), upstream("b"));
        for (int i = 0; i < 3; i++) {
            health.failed("a", HOLDER, service);
        }
        time.advance(UpstreamHealth.BASE_DELAY);
        health.sent("a", HOLDER);
        assertTrue(health.failed("a", HOLDER, service).isPresent());
        assertFalse(health.usable("a"));
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "10.0.0.1", 80, "a", 2, false, "v1");
    }
}
