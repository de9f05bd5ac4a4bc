package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Replays the load patterns that the scheduler answers. */
class SlotSchedulerTest {
    private static final int SLOTS = 4;
    private static final Duration TARGET = Duration.ofMillis(300);
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final UpstreamHealth health = new UpstreamHealth(time);
    private final List<BacklogItem> backlog = new ArrayList<>();
    private final Recorder out = new Recorder();
    private final SlotScheduler scheduler = new SlotScheduler(
            time,
            directory,
            health,
            visitor -> {
                for (BacklogItem item : backlog) {
                    if (!visitor.test(item)) {
                        return;
                    }
                }
            },
            out,
            EventLog.NONE,
            () -> 0.5,
            new SlotScheduler.Options(
                    1,
                    0,
                    Duration.ofMillis(60),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1000)));
    private long nextLease;

    private record Run(String node, long lease, String upstream, ItemRef item) {}

    private static final class Recorder implements SlotOutput {
        final List<String> granted = new ArrayList<>();
        final List<Long> grantedLeases = new ArrayList<>();
        final List<Duration> rejected = new ArrayList<>();
        final List<Run> runs = new ArrayList<>();
        final List<Long> preempted = new ArrayList<>();

        @Override
        public void granted(String node, long lease, String upstream) {
            granted.add(upstream);
            grantedLeases.add(lease);
        }

        @Override
        public void rejected(String node, long lease, Duration retryAfter) {
            rejected.add(retryAfter);
        }

        @Override
        public void run(String node, long lease, String upstream, ItemRef item) {
            runs.add(new Run(node, lease, upstream, item));
        }

        @Override
        public void preempt(String node, long lease) {
            preempted.add(lease);
        }
    }

    SlotSchedulerTest() {
        upstream("e1", false);
        upstream("e2", false);
        directory.storeAnswered();
        scheduler.joined("n1", "a", 1, List.of());
        scheduler.joined("n2", "b", 1, List.of());
    }

    private void upstream(String id, boolean draining) {
        directory.put(new Upstream(id, "s", "10.0.0.1", 80, id.equals("e1") ? "a" : "b", SLOTS, draining));
    }

    private long acquire(String node, Duration target, boolean returning) {
        long lease = nextLease++;
        scheduler.acquire(new SlotRequest(node, lease, "s", target, DEADLINE, Set.of(), 0, returning));
        return lease;
    }

    private long acquire() {
        return acquire("n1", TARGET, false);
    }

    private void items(int count) {
        for (int i = 0; i < count; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef("job", i),
                    Map.of("s", 1),
                    Duration.ofSeconds(18).toNanos() + i));
        }
    }

    @Test
    void prefersTheFailureDomainOfTheNodeWhileItHasRoom() {
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        assertEquals(List.of("e1", "e1", "e1", "e1"), out.granted);
    }

    @Test
    void neverGrantsMoreThanSlotsAndQueueOfAnUpstream() {
        for (int i = 0; i < 40; i++) {
            acquire();
        }
        assertEquals(2 * (SLOTS + 1), out.granted.size());
    }

    @Test
    void itemsFillTroughAndYieldAtCrestWithinTheSameCall() {
        items(2 * SLOTS);
        scheduler.schedule();
        assertEquals(2 * SLOTS, out.runs.size());
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        assertEquals(SLOTS, out.granted.size(), "a burst is granted at once");
        assertEquals(SLOTS, out.preempted.size());
        assertTrue(out.rejected.isEmpty());
    }

    @Test
    void preemptsTheItemThatIsDueLast() {
        items(2 * SLOTS);
        scheduler.schedule();
        acquire("n2", TARGET, false);
        Run victim = out.runs.stream()
                .filter(run -> run.lease() == out.preempted.get(0))
                .findFirst()
                .orElseThrow();
        int last = out.runs.stream()
                .filter(run -> run.upstream().equals(victim.upstream()))
                .mapToInt(run -> run.item().index())
                .max()
                .orElseThrow();
        assertEquals(last, victim.item().index());
    }

    /** Replays a backlog beyond what the engines can run: serving late items first would make all of them late. */
    @Test
    void itemsThatCanBeInTimeGoBeforeLateOnes() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef("late", i),
                    Map.of("s", 1),
                    Duration.ofSeconds(1).toNanos()));
        }
        items(SLOTS);
        scheduler.schedule();
        assertEquals(2 * SLOTS, out.runs.size());
        assertEquals(
                SLOTS,
                out.runs.stream().filter(run -> run.item().job().equals("job")).count());
    }

    @Test
    void lateItemIsPreemptedFirst() {
        backlog.add(new BacklogItem(new ItemRef("late", 0), Map.of("s", 1), -1));
        items(2 * SLOTS - 1);
        scheduler.schedule();
        Run late = out.runs.stream()
                .filter(run -> run.item().job().equals("late"))
                .findFirst()
                .orElseThrow();
        acquire(late.upstream().equals("e1") ? "n1" : "n2", TARGET, false);
        assertEquals(List.of(late.lease()), out.preempted);
    }

    @Test
    void preemptedItemContinuesOnTheNodeThatKeepsItsText() {
        items(1);
        scheduler.schedule();
        Run first = out.runs.get(0);
        scheduler.released(first.node(), first.lease(), LeaseEnd.CANCELLED, 7);
        assertEquals(2, out.runs.size());
        assertEquals(first.node(), out.runs.get(1).node());
    }

    @Test
    void finishedItemDoesNotRunAgainBeforeItsResultIsRead() {
        items(1);
        scheduler.schedule();
        Run first = out.runs.get(0);
        scheduler.released(first.node(), first.lease(), LeaseEnd.COMPLETED, 0);
        time.advance(Duration.ofSeconds(5));
        scheduler.schedule();
        assertEquals(1, out.runs.size());
    }

    @Test
    void finishedItemRunsAgainWhenItsNodeIsLostBeforeTheResultIsWritten() {
        items(1);
        scheduler.schedule();
        Run first = out.runs.get(0);
        scheduler.released(first.node(), first.lease(), LeaseEnd.COMPLETED, 0);
        scheduler.left(first.node());
        scheduler.schedule();
        assertEquals(2, out.runs.size());
    }

    @Test
    void itemsOfLostNodeRunElsewhere() {
        items(1);
        scheduler.schedule();
        String lost = out.runs.get(0).node();
        scheduler.left(lost);
        scheduler.schedule();
        assertEquals(2, out.runs.size());
        assertFalse(out.runs.get(1).node().equals(lost));
    }

    @Test
    void rejectsAtOnceWhatCannotMeetItsTarget() {
        for (int i = 0; i < 2 * (SLOTS + 1); i++) {
            acquire();
        }
        int waits = 0;
        while (out.rejected.isEmpty()) {
            acquire();
            assertTrue(waits++ < 40, "requests pile up without a rejection");
        }
        assertFalse(out.rejected.get(0).compareTo(Duration.ofMillis(400)) < 0);
    }

    @Test
    void returningCallerWaitsInsteadOfBeingRejectedAgain() {
        while (out.rejected.isEmpty()) {
            acquire();
        }
        int rejected = out.rejected.size();
        acquire("n1", TARGET, true);
        assertEquals(rejected, out.rejected.size());
    }

    @Test
    void waitingRequestGetsTheNextSlotBeforeAnyItem() {
        for (int i = 0; i < 2 * (SLOTS + 1); i++) {
            acquire();
        }
        long waiting = acquire();
        items(3);
        scheduler.schedule();
        assertTrue(out.runs.isEmpty());
        scheduler.released("n1", out.grantedLeases.get(0), LeaseEnd.COMPLETED, 0);
        assertEquals(waiting, out.grantedLeases.get(out.grantedLeases.size() - 1));
    }

    @Test
    void upstreamThatIsUnreachableGetsOneTrialAfterItsEjection() {
        long lease = acquire();
        scheduler.released("n1", lease, LeaseEnd.UPSTREAM_UNREACHABLE, 0);
        out.granted.clear();
        acquire();
        assertEquals(List.of("e2"), out.granted);
        time.advance(Duration.ofMillis(600));
        out.granted.clear();
        for (int i = 0; i < SLOTS + 2; i++) {
            acquire();
        }
        assertEquals(1, out.granted.stream().filter("e1"::equals).count());
    }

    /** Replays trouble-1 of lavenderline-mic: the scheduler does not hear from the store that an upstream leaves. */
    @Test
    void upstreamThatANodeKnowsToLeaveGetsNothingMore() {
        long answered = acquire();
        scheduler.released("n1", answered, LeaseEnd.COMPLETED, 0);
        scheduler.released("n1", acquire(), LeaseEnd.UPSTREAM_GONE, 0);
        out.granted.clear();
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        items(2 * SLOTS);
        scheduler.schedule();
        assertFalse(out.granted.contains("e1"));
        assertTrue(out.runs.stream().noneMatch(run -> run.upstream().equals("e1")));
    }

    @Test
    void drainingUpstreamGetsNothing() {
        upstream("e1", true);
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        items(3);
        scheduler.schedule();
        assertFalse(out.granted.contains("e1"));
        assertTrue(out.runs.stream().noneMatch(run -> run.upstream().equals("e1")));
    }

    @Test
    void newSchedulerCountsWhatItsNodesHold() {
        List<Holding> holdings = new ArrayList<>();
        for (int i = 0; i < SLOTS + 1; i++) {
            holdings.add(new Holding(1000 + i, "e1", Optional.empty()));
        }
        scheduler.joined("n3", "a", 1, holdings);
        acquire();
        assertEquals(List.of("e2"), out.granted);
    }

    @Test
    void heldItemsAreNotStartedAgainByNewScheduler() {
        items(1);
        scheduler.joined("n3", "a", 1, List.of(new Holding(5, "e1", Optional.of(new ItemRef("job", 0)))));
        scheduler.schedule();
        assertTrue(out.runs.isEmpty());
    }

    /** Replays node_cut: a node that is cut from the store and the others must not run their items too. */
    @Test
    void itemsStopWhileTheyAreNotAllowed() {
        items(3);
        boolean[] allowed = {true};
        scheduler.startItemsWhile(() -> allowed[0]);
        scheduler.stopItemsWhile(() -> !allowed[0]);
        scheduler.schedule();
        allowed[0] = false;
        scheduler.schedule();
        assertEquals(3, out.preempted.size());
        List.copyOf(out.runs).forEach(run -> scheduler.released(run.node(), run.lease(), LeaseEnd.CANCELLED, 1));
        assertEquals(3, out.runs.size());
        allowed[0] = true;
        scheduler.schedule();
        assertEquals(6, out.runs.size());
    }

    @Test
    void endOfJobStopsItsRuns() {
        items(3);
        scheduler.schedule();
        scheduler.jobEnded("job");
        assertEquals(3, out.preempted.size());
    }

    @Test
    void requestBeyondItsDeadlineIsNotKept() {
        while (out.rejected.isEmpty()) {
            acquire();
        }
        int rejected = out.rejected.size();
        int waiting = scheduler.waitingCount();
        time.advance(DEADLINE.plusMillis(1));
        scheduler.schedule();
        assertEquals(0, scheduler.waitingCount());
        assertEquals(rejected + waiting, out.rejected.size());
    }

    private void learnHolds() {
        for (int i = 0; i < 100; i++) {
            long lease = acquire();
            time.advance(Duration.ofMillis(500));
            scheduler.released("n1", lease, LeaseEnd.COMPLETED, 0);
        }
        out.granted.clear();
    }

    /** Replays srv_slow of gatewright-line-grown: an engine takes five times as long and goes on answering. */
    @Test
    void slowUpstreamIsAvoidedAndItsItemsMove() {
        learnHolds();
        acquire("n1", TARGET, false);
        acquire("n2", TARGET, false);
        acquire("n1", TARGET, false);
        acquire("n2", TARGET, false);
        assertEquals(List.of("e1", "e2", "e1", "e2"), out.granted);
        // Those at e2 end in time; e1 holds one request of each node.
        scheduler.released("n2", nextLease - 1, LeaseEnd.COMPLETED, 0);
        scheduler.released("n2", nextLease - 3, LeaseEnd.COMPLETED, 0);
        scheduler.released("n1", nextLease - 2, LeaseEnd.COMPLETED, 0);
        long ofFirst = nextLease - 4;
        long ofSecond = nextLease++;
        scheduler.acquire(new SlotRequest("n2", ofSecond, "s", TARGET, DEADLINE, Set.of("e2"), 0, false));
        items(6);
        scheduler.schedule();
        time.advance(Duration.ofMillis(1600));
        scheduler.schedule();
        long onSlow =
                out.runs.stream().filter(run -> run.upstream().equals("e1")).count();
        assertTrue(onSlow > 0);
        assertEquals(onSlow, out.preempted.size(), "items leave the slow engine");
        out.granted.clear();
        for (int i = 0; i < 3; i++) {
            acquire("n1", TARGET, false);
        }
        assertEquals(List.of("e2", "e2", "e2"), out.granted, "though e1 is nearer and has room");
        scheduler.released("n1", ofFirst, LeaseEnd.COMPLETED, 0);
        scheduler.released("n2", ofSecond, LeaseEnd.COMPLETED, 0);
        time.advance(SlowUpstreams.AVOIDED);
        acquire("n1", TARGET, false);
        assertEquals("e1", out.granted.get(3));
    }

    @Test
    void requestsOfOneNodeThatStandsStillMakeNoUpstreamSlow() {
        learnHolds();
        acquire("n1", TARGET, false);
        acquire("n1", TARGET, false);
        time.advance(Duration.ofSeconds(4));
        scheduler.schedule();
        out.granted.clear();
        acquire("n1", TARGET, false);
        assertEquals(List.of("e1"), out.granted);
    }

    @Test
    void engineThatFailsItsRequestsIsEjectedAlthoughItsSlotsAreFree() {
        int failed = 0;
        for (int i = 0; i < 20; i++) {
            long lease = acquire();
            boolean grey = out.granted.get(i).equals("e1");
            failed += grey ? 1 : 0;
            time.advance(Duration.ofMillis(10));
            scheduler.released("n1", lease, grey ? LeaseEnd.UPSTREAM_FAILED : LeaseEnd.COMPLETED, 0);
        }
        assertEquals(3, failed);
    }

    @Test
    void refusalOfAnUpstreamWithFreeSlotsCountsAsFailure() {
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            long lease = acquire();
            boolean grey = out.granted.get(i).equals("e1");
            refused += grey ? 1 : 0;
            time.advance(Duration.ofMillis(10));
            scheduler.released("n1", lease, grey ? LeaseEnd.UPSTREAM_FULL : LeaseEnd.COMPLETED, 0);
        }
        assertEquals(3, refused);
    }

    @Test
    void failuresOfAllUpstreamsLeaveHalfOfThemInUse() {
        for (int i = 0; i < 20; i++) {
            long lease = acquire();
            scheduler.released("n1", lease, LeaseEnd.UPSTREAM_FAILED, 0);
        }
        assertEquals(20, out.granted.size());
    }
}
