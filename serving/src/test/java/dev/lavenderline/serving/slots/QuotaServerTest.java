package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import dev.lavenderline.serving.workspaces.QuotaLedger;
import dev.lavenderline.serving.workspaces.Workspace;
import dev.lavenderline.serving.workspaces.Workspaces;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against admissions that are lost with requests that get no slot, charged twice, or not charged. */
class QuotaServerTest {
    private static final int BURST = 4;

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final List<String> decisions = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final EventLog log = (event, fields) -> {
        if (event == ServingEvent.QUOTA_REACHED) {
            events.add(fields[1] + " " + fields[3]);
        }
    };
    private final Workspaces workspaces = new Workspaces.Builder()
            .add(new Workspace("w", OptionalInt.empty(), 0.001, BURST), List.of())
            .build();
    private final QuotaServer quotas = new QuotaServer(
            new QuotaLedger(time, () -> workspaces, () -> OptionalInt.of(1)), new Recorder(), time, log);
    private final SlotScheduler scheduler = new SlotScheduler(
            time,
            directory,
            new UpstreamHealth(time),
            visitor -> {},
            quotas,
            log,
            () -> 0.5,
            SlotScheduler.Options.defaults());

    private final class Recorder implements SlotDecisionListener {
        @Override
        public void granted(String node, long lease, String upstream) {
            decisions.add("granted " + lease);
        }

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {
            decisions.add("rejected " + lease);
        }

        @Override
        public void overQuota(String node, long lease, Duration retryAfter) {
            decisions.add("over quota " + lease);
        }

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {}

        @Override
        public void preempt(String node, long lease) {}
    }

    @BeforeEach
    void join() {
        scheduler.chargeTo(quotas);
        scheduler.joined("n", "a", 1, List.of());
        quotas.joined("n", Map.of());
        time.advance(Duration.ofSeconds(2));
    }

    private void addUpstream() {
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", 100, false, "v1"));
    }

    private void acquire(long lease, boolean charged, Optional<StreamOrigin> origin) {
        scheduler.acquire(new SlotRequest(
                "n",
                lease,
                "s",
                Duration.ofMillis(300),
                Duration.ofSeconds(2),
                Set.of(),
                0,
                true,
                origin,
                "w",
                0,
                charged,
                0,
                0,
                0));
    }

    private int admissionsLeft() {
        int left = 0;
        while (quotas.decide("n", "w").outcome() == QuotaLedger.Outcome.ADMITTED) {
            left++;
        }
        return left;
    }

    @Test
    void grantedRequestIsChargedOnce() {
        addUpstream();
        acquire(1, true, Optional.empty());
        scheduler.released("n", 1, ReleaseReason.UPSTREAM_FULL, 0);
        acquire(2, false, Optional.empty());
        acquire(3, true, Optional.of(StreamOrigin.of(new ServiceVersion("s", "v1"))));
        assertEquals(List.of("granted 1", "granted 2", "granted 3"), decisions);
        assertEquals(BURST - 1, admissionsLeft());
    }

    @Test
    void requestBeyondQuotaIsRejectedAtOnce() {
        addUpstream();
        for (int lease = 0; lease <= BURST; lease++) {
            acquire(lease, true, Optional.empty());
        }
        assertEquals("over quota " + BURST, decisions.get(BURST));
    }

    @Test
    void rejectedRequestGivesAdmissionBack() {
        acquire(1, true, Optional.empty());
        assertEquals(List.of("rejected 1"), decisions);
        assertEquals(BURST, admissionsLeft());
    }

    /** Fills the only upstream, so that requests wait. */
    private void fill() {
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", 1, false, "v1"));
        acquire(100, false, Optional.empty());
        acquire(101, false, Optional.empty());
        decisions.clear();
    }

    @Test
    void withdrawnRequestGivesAdmissionBack() {
        fill();
        acquire(1, true, Optional.empty());
        assertEquals(1, scheduler.waitingCount());
        scheduler.released("n", 1, ReleaseReason.CANCELLED, 0);
        assertEquals(BURST, admissionsLeft());
    }

    @Test
    void expiredRequestGivesAdmissionBack() {
        fill();
        acquire(1, true, Optional.empty());
        time.advance(Duration.ofSeconds(3));
        scheduler.schedule();
        assertEquals(List.of("rejected 1"), decisions);
        assertEquals(BURST, admissionsLeft());
    }

    /** Guards against a double charge if a node that returns sends a request again that waited here. */
    @Test
    void requestSentAgainIsChargedOnce() {
        fill();
        acquire(1, true, Optional.empty());
        scheduler.moved("n");
        scheduler.joined("n", "a", 1, List.of());
        quotas.joined("n", Map.of());
        time.advance(Duration.ofSeconds(2));
        acquire(1, true, Optional.empty());
        assertEquals(List.of("granted 1"), decisions);
        assertEquals(BURST - 1, admissionsLeft());
    }

    @Test
    void oneLineInTenSecondsForEachWorkspace() {
        admissionsLeft();
        for (int i = 0; i < 100; i++) {
            quotas.decide("n", "w");
            time.advance(Duration.ofMillis(30));
        }
        assertEquals(List.of("w 1"), events);
        time.advance(Duration.ofSeconds(8));
        admissionsLeft();
        admissionsLeft();
        assertEquals(2, events.size(), events::toString);
    }
}
