package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against more requests to an upstream than its limit allows, and against an upstream that never gets one. */
class RequestRatesTest {
    private static final Duration STEP = Duration.ofMillis(50);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final Upstream upstream = new Upstream("e", "s", "10.0.0.1", 80, "a", 8, false, "v1");
    private int nodes = 1;
    private final RequestRates rates = new RequestRates(time, directory, () -> nodes);

    RequestRatesTest() {
        directory.put(upstream);
    }

    private void limit(double perSecond) {
        directory.note(new UpstreamNotice("e", 0, false, OptionalDouble.of(perSecond)));
    }

    /** Sends as many requests as the upstream may take. */
    private int send(Duration period) {
        int sent = 0;
        for (Duration left = period; !left.isZero(); left = left.minus(STEP)) {
            time.advance(STEP);
            while (rates.mayTake(upstream)) {
                rates.sent(upstream);
                sent++;
            }
        }
        return sent;
    }

    @Test
    void upstreamWithoutLimitTakesAll() {
        assertTrue(rates.mayTake(upstream));
        assertFalse(rates.usedUp(upstream));
        assertEquals(Integer.MAX_VALUE, rates.itemsThatMayStart(upstream));
    }

    @Test
    void noBurstWhenTheLimitBecomesKnown() {
        limit(3);
        assertFalse(rates.mayTake(upstream));
        int sent = send(RequestRates.OVERRUN_PERIOD);
        assertTrue(sent >= 12 && sent <= 18, sent + " requests in 4 s");
    }

    @Test
    void upstreamIsNotOverrunAfterAPause() {
        for (double limit : new double[] {0.3, 3, 40}) {
            limit(limit);
            rates.mayTake(upstream);
            time.advance(Duration.ofMinutes(1));
            int sent = send(RequestRates.OVERRUN_PERIOD);
            double overrun = RequestRates.OVERRUN_FACTOR * limit * RequestRates.OVERRUN_PERIOD.toSeconds()
                    + RequestRates.OVERRUN_REQUESTS;
            assertTrue(sent <= overrun - 2, sent + " requests at a limit of " + limit);
        }
    }

    @Test
    void nodesShareALimit() {
        limit(4);
        nodes = 4;
        rates.mayTake(upstream);
        assertEquals(5, send(Duration.ofSeconds(4)), 1);
    }

    /** A limit that was named before this instance is asked for the first time counts from then. */
    @Test
    void restartLeavesNothingToMakeUpFor() {
        limit(3);
        rates.mayTake(upstream);
        time.advance(Duration.ofMinutes(1));
        rates.restart();
        assertFalse(rates.mayTake(upstream));
    }

    /** Its response tells when the limit ends. */
    @Test
    void upstreamThatTakesNothingGetsARequestNowAndThen() {
        limit(0);
        rates.mayTake(upstream);
        assertEquals(4, send(Duration.ofSeconds(20)), 1);
    }

    @Test
    void itemsLeaveAPartToOnlineRequests() {
        limit(5);
        rates.mayTake(upstream);
        time.advance(Duration.ofMinutes(1));
        while (rates.itemsThatMayStart(upstream) > 0) {
            rates.sent(upstream);
        }
        assertTrue(rates.mayTake(upstream));
    }

    @Test
    void itemsStartAtALimitBelowOneASecond() {
        limit(0.5);
        rates.mayTake(upstream);
        time.advance(Duration.ofSeconds(4));
        assertEquals(1, rates.itemsThatMayStart(upstream));
    }
}
