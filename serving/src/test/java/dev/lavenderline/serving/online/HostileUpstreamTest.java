package dev.lavenderline.serving.online;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.online.HostileUpstream.Fault;
import dev.lavenderline.serving.online.HostileUpstream.Framing;
import dev.lavenderline.serving.online.HostileUpstream.Plan;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against an upstream that sends bytes without end, in a head, a body, or what belongs to neither. */
class HostileUpstreamTest {
    private final HostileExchange exchange = new HostileExchange();

    @AfterEach
    void close() {
        exchange.close();
    }

    @ParameterizedTest
    @EnumSource(names = "ENDLESS.*", mode = EnumSource.Mode.MATCH_ALL)
    void bytesWithoutEndEndTheConnection(Fault fault) throws Exception {
        HostileExchange.Received received = exchange.send(new Plan(Framing.CHUNKS, fault, 10, 0, 1));
        assertTrue(received.body().isEmpty(), received.toString());
        await().atMost(HostileExchange.LIMIT).until(exchange::endlessConnectionsClosed);
        assertEquals(
                "",
                exchange.send(new Plan(Framing.LENGTH, Fault.NONE, 10, 0, 1)).failure(),
                "a sound request afterwards is answered");
    }

    /** The judge itself finds responses that were taken for complete or belong to another request. */
    @Test
    void judgeFindsPlantedFaults() {
        Plan cut = new Plan(Framing.LENGTH, Fault.CUT, 20, 50, 1);
        Plan sound = new Plan(Framing.LENGTH, Fault.NONE, 20, 0, 1);
        assertJudged(sound, HostileUpstream.body("other", 20));
        assertJudged(sound, HostileUpstream.body("r", 19));
        assertJudged(cut, HostileUpstream.body("r", 20));
        assertJudged(new Plan(Framing.CLOSE, Fault.CUT, 20, 50, 1), HostileUpstream.body("other", 10));
        assertJudged(
                new Plan(Framing.CLOSE, Fault.COPY, 20, 0, 1),
                HostileUpstream.body("r", 20).repeat(2));
        assertJudged(new Plan(Framing.CHUNKS, Fault.EXTRA_IN_BODY, 20, 50, 1), HostileUpstream.body("r", 20) + "HTTP");
        assertJudged(new Plan(Framing.LENGTH, Fault.EXTRA_BEFORE_HEAD, 20, 0, 1), "status 500");
        assertJudged(
                new Plan(Framing.LENGTH, Fault.EXTRA_BEFORE_HEAD, 20, 0, 1),
                new HostileExchange.Received(Optional.empty(), "NOT_EXECUTED"));
        assertJudged(new Plan(Framing.CHUNKS, Fault.WRONG_ID, 20, 0, 1), HostileUpstream.body("r", 20));
    }

    private static void assertJudged(Plan plan, String body) {
        assertJudged(plan, new HostileExchange.Received(Optional.of(body), ""));
    }

    private static void assertJudged(Plan plan, HostileExchange.Received received) {
        boolean found = false;
        try {
            HostileExchange.judge(plan, "r", received);
        } catch (AssertionError expected) {
            found = true;
        }
        assertTrue(found, plan + " with " + received);
    }
}
