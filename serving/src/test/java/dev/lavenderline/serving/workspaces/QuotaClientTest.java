package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against nodes that admit more than the scheduler knows, and requests without exactly one decision. */
class QuotaClientTest {
    private final ManualTime time = new ManualTime();
    private final Workspaces workspaces = new Workspaces.Builder()
            .add(new Workspace("w", OptionalInt.empty(), 40, 40), List.of())
            .add(new Workspace("free", OptionalInt.empty(), 0, 0), List.of())
            .build();
    private int nodes = 4;
    private final QuotaClient client = new QuotaClient(time, () -> workspaces, () -> nodes);
    private final List<String> decisions = new ArrayList<>();

    private final class Recorder implements QuotaClient.Listener {
        @Override
        public void admitted() {
            decisions.add("admitted");
        }

        @Override
        public void overQuota(Duration retryAfter) {
            decisions.add("over quota " + retryAfter.toMillis());
        }

        @Override
        public void undecided() {
            decisions.add("undecided");
        }
    }

    private int admitAll() {
        int admitted = 0;
        while (client.tryAdmit("w")) {
            admitted++;
        }
        return admitted;
    }

    @Test
    void admitsByItselfOnlyWhatTheSchedulerMayNotKnow() {
        client.connected();
        assertEquals(5, admitAll());
        assertTrue(client.reportDue("w"));
        assertEquals(Map.of("w", 5), client.takeReport());
        assertEquals(0, admitAll());
        client.acknowledged(time.nanos());
        assertEquals(5, admitAll());
    }

    /** Guards against acknowledgements of pings that were sent before the report. */
    @Test
    void earlierPingDoesNotAcknowledgeReport() {
        client.connected();
        long ping = time.nanos();
        time.advance(Duration.ofMillis(10));
        admitAll();
        client.takeReport();
        client.acknowledged(ping);
        assertEquals(0, admitAll());
    }

    @Test
    void limitedWorkspaceNeedsDecisions() {
        client.replaceLimited(List.of("w"));
        assertFalse(client.tryAdmit("w"));
        client.replaceLimited(List.of());
        assertTrue(client.tryAdmit("w"));
    }

    @Test
    void smallQuotaOfManyNodesNeedsDecisions() {
        nodes = 60;
        assertFalse(client.tryAdmit("w"));
    }

    @Test
    void lostReportIsInNextHello() {
        client.connected();
        admitAll();
        client.takeReport();
        time.advance(Duration.ofMillis(300));
        client.disconnected();
        assertEquals(Map.of("w", List.of(0, 5)), client.usage());
        client.connected();
        assertEquals(0, admitAll());
        client.acknowledged(time.nanos());
        assertEquals(5, admitAll());
    }

    /** Guards against callers that wait for a scheduler that does not answer, and against a late second decision. */
    @Test
    void requestIsDecidedOnceAndInTime() {
        client.connected();
        long id = client.await("w", new Recorder());
        time.advance(QuotaClient.MAX_WAIT.minusMillis(1));
        client.expire();
        assertEquals(List.of(), decisions);
        time.advance(Duration.ofMillis(1));
        client.expire();
        client.decided(id, true, Duration.ZERO);
        assertEquals(List.of("undecided"), decisions);
    }

    @Test
    void decisionsReachTheirRequests() {
        long first = client.await("w", new Recorder());
        long second = client.await("w", new Recorder());
        assertEquals(Map.of(first, "w", second, "w"), client.waiting());
        client.decided(second, false, Duration.ofMillis(80));
        client.decided(first, true, Duration.ZERO);
        client.decided(first, true, Duration.ZERO);
        assertEquals(List.of("over quota 80", "admitted"), decisions);
        assertEquals(Map.of("w", List.of(1)), client.usage());
    }

    /** Guards against nodes without a scheduler that together exceed the quota in a window, or never admit again. */
    @Test
    void withoutSchedulerFewAreAdmittedInEachWindow() {
        client.disconnected();
        for (int i = 0; i < 20; i++) {
            client.await("w", new Recorder());
        }
        time.advance(QuotaClient.MAX_WAIT);
        client.expire();
        assertEquals(5, decisions.stream().filter("admitted"::equals).count());
        assertEquals(20, decisions.size());
        time.advance(AdmissionWindow.SPAN.plus(AdmissionWindow.PERIOD));
        assertEquals(5, admitAll());
    }
}
