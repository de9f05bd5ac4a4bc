package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests placement, preemption, queueing and rejection under the load patterns that the scheduler handles. */
class SlotSchedulerTest {
    private static final int SLOTS = 4;
    private static final Duration TARGET = Duration.ofMillis(300);
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final UpstreamHealth health = new UpstreamHealth(time);
    private final List<BacklogItem> backlog = new ArrayList<>();
    private final RecordingListener decisions = new RecordingListener();
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
            decisions,
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

    private static final class RecordingListener implements SlotDecisionListener {
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
        directory.recordStoreResponse();
        scheduler.joined("n1", "a", 1, List.of());
        scheduler.joined("n2", "b", 1, List.of());
    }

    private void upstream(String id, boolean draining) {
        directory.put(new Upstream(id, "s", "10.0.0.1", 80, id.equals("e1") ? "a" : "b", SLOTS, draining, "v1"));
    }

    private long acquire(String node, Duration target, boolean retry) {
        long lease = nextLease++;
        scheduler.acquire(new SlotRequest(node, lease, "s", target, DEADLINE, Set.of(), 0, retry, Optional.empty()));
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
                    Duration.ofSeconds(18).toNanos() + i,
                    "",
                    0));
        }
    }

    @Test
    void prefersFailureDomainOfNodeWhileItHasFreeSlots() {
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        assertEquals(List.of("e1", "e1", "e1", "e1"), decisions.granted);
    }

    @Test
    void neverGrantsMoreThanSlotsAndQueueOfUpstream() {
        for (int i = 0; i < 40; i++) {
            acquire();
        }
        assertEquals(2 * (SLOTS + 1), decisions.granted.size());
    }

    private void limit(String upstream, double perSecond) {
        directory.note(new UpstreamNotice(upstream, 0, false, OptionalDouble.of(perSecond)));
    }

    /** Slots that are free at once would allow hundreds. */
    @Test
    void limitedUpstreamGetsNoMoreThanItsLimit() {
        limit("e1", 2);
        for (int i = 0; i < 400; i++) {
            long lease = acquire();
            scheduler.released("n1", lease, ReleaseReason.COMPLETED, 0);
            time.advance(Duration.ofMillis(10));
        }
        long granted = decisions.granted.stream().filter("e1"::equals).count();
        assertTrue(granted > 0 && granted <= 12, granted + " requests in 4 s");
        assertEquals(400, decisions.granted.size());
    }

    @Test
    void startsOfItemsCountAgainstALimit() {
        limit("e1", 2);
        limit("e2", 2);
        for (int i = 0; i < 400; i++) {
            backlog.clear();
            backlog.add(new BacklogItem(
                    new ItemRef("job", i),
                    Map.of("s", 1),
                    Duration.ofSeconds(18).toNanos(),
                    "",
                    0));
            scheduler.schedule();
            decisions.runs.forEach(run -> scheduler.released(run.node(), run.lease(), ReleaseReason.COMPLETED, 0));
            time.advance(Duration.ofMillis(10));
        }
        int started = decisions.runs.size();
        assertTrue(started > 8 && started <= 24, started + " items in 4 s");
    }

    @Test
    void requestBeyondTheLimitsOfAllUpstreamsIsRejectedAtOnce() {
        limit("e1", 0.5);
        limit("e2", 0.5);
        acquire();
        assertEquals(1, decisions.rejected.size());
        assertTrue(decisions.rejected.get(0).compareTo(Duration.ofSeconds(3)) < 0, "" + decisions.rejected);
    }

    /** Guards against callers that are told to come back after a day because all upstreams are ejected for a moment. */
    @Test
    void callerMayReturnSoonAfterAMomentWithoutUpstreams() {
        scheduler.suspected("e1");
        scheduler.suspected("e2");
        acquire();
        assertEquals(1, decisions.rejected.size());
        assertTrue(decisions.rejected.get(0).compareTo(Duration.ofSeconds(2)) < 0, "" + decisions.rejected);
    }

    @Test
    void requestWaitsForTheLimit() {
        limit("e1", 4);
        limit("e2", 4);
        acquire();
        assertEquals(1, scheduler.waitingCount());
        time.advance(Duration.ofMillis(250));
        scheduler.schedule();
        assertEquals(1, decisions.granted.size());
    }

    /** The nodes used another scheduler until now, and the limit is used up as far as this one knows. */
    @Test
    void newSchedulerHasNothingToMakeUpFor() {
        limit("e1", 4);
        limit("e2", 4);
        acquire();
        time.advance(Duration.ofMinutes(1));
        scheduler.left("n1");
        scheduler.left("n2");
        scheduler.joined("n1", "a", 1, List.of());
        decisions.granted.clear();
        acquire();
        assertEquals(List.of(), decisions.granted);
    }

    @Test
    void itemsUseFreeSlotsAndArePreemptedImmediatelyByBurst() {
        items(2 * SLOTS);
        scheduler.schedule();
        assertEquals(2 * SLOTS, decisions.runs.size());
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        assertEquals(SLOTS, decisions.granted.size(), "the burst is granted immediately");
        assertEquals(SLOTS, decisions.preempted.size());
        assertTrue(decisions.rejected.isEmpty());
    }

    @Test
    void preemptsItemDueLast() {
        items(2 * SLOTS);
        scheduler.schedule();
        acquire("n2", TARGET, false);
        Run preemptedRun = decisions.runs.stream()
                .filter(run -> run.lease() == decisions.preempted.get(0))
                .findFirst()
                .orElseThrow();
        int last = decisions.runs.stream()
                .filter(run -> run.upstream().equals(preemptedRun.upstream()))
                .mapToInt(run -> run.item().index())
                .max()
                .orElseThrow();
        assertEquals(last, preemptedRun.item().index());
    }

    /** Covers a backlog larger than the engines can run: running late items first would make all items late. */
    @Test
    void itemsThatCanMeetTheirDueTimeRunBeforeLateOnes() {
        for (int i = 0; i < 2 * SLOTS; i++) {
            backlog.add(new BacklogItem(
                    new ItemRef("late", i),
                    Map.of("s", 1),
                    Duration.ofSeconds(1).toNanos(),
                    "",
                    0));
        }
        items(SLOTS);
        scheduler.schedule();
        assertEquals(2 * SLOTS, decisions.runs.size());
        assertEquals(
                SLOTS,
                decisions.runs.stream()
                        .filter(run -> run.item().job().equals("job"))
                        .count());
    }

    /** Guards against a backlog of late items that hides those which can still complete in time. */
    @Test
    void itemsInTimeRunAlthoughHundredsOfLateItemsAreDueBefore() {
        for (int i = 0; i < 300; i++) {
            backlog.add(new BacklogItem(new ItemRef("late", i), Map.of("s", 1), -1, "", 0));
        }
        items(2 * SLOTS);
        scheduler.schedule();
        assertEquals(2 * SLOTS, decisions.runs.size());
        assertTrue(decisions.runs.stream().allMatch(run -> run.item().job().equals("job")));
    }

    /** Guards against long items that start shortly before they are due and keep shorter ones from completing. */
    @Test
    void itemWithMoreTokensThanTheTimeLeftAllowsRunsAfterShorterOnes() {
        long due = Duration.ofSeconds(20).toNanos();
        backlog.add(new BacklogItem(new ItemRef("known", 0), Map.of("s", 1), due, "", 1000));
        scheduler.schedule();
        time.advance(Duration.ofSeconds(5));
        scheduler.released("n1", decisions.runs.get(0).lease(), ReleaseReason.COMPLETED, 0);
        backlog.clear();
        decisions.runs.clear();
        backlog.add(new BacklogItem(new ItemRef("long", 0), Map.of("s", 1), due, "", 4000));
        backlog.add(new BacklogItem(new ItemRef("short", 0), Map.of("s", 1), due + 1, "", 1000));
        scheduler.schedule();
        assertEquals("short", decisions.runs.get(0).item().job());
    }

    /** Guards against items that start as late as possible, are suspended once, and complete just too late. */
    @Test
    void itemWithLittleTimeLeftStartsAfterOneWithMore() {
        backlog.add(new BacklogItem(
                new ItemRef("tight", 0), Map.of("s", 1), Duration.ofSeconds(6).toNanos(), "", 0));
        backlog.add(new BacklogItem(
                new ItemRef("relaxed", 0),
                Map.of("s", 1),
                Duration.ofSeconds(18).toNanos(),
                "",
                0));
        scheduler.schedule();
        assertEquals(
                List.of("relaxed", "tight"),
                decisions.runs.stream().map(run -> run.item().job()).toList());
    }

    @Test
    void lateItemIsPreemptedFirst() {
        backlog.add(new BacklogItem(new ItemRef("late", 0), Map.of("s", 1), -1, "", 0));
        items(2 * SLOTS - 1);
        scheduler.schedule();
        Run late = decisions.runs.stream()
                .filter(run -> run.item().job().equals("late"))
                .findFirst()
                .orElseThrow();
        acquire(late.upstream().equals("e1") ? "n1" : "n2", TARGET, false);
        assertEquals(List.of(late.lease()), decisions.preempted);
    }

    @Test
    void preemptedItemResumesOnNodeThatKeepsItsOutput() {
        items(1);
        scheduler.schedule();
        Run first = decisions.runs.get(0);
        scheduler.released(first.node(), first.lease(), ReleaseReason.CANCELLED, 7);
        assertEquals(2, decisions.runs.size());
        assertEquals(first.node(), decisions.runs.get(1).node());
    }

    @Test
    void completedItemDoesNotRunAgainBeforeItsResultIsRecorded() {
        items(1);
        scheduler.schedule();
        Run first = decisions.runs.get(0);
        scheduler.released(first.node(), first.lease(), ReleaseReason.COMPLETED, 0);
        time.advance(Duration.ofSeconds(5));
        scheduler.schedule();
        assertEquals(1, decisions.runs.size());
    }

    @Test
    void completedItemRunsAgainWhenItsNodeIsLostBeforeResultIsRecorded() {
        items(1);
        scheduler.schedule();
        Run first = decisions.runs.get(0);
        scheduler.released(first.node(), first.lease(), ReleaseReason.COMPLETED, 0);
        scheduler.left(first.node());
        scheduler.schedule();
        assertEquals(2, decisions.runs.size());
    }

    @Test
    void itemsOfLostNodeRunOnAnotherNode() {
        items(1);
        scheduler.schedule();
        String lost = decisions.runs.get(0).node();
        scheduler.left(lost);
        scheduler.schedule();
        assertEquals(2, decisions.runs.size());
        assertFalse(decisions.runs.get(1).node().equals(lost));
    }

    @Test
    void rejectsRequestThatCannotMeetItsTargetImmediately() {
        for (int i = 0; i < 2 * (SLOTS + 1); i++) {
            acquire();
        }
        int queued = 0;
        while (decisions.rejected.isEmpty()) {
            acquire();
            assertTrue(queued++ < 40, "requests are queued without a rejection");
        }
        assertFalse(decisions.rejected.get(0).compareTo(Duration.ofMillis(400)) < 0);
    }

    @Test
    void retryIsQueuedInsteadOfRejectedAgain() {
        while (decisions.rejected.isEmpty()) {
            acquire();
        }
        int rejected = decisions.rejected.size();
        acquire("n1", TARGET, true);
        assertEquals(rejected, decisions.rejected.size());
    }

    @Test
    void waitingRequestGetsNextSlotBeforeItems() {
        for (int i = 0; i < 2 * (SLOTS + 1); i++) {
            acquire();
        }
        long waiting = acquire();
        items(3);
        scheduler.schedule();
        assertTrue(decisions.runs.isEmpty());
        scheduler.released("n1", decisions.grantedLeases.get(0), ReleaseReason.COMPLETED, 0);
        assertEquals(waiting, decisions.grantedLeases.get(decisions.grantedLeases.size() - 1));
    }

    @Test
    void unreachableUpstreamGetsOneTrialRequestAfterEjection() {
        long lease = acquire();
        scheduler.released("n1", lease, ReleaseReason.UPSTREAM_UNREACHABLE, 0);
        decisions.granted.clear();
        acquire();
        assertEquals(List.of("e2"), decisions.granted);
        time.advance(Duration.ofMillis(600));
        decisions.granted.clear();
        for (int i = 0; i < SLOTS + 2; i++) {
            acquire();
        }
        assertEquals(1, decisions.granted.stream().filter("e1"::equals).count());
    }

    /** Covers an upstream that leaves while the scheduler gets no update from the store: a node reports it. */
    @Test
    void upstreamReportedAsLeavingGetsNoRequests() {
        long completed = acquire();
        scheduler.released("n1", completed, ReleaseReason.COMPLETED, 0);
        scheduler.released("n1", acquire(), ReleaseReason.UPSTREAM_GONE, 0);
        decisions.granted.clear();
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        items(2 * SLOTS);
        scheduler.schedule();
        assertFalse(decisions.granted.contains("e1"));
        assertTrue(decisions.runs.stream().noneMatch(run -> run.upstream().equals("e1")));
    }

    @Test
    void drainingUpstreamGetsNoRequests() {
        upstream("e1", true);
        for (int i = 0; i < SLOTS; i++) {
            acquire();
        }
        items(3);
        scheduler.schedule();
        assertFalse(decisions.granted.contains("e1"));
        assertTrue(decisions.runs.stream().noneMatch(run -> run.upstream().equals("e1")));
    }

    @Test
    void newSchedulerCountsHoldingsOfJoiningNode() {
        List<Holding> holdings = new ArrayList<>();
        for (int i = 0; i < SLOTS + 1; i++) {
            holdings.add(new Holding(1000 + i, "e1", Optional.empty()));
        }
        scheduler.joined("n3", "a", 1, holdings);
        acquire();
        assertEquals(List.of("e2"), decisions.granted);
    }

    @Test
    void newSchedulerDoesNotRestartHeldItems() {
        items(1);
        scheduler.joined("n3", "a", 1, List.of(new Holding(5, "e1", Optional.of(new ItemRef("job", 0)))));
        scheduler.schedule();
        assertTrue(decisions.runs.isEmpty());
    }

    /** Guards against a node that is partitioned from the store and the other nodes and runs their items too. */
    @Test
    void itemsArePreemptedWhileStopConditionHolds() {
        items(3);
        boolean[] allowed = {true};
        scheduler.startItemsWhile(() -> allowed[0]);
        scheduler.stopItemsWhile(() -> !allowed[0]);
        scheduler.schedule();
        allowed[0] = false;
        scheduler.schedule();
        assertEquals(3, decisions.preempted.size());
        List.copyOf(decisions.runs)
                .forEach(run -> scheduler.released(run.node(), run.lease(), ReleaseReason.CANCELLED, 1));
        assertEquals(3, decisions.runs.size());
        allowed[0] = true;
        scheduler.schedule();
        assertEquals(6, decisions.runs.size());
    }

    @Test
    void cancelledJobPreemptsItsItems() {
        items(3);
        scheduler.schedule();
        scheduler.jobCancelled("job");
        assertEquals(3, decisions.preempted.size());
    }

    @Test
    void waitingRequestIsRejectedAtItsDeadline() {
        while (decisions.rejected.isEmpty()) {
            acquire();
        }
        int rejected = decisions.rejected.size();
        int waiting = scheduler.waitingCount();
        time.advance(DEADLINE.plusMillis(1));
        scheduler.schedule();
        assertEquals(0, scheduler.waitingCount());
        assertEquals(rejected + waiting, decisions.rejected.size());
    }

    private void recordHoldTimes() {
        for (int i = 0; i < 100; i++) {
            long lease = acquire();
            time.advance(Duration.ofMillis(500));
            scheduler.released("n1", lease, ReleaseReason.COMPLETED, 0);
        }
        decisions.granted.clear();
    }

    /** Covers an engine that becomes five times slower but keeps responding. */
    @Test
    void slowUpstreamIsAvoidedAndItsItemsArePreempted() {
        recordHoldTimes();
        acquire("n1", TARGET, false);
        acquire("n2", TARGET, false);
        acquire("n1", TARGET, false);
        acquire("n2", TARGET, false);
        assertEquals(List.of("e1", "e2", "e1", "e2"), decisions.granted);
        // The requests at e2 end in time; e1 then holds one request of each node.
        scheduler.released("n2", nextLease - 1, ReleaseReason.COMPLETED, 0);
        scheduler.released("n2", nextLease - 3, ReleaseReason.COMPLETED, 0);
        scheduler.released("n1", nextLease - 2, ReleaseReason.COMPLETED, 0);
        long leaseOfN1 = nextLease - 4;
        long leaseOfN2 = nextLease++;
        scheduler.acquire(
                new SlotRequest("n2", leaseOfN2, "s", TARGET, DEADLINE, Set.of("e2"), 0, false, Optional.empty()));
        items(6);
        scheduler.schedule();
        time.advance(Duration.ofMillis(1600));
        scheduler.schedule();
        long runsOnSlow = decisions.runs.stream()
                .filter(run -> run.upstream().equals("e1"))
                .count();
        assertTrue(runsOnSlow > 0);
        assertEquals(runsOnSlow, decisions.preempted.size(), "items are preempted on the slow engine");
        decisions.granted.clear();
        for (int i = 0; i < 3; i++) {
            acquire("n1", TARGET, false);
        }
        assertEquals(
                List.of("e2", "e2", "e2"),
                decisions.granted,
                "e1 is avoided although it is in the same failure domain and has free slots");
        scheduler.released("n1", leaseOfN1, ReleaseReason.COMPLETED, 0);
        scheduler.released("n2", leaseOfN2, ReleaseReason.COMPLETED, 0);
        time.advance(SlowUpstreamDetector.AVOIDANCE_PERIOD);
        acquire("n1", TARGET, false);
        assertEquals("e1", decisions.granted.get(3));
    }

    @Test
    void oldRequestsOfOneStalledNodeDoNotMarkUpstreamSlow() {
        recordHoldTimes();
        acquire("n1", TARGET, false);
        acquire("n1", TARGET, false);
        time.advance(Duration.ofSeconds(4));
        scheduler.schedule();
        decisions.granted.clear();
        acquire("n1", TARGET, false);
        assertEquals(List.of("e1"), decisions.granted);
    }

    @Test
    void failingEngineIsEjectedDespiteFreeSlots() {
        int failed = 0;
        for (int i = 0; i < 20; i++) {
            long lease = acquire();
            boolean failing = decisions.granted.get(i).equals("e1");
            failed += failing ? 1 : 0;
            time.advance(Duration.ofMillis(10));
            scheduler.released("n1", lease, failing ? ReleaseReason.UPSTREAM_FAILED : ReleaseReason.COMPLETED, 0);
        }
        assertEquals(3, failed);
    }

    @Test
    void refusalByUpstreamWithFreeSlotsCountsAsFailure() {
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            long lease = acquire();
            boolean refusing = decisions.granted.get(i).equals("e1");
            refused += refusing ? 1 : 0;
            time.advance(Duration.ofMillis(10));
            scheduler.released("n1", lease, refusing ? ReleaseReason.UPSTREAM_FULL : ReleaseReason.COMPLETED, 0);
        }
        assertEquals(3, refused);
    }

    @Test
    void halfOfUpstreamsStaysInUseWhenAllFail() {
        for (int i = 0; i < 20; i++) {
            long lease = acquire();
            scheduler.released("n1", lease, ReleaseReason.UPSTREAM_FAILED, 0);
        }
        assertEquals(20, decisions.granted.size());
    }

    /**
     * Guards against a node that cannot read the job store: it returns each new item at once, so it stays the least
     * loaded one and would get the same items again and again while other nodes could run them.
     */
    @Test
    void itemUnknownToOneNodeRunsOnAnotherNode() {
        items(1);
        scheduler.schedule();
        String cutOff = decisions.runs.get(0).node();
        scheduler.released(cutOff, decisions.runs.get(0).lease(), ReleaseReason.ITEM_UNKNOWN, 0);
        for (int round = 0; round < 20; round++) {
            time.advance(Duration.ofMillis(300));
            directory.recordStoreResponse();
            scheduler.schedule();
            Run last = decisions.runs.get(decisions.runs.size() - 1);
            if (!last.node().equals(cutOff)) {
                return;
            }
            scheduler.released(cutOff, last.lease(), ReleaseReason.ITEM_UNKNOWN, 0);
        }
        fail("the item was given " + decisions.runs.size() + " times to " + cutOff + ", which does not know it");
    }

    /** Guards against items that do not run although engines are idle, because one of ten nodes returns them all. */
    @Test
    void itemsCompleteByTheirDueTimeAlthoughOneNodeDoesNotKnowTheirJob() {
        assertItemsCompleteByDueTime(ReleaseReason.ITEM_UNKNOWN);
    }

    /** Runs 40 items of 1 s on 8 slots and 10 nodes, of which n1 returns each item after 20 ms. */
    private void assertItemsCompleteByDueTime(ReleaseReason reasonOfFirstNode) {
        for (int i = 3; i <= 10; i++) {
            scheduler.joined("n" + i, i % 2 == 0 ? "b" : "a", 1, List.of());
        }
        items(40);
        List<Run> started = new ArrayList<>();
        long end = Duration.ofSeconds(18).toNanos();
        while (time.nanos() < end && !backlog.isEmpty()) {
            directory.recordStoreResponse();
            scheduler.schedule();
            List<Run> added = List.copyOf(decisions.runs.subList(started.size(), decisions.runs.size()));
            started.addAll(added);
            for (Run run : added) {
                boolean returned = run.node().equals("n1");
                time.after(returned ? Duration.ofMillis(20) : Duration.ofSeconds(1), () -> {
                    if (!returned) {
                        backlog.removeIf(item -> item.item().equals(run.item()));
                    }
                    ReleaseReason reason = returned ? reasonOfFirstNode : ReleaseReason.COMPLETED;
                    scheduler.released(run.node(), run.lease(), reason, 0);
                });
            }
            time.advance(Duration.ofMillis(10));
        }
        long returned = started.stream().filter(run -> run.node().equals("n1")).count();
        assertEquals(0, backlog.size(), "items without a result after 18 s; n1 returned " + returned);
    }

    /**
     * Guards against a draining node that declines every item at once: it stays the least loaded one and would get the
     * same items again, without a delay, until it exits.
     */
    @Test
    void itemDeclinedByOneNodeRunsOnAnotherNode() {
        items(1);
        scheduler.schedule();
        String draining = decisions.runs.get(0).node();
        for (int i = 0; i < decisions.runs.size() && i < 20; i++) {
            Run run = decisions.runs.get(i);
            if (!run.node().equals(draining)) {
                return;
            }
            scheduler.released(draining, run.lease(), ReleaseReason.NODE_DECLINED, 0);
        }
        fail("the item was given " + decisions.runs.size() + " times to " + draining + ", which is draining");
    }

    /** Guards against items that do not run during a rolling restart, because a draining node declines them all. */
    @Test
    void itemsCompleteByTheirDueTimeAlthoughOneNodeDeclinesThem() {
        assertItemsCompleteByDueTime(ReleaseReason.NODE_DECLINED);
    }

    private void resume(String attempt) {
        StreamOrigin origin = StreamOrigin.ofAttempt(Optional.of(attempt), time.nanos());
        scheduler.acquire(
                new SlotRequest("n1", nextLease++, "s", TARGET, DEADLINE, Set.of(), 0, true, Optional.of(origin)));
    }

    private void otherVersion(String id) {
        directory.put(new Upstream(id, "s", "10.0.0.1", 80, "a", SLOTS, false, "v2"));
    }

    /** Guards against rejecting a resumed stream before the nodes that know its version have joined. */
    @Test
    void resumedStreamWaitsForNodesThatMayKnowItsVersion() {
        otherVersion("e3");
        AtomicBoolean joining = new AtomicBoolean(true);
        scheduler.learnOriginsWhile(joining::get);
        resume("r");
        resume("unknown");
        scheduler.schedule();
        assertTrue(decisions.granted.isEmpty());
        scheduler.streamVersions().record("r", new ServiceVersion("s", "v2"));
        scheduler.schedule();
        assertEquals(List.of("e3"), decisions.granted);
        joining.set(false);
        scheduler.schedule();
        assertEquals(1, decisions.rejected.size());
    }

    /** Guards against a resumed stream that waits until its deadline although no engine of its version is left. */
    @Test
    void resumedStreamIsRejectedOnceNoUpstreamOfItsVersionIsLeft() {
        otherVersion("e3");
        for (int i = 0; i < SLOTS + 1; i++) {
            scheduler.streamVersions().record("r" + i, new ServiceVersion("s", "v2"));
            resume("r" + i);
        }
        scheduler.streamVersions().record("last", new ServiceVersion("s", "v2"));
        resume("last");
        assertEquals(SLOTS + 1, decisions.granted.size());
        assertTrue(decisions.rejected.isEmpty());
        directory.remove("e3");
        scheduler.schedule();
        assertEquals(1, decisions.rejected.size());
    }

    /** Guards against discarding the output of an interrupted item although an engine of its version is free. */
    @Test
    void interruptedItemResumesOnItsVersion() {
        items(1);
        scheduler.schedule();
        Run run = decisions.runs.get(0);
        // More free slots than the engines of the other version.
        directory.put(new Upstream("e3", "s", "10.0.0.1", 80, "a", 2 * SLOTS, false, "v2"));
        scheduler.released(run.node(), run.lease(), ReleaseReason.CANCELLED, 7);
        scheduler.schedule();
        assertEquals(2, decisions.runs.size());
        assertTrue(Set.of("e1", "e2").contains(decisions.runs.get(1).upstream()), decisions.runs.toString());
    }

    /** Guards against runs of a failing item at one node after another, none of which knows of the others' failures. */
    @Test
    void failedItemRunsAgainOnTheNodeThatCountedTheFailure() {
        items(1);
        scheduler.schedule();
        Run failed = decisions.runs.get(0);
        scheduler.released(failed.node(), failed.lease(), ReleaseReason.ITEM_FAILED, 0);
        // Makes the other node the less loaded one.
        for (int i = 0; i < 5; i++) {
            backlog.add(
                    0,
                    new BacklogItem(
                            new ItemRef("other", i),
                            Map.of("s", 1),
                            Duration.ofSeconds(17).toNanos(),
                            failed.node(),
                            0));
        }
        time.advance(Duration.ofMillis(400));
        scheduler.schedule();
        Run again = decisions.runs.stream()
                .filter(run -> run.item().equals(failed.item()) && run.lease() != failed.lease())
                .findFirst()
                .orElseThrow();
        assertEquals(failed.node(), again.node());
    }
}
