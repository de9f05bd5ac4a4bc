package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.workspaces.QuotaLedger.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against quotas that are exceeded, or withheld, at the scheduler's node. */
class QuotaLedgerTest {
    private static final double RATE = 40;
    private static final int BURST = 40;

    private final ManualTime time = new ManualTime();
    private final List<Set<String>> limitedLists = new ArrayList<>();
    private Workspaces workspaces = workspaces(RATE, BURST);
    private int registered = 4;
    private final QuotaLedger ledger = new QuotaLedger(time, () -> workspaces, () -> OptionalInt.of(registered));

    private static Workspaces workspaces(double requestsPerSecond, double burst) {
        return new Workspaces.Builder()
                .add(new Workspace("w", OptionalInt.empty(), requestsPerSecond, burst), List.of())
                .add(new Workspace("free", OptionalInt.empty(), 0, 0), List.of())
                .build();
    }

    @BeforeEach
    void join() {
        ledger.onLimitedChange(limitedLists::add);
        for (int i = 0; i < registered; i++) {
            ledger.joined("n" + i, Map.of());
        }
        time.advance(QuotaLedger.JOIN_PERIOD.plusMillis(50));
    }

    private int admitAll(String node) {
        int admitted = 0;
        while (ledger.admit(node, "w").outcome() == Outcome.ADMITTED) {
            admitted++;
        }
        return admitted;
    }

    @Test
    void hotWorkspaceGetsItsQuotaOverAllNodes() {
        int admitted = 0;
        for (int i = 0; i < 1000; i++) {
            admitted += ledger.admit("n" + i % 4, "w").outcome() == Outcome.ADMITTED ? 1 : 0;
            time.advance(Duration.ofMillis(5));
        }
        assertTrue(admitted >= BURST + 4.9 * RATE && admitted <= BURST + 5.3 * RATE, "admitted " + admitted);
    }

    @Test
    void retryAfterRetryDelayIsAdmitted() {
        admitAll("n0");
        QuotaLedger.Decision rejected = ledger.admit("n1", "w");
        assertEquals(Outcome.OVER_QUOTA, rejected.outcome());
        time.advance(rejected.retryAfter());
        assertEquals(Outcome.ADMITTED, ledger.admit("n1", "w").outcome());
    }

    @Test
    void workspaceWithoutQuotaIsNotLimited() {
        for (int i = 0; i < 1000; i++) {
            assertEquals(Outcome.ADMITTED, ledger.admit("n0", "free").outcome());
            assertEquals(Outcome.ADMITTED, ledger.admit("n0", "gone").outcome());
        }
    }

    @Test
    void admissionGivenBackIsLeftForAnother() {
        long at = time.nanos();
        admitAll("n0");
        time.advance(Duration.ofMillis(1));
        assertEquals(Outcome.OVER_QUOTA, ledger.admit("n1", "w").outcome());
        ledger.giveBack("n0", "w", at);
        assertEquals(Outcome.ADMITTED, ledger.admit("n1", "w").outcome());
    }

    @Test
    void admissionsOfNodeThatLeftCountOn() {
        admitAll("n3");
        ledger.left("n3");
        assertEquals(Outcome.OVER_QUOTA, ledger.admit("n0", "w").outcome());
    }

    @Test
    void helloReplacesWhatIsKnownOfNode() {
        admitAll("n3");
        ledger.joined("n3", Map.of("w", List.of(0, 45)));
        // The same requests, and a few more that another scheduler has granted; counted twice, none would be left.
        int admitted = admitAll("n0");
        assertTrue(admitted > 10 && admitted < 25, "admitted " + admitted);
    }

    @Test
    void restartOfNodeDoesNotForgetItsAdmissions() {
        admitAll("n3");
        ledger.left("n3");
        ledger.joined("n3", Map.of());
        ledger.joined("n3", Map.of("w", List.of(1)));
        assertEquals(Outcome.OVER_QUOTA, ledger.admit("n0", "w").outcome());
    }

    @Test
    void newSchedulerLearnsAdmissionsFromHellos() {
        QuotaLedger next = new QuotaLedger(time, () -> workspaces, () -> OptionalInt.of(registered));
        for (int i = 0; i < registered; i++) {
            next.joined("n" + i, Map.of("w", List.of(2, 40)));
        }
        time.advance(QuotaLedger.JOIN_PERIOD);
        assertEquals(Outcome.OVER_QUOTA, next.admit("n0", "w").outcome());
    }

    /** Guards against the sum of two parts of the fleet above 1.1 times the quota. */
    @Test
    void minorityGrantsPartOfItsShare() {
        registered = 10;
        assertEquals(BURST * QuotaLedger.MINORITY_PART * 4 / 10, admitAll("n0"), 1);
        assertEquals(Outcome.UNDECIDED, ledger.admit("n0", "w").outcome());
    }

    @Test
    void lowerLimitTakesEffectAtOnceAndForgetsThePast() {
        admitAll("n0");
        workspaces = workspaces(10, 5);
        assertEquals(5, admitAll("n0"), 1);
        workspaces = workspaces(1000, 1000);
        assertTrue(admitAll("n0") > 900);
    }

    @Test
    void workspaceIsLimitedWhileLittleIsLeft() {
        ledger.pinged("n0");
        ledger.pinged("n1");
        ledger.report("n0", Map.of("w", 20));
        assertEquals(List.of(), limitedLists);
        ledger.report("n1", Map.of("w", 15));
        assertEquals(List.of(Set.of("w")), limitedLists);
        time.advance(Duration.ofMillis(200));
        ledger.refresh();
        assertEquals(Set.of("w"), ledger.limited());
        time.advance(Duration.ofMillis(800));
        ledger.refresh();
        assertEquals(List.of(Set.of("w"), Set.of()), limitedLists);
    }

    /** Guards against lists sent to all nodes for each request of a workspace of which they ask anyway. */
    @Test
    void smallWorkspaceOfManyNodesIsNotListed() {
        registered = 60;
        workspaces = workspaces(3, 3);
        admitAll("n0");
        assertEquals(List.of(), limitedLists);
    }
}
