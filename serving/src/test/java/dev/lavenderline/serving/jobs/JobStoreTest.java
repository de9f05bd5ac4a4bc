package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.jobs.JobStore.Acceptance;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.FakeStore.AppendOutcome;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.workspaces.Caller;
import dev.lavenderline.serving.workspaces.Workspace;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against lost or duplicate jobs and results when appends are lost, delayed, rejected or concurrent. */
class JobStoreTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int ITEM_TOKENS = 100;

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final JobLedger ledger = new JobLedger(time, EventLog.NONE);
    private final List<ServingEvent> events = new ArrayList<>();
    private long nextNonce;
    private final JobStore jobs = startStore(ledger);

    private JobStore startStore(JobLedger target) {
        JobStore created = new JobStore(
                "n1",
                store,
                target,
                time,
                time,
                (event, fields) -> events.add(event),
                2,
                3,
                100_000,
                () -> Duration.ofMillis(100),
                () -> nextNonce++);
        created.start();
        return created;
    }

    private static Route route(long maxWaitingTokens) {
        return new Route(
                "batch",
                "host",
                "/b/",
                RouteKind.BATCH,
                Duration.ofSeconds(15),
                Duration.ofMillis(400),
                2,
                List.of(new WeightedService("s", 1)),
                3,
                true,
                Duration.ZERO,
                Duration.ofSeconds(18),
                Duration.ofSeconds(60),
                maxWaitingTokens,
                false);
    }

    private static JobSubmission submission(String id, int items) {
        List<JobItem> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            list.add(JobItem.newBuilder()
                    .setId(id + "-" + i)
                    .setPath("/b/" + i)
                    .setBody(ByteString.copyFromUtf8("body " + i))
                    .setTokens(ITEM_TOKENS)
                    .build());
        }
        return new JobSubmission(id, list);
    }

    private Future<Acceptance> accept(JobStore target, String id, int items, long maxWaitingTokens) {
        return target.accept(submission(id, items), route(maxWaitingTokens), "host", TIMEOUT);
    }

    private static List<String> outputs(JobLedger source, String job) {
        return source.find(job).orElseThrow().resultsFrom(0).stream()
                .map(ItemResult::getOutput)
                .toList();
    }

    @Test
    void jobSubmittedToTwoNodesIsAcceptedOnce() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        JobStore other = startStore(otherLedger);
        store.holdPolls(true);
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "j", 3, 0).result());
        int before = store.appends(JobStore.TOPIC);
        assertEquals(Acceptance.ACCEPTED, accept(other, "j", 3, 0).result());
        assertEquals(
                before + 1, store.appends(JobStore.TOPIC), "the second node's append conflicts and is not retried");
        assertEquals(3, otherLedger.find("j").orElseThrow().itemCount());
    }

    /** A result that waits looks to callers like an item that never ran. */
    @Test
    void resultThatWaitsForTheStoreIsLogged() {
        accept(jobs, "j", 1, 0);
        store.down(true);
        Future<Boolean> recorded = jobs.addResult(new ItemRef("j", 0), true, "text");
        time.advance(JobStore.RESULT_DELAY);
        assertTrue(events.contains(ServingEvent.RESULT_DELAYED));
        assertFalse(recorded.isComplete());

        time.advance(Duration.ofMinutes(3));
        assertEquals(Optional.of(false), Optional.ofNullable(recorded.result()));
        assertTrue(events.contains(ServingEvent.RESULT_NOT_RECORDED));
    }

    @Test
    void recognizesOwnRecordAfterLostResponse() {
        store.nextAppends(JobStore.TOPIC, AppendOutcome.ANSWER_LOST);
        Future<Acceptance> accepted = accept(jobs, "j", 3, 0);
        assertFalse(accepted.isComplete());
        assertTrue(stored("j"), "only the response was lost");
        time.advance(Duration.ofMillis(500));
        assertEquals(Acceptance.ACCEPTED, accepted.result());
        assertEquals(3, ledger.find("j").orElseThrow().itemCount());
    }

    @Test
    void delayedAppendTakesEffectOnce() {
        accept(jobs, "j", 2, 0);
        store.nextAppends(AppendOutcome.LATE);
        jobs.addResult(new ItemRef("j", 0), true, "first");
        time.advance(Duration.ofMillis(500));
        store.executeLateAppends();
        store.holdPolls(true);
        jobs.addResult(new ItemRef("j", 1), true, "second");
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("first", "second"), outputs(ledger, "j"));
        JobLedger restarted = new JobLedger(time, EventLog.NONE);
        startStore(restarted);
        assertEquals(List.of("first", "second"), outputs(restarted, "j"));
    }

    @Test
    void returnsUnknownWhenTheAppendMayHaveBeenExecuted() {
        store.nextAppends(AppendOutcome.LATE);
        Future<Acceptance> accepted = accept(jobs, "j", 1, 0);
        store.down(true);
        time.advance(TIMEOUT.plusMillis(200));
        assertEquals(Acceptance.UNKNOWN, accepted.result());
    }

    @Test
    void returnsNotAppendedWhenTheStoreRejects() {
        store.nextAppends(
                AppendOutcome.REJECTED,
                AppendOutcome.REJECTED,
                AppendOutcome.REJECTED,
                AppendOutcome.REJECTED,
                AppendOutcome.REJECTED,
                AppendOutcome.REJECTED);
        Future<Acceptance> accepted = jobs.accept(submission("j", 1), route(0), "host", Duration.ofMillis(400));
        time.advance(Duration.ofMillis(400));
        assertEquals(Acceptance.NOT_APPENDED, accepted.result());
        time.advance(Duration.ofSeconds(2));
        assertTrue(ledger.find("j").isEmpty());
    }

    /** Guards against a workspace whose jobs keep those of others out, and against two jobs that share an id. */
    @Test
    void workspacesHaveLimitsAndIdsOfTheirOwn() {
        Caller acme = Caller.of(new Workspace("acme", OptionalInt.empty(), 0, 0));
        Caller beta = Caller.of(new Workspace("beta", OptionalInt.empty(), 0, 0));
        JobSubmission own = submission("j", 3).by(acme);
        JobSubmission guessed = submission(own.id(), 1).by(beta);
        assertEquals("j~", own.id().replaceFirst("[0-9a-f]{16}$", ""));
        assertNotEquals(own.id(), guessed.id());
        for (JobSubmission accepted : List.of(own, submission("j", 3).by(beta), own)) {
            assertEquals(
                    Acceptance.ACCEPTED,
                    jobs.accept(accepted, route(400), "host", TIMEOUT).result());
        }
        Future<Acceptance> second = jobs.accept(submission("k", 2).by(acme), route(400), "host", TIMEOUT);
        time.advance(TIMEOUT);
        assertEquals(Acceptance.OVER_LIMIT, second.result());
        assertEquals(600, ledger.waitingTokens("batch", ""));
        JobLookup lookup = new JobLookup(ledger);
        assertEquals("beta", lookup.find("j", beta).job().orElseThrow().workspace());
        assertTrue(lookup.find(own.id(), beta).isUnknown());
        assertTrue(lookup.find(own.id(), Caller.unidentified()).isUnknown());
        assertTrue(lookup.find("j", Caller.unidentified()).job().isEmpty());
        assertTrue(lookup.find("j", Caller.unidentified()).ownerUncertain());
    }

    @Test
    void rejectsJobAboveTheWaitingTokenLimit() {
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "a", 3, 400).result());
        assertEquals(Acceptance.OVER_LIMIT, accept(jobs, "b", 2, 400).result());
        jobs.addResult(new ItemRef("a", 0), true, "");
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "b", 2, 400).result());
    }

    @Test
    void acceptsResubmittedJobAtTheWaitingTokenLimit() {
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "a", 4, 400).result());
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "a", 4, 400).result());
    }

    @Test
    void resultsOfOneAppendHaveDistinctPositions() {
        accept(jobs, "j", 3, 0);
        store.down(true);
        jobs.addResult(new ItemRef("j", 2), true, "c");
        jobs.addResult(new ItemRef("j", 0), true, "a");
        jobs.addResult(new ItemRef("j", 1), false, "");
        time.advance(Duration.ofSeconds(1));
        store.down(false);
        time.advance(Duration.ofSeconds(1));
        assertEquals(3, ledger.find("j").orElseThrow().resultsFrom(0).size());
        JobLedger restarted = new JobLedger(time, EventLog.NONE);
        startStore(restarted);
        assertEquals(outputs(ledger, "j"), outputs(restarted, "j"));
    }

    @Test
    void secondResultOfAnItemIsIgnored() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        accept(jobs, "j", 2, 0);
        JobStore other = startStore(otherLedger);
        store.holdPolls(true);
        jobs.addResult(new ItemRef("j", 0), true, "one");
        other.addResult(new ItemRef("j", 0), true, "two");
        other.addResult(new ItemRef("j", 1), true, "three");
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("one", "three"), outputs(otherLedger, "j"));
    }

    @Test
    void cancelledJobTakesNoFurtherResults() {
        accept(jobs, "j", 2, 0);
        assertTrue(jobs.cancel("j", TIMEOUT).result());
        assertTrue(jobs.cancel("j", TIMEOUT).result());
        jobs.addResult(new ItemRef("j", 0), true, "late");
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(), outputs(ledger, "j"));
        assertFalse(ledger.find("j").orElseThrow().open());
    }

    /**
     * Guards against a job that runs after its end was acknowledged, because its submission was still held by a node
     * that was suspended when its caller ended it.
     */
    @Test
    void jobThatIsSubmittedAfterItsEndDoesNotRun() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        JobStore other = startStore(otherLedger);
        assertTrue(other.cancel("j", TIMEOUT).result());
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "j", 3, 0).result());
        time.advance(Duration.ofSeconds(1));
        JobLedger restarted = new JobLedger(time, EventLog.NONE);
        startStore(restarted);
        for (JobLedger node : List.of(ledger, otherLedger, restarted)) {
            assertTrue(node.find("j").orElseThrow().cancelled());
            assertEquals(List.of(), node.openByDueTime());
            assertEquals(0, node.waitingTokens("batch", ""));
        }
    }

    /** Guards against the same while the store still executes the append of the submission after the end. */
    @Test
    void jobWhoseAppendIsDelayedPastItsEndDoesNotRun() {
        JobStore other = startStore(new JobLedger(time, EventLog.NONE));
        store.nextAppends(JobStore.TOPIC, AppendOutcome.LATE);
        accept(jobs, "j", 3, 0);
        assertTrue(other.cancel("j", TIMEOUT).result());
        store.executeLateAppends();
        time.advance(TIMEOUT);
        assertEquals(List.of(), ledger.openByDueTime());
        assertTrue(ledger.find("j").orElseThrow().cancelled(), "the append was repeated after the end");
    }

    /** Guards against a record for each repetition of the end, and against an end that no key of the store can name. */
    @Test
    void endOfUnknownJobIsRecordedOnce() {
        int before = store.appends(JobStore.TOPIC);
        assertTrue(jobs.cancel("j", TIMEOUT).result());
        assertTrue(jobs.cancel("j", TIMEOUT).result());
        assertTrue(jobs.cancel("x".repeat(300), TIMEOUT).result());
        assertTrue(jobs.cancel("", TIMEOUT).result());
        assertEquals(before + 1, store.appends(JobStore.TOPIC));
    }

    /** Guards against memory and records without bound when callers end jobs that they never submit. */
    @Test
    void endsOfUnknownJobsAreBounded() {
        for (int i = 0; i < EarlyEnds.MAX_ENDS; i++) {
            ledger.apply(JobRecords.cancelled("job" + i, 0));
        }
        Future<Boolean> cancelled = jobs.cancel("j", TIMEOUT);
        time.advance(TIMEOUT);
        assertFalse(cancelled.result());
        assertTrue(jobs.cancel("job1", TIMEOUT).result());
    }

    @Test
    void deletedJobLeavesNoKeys() {
        accept(jobs, "j", 2, 0);
        jobs.addFailure(new ItemRef("j", 0));
        jobs.addResult(new ItemRef("j", 0), true, "a");
        jobs.addResult(new ItemRef("j", 1), true, "b");
        jobs.cancel("j", TIMEOUT);
        time.advance(Duration.ofSeconds(1));
        assertTrue(jobs.delete("j").result());
        assertTrue(ledger.find("j").isEmpty());
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    List.of(),
                    store.newest(new Partition(JobStore.TOPIC, i), "").result().records());
        }
    }

    /** Guards against a restarted process that counts due and retention times from its own start. */
    @Test
    void dueTimesSurviveARestart() {
        accept(jobs, "old", 1, 0);
        time.advance(Duration.ofSeconds(10));
        accept(jobs, "young", 1, 0);
        JobLedger restarted = new JobLedger(time, EventLog.NONE);
        startStore(restarted);
        assertEquals(
                List.of("old", "young"),
                restarted.openByDueTime().stream().map(Job::id).toList());
        assertEquals(
                ledger.find("old").orElseThrow().dueNanos(),
                restarted.find("old").orElseThrow().dueNanos());
    }

    @Test
    void failedRunIsCountedOnceAfterLostResponse() {
        accept(jobs, "j", 1, 0);
        store.nextAppends(AppendOutcome.ANSWER_LOST);
        jobs.addFailure(new ItemRef("j", 0));
        time.advance(Duration.ofSeconds(1));
        assertEquals(1, ledger.find("j").orElseThrow().failures(0));
    }

    @Test
    void largeJobIsSplitIntoRecordsAndReadBackWhole() {
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            items.add(JobItem.newBuilder()
                    .setId("i" + i)
                    .setBody(ByteString.copyFrom(new byte[9_000]))
                    .build());
        }
        jobs.accept(new JobSubmission("big", items), route(0), "host", TIMEOUT);
        JobLedger restarted = new JobLedger(time, EventLog.NONE);
        startStore(restarted);
        Job job = restarted.find("big").orElseThrow();
        assertEquals(40, job.itemCount());
        assertEquals("i39", job.item(39).orElseThrow().getId());
    }

    /** Returns the hash by which the store assigns a job to a partition. */
    private static int hash(String job) {
        return Hashing.murmur3_32_fixed()
                .hashString(job, StandardCharsets.UTF_8)
                .asInt();
    }

    /** Returns a job id whose records are in a partition. */
    private static String jobInPartition(int partition) {
        for (int i = 0; ; i++) {
            if (Math.floorMod(hash("job" + i), 2) == partition) {
                return "job" + i;
            }
        }
    }

    private boolean stored(String job) {
        return store.log(new Partition(JobStore.TOPIC, 0)).stream()
                        .anyMatch(record -> record.key().equals("job/" + job + "/0"))
                || store.log(new Partition(JobStore.TOPIC, 1)).stream()
                        .anyMatch(record -> record.key().equals("job/" + job + "/0"));
    }

    /** Guards against a 429 response to a job that is in the store because only the append's response was lost. */
    @Test
    void appendedJobIsNotOverLimitAfterLostResponse() {
        String first = jobInPartition(0);
        store.holdPolls(true);
        store.nextAppends(JobStore.TOPIC, AppendOutcome.ANSWER_LOST);
        Future<Acceptance> accepted = accept(jobs, first, 3, 400);
        assertTrue(stored(first));
        accept(jobs, jobInPartition(1), 2, 400);
        time.advance(TIMEOUT.plusMillis(200));
        assertNotEquals(Acceptance.OVER_LIMIT, accepted.result());
    }

    /** Guards against a 429 response to a job whose first append the store executes later. */
    @Test
    void jobIsNotOverLimitWhileItsAppendMayStillBeExecuted() {
        String first = jobInPartition(0);
        store.nextAppends(JobStore.TOPIC, AppendOutcome.LATE);
        Future<Acceptance> accepted = accept(jobs, first, 3, 400);
        accept(jobs, jobInPartition(1), 2, 400);
        time.advance(TIMEOUT.plusMillis(200));
        store.executeLateAppends();
        assertTrue(stored(first));
        assertNotEquals(Acceptance.OVER_LIMIT, accepted.result());
    }

    /** Guards against a 429 response to a resubmitted job whose abandoned append the store executes later. */
    @Test
    void resubmittedJobIsNotOverLimitWhileItsAbandonedAppendMayStillBeExecuted() {
        String first = jobInPartition(0);
        store.nextAppends(JobStore.TOPIC, AppendOutcome.LATE);
        Future<Acceptance> abandoned = jobs.accept(submission(first, 3), route(400), "host", Duration.ofMillis(100));
        time.advance(Duration.ofMillis(100));
        assertEquals(Acceptance.UNKNOWN, abandoned.result());
        accept(jobs, jobInPartition(1), 2, 400);
        Future<Acceptance> repeated = accept(jobs, first, 3, 400);
        time.advance(TIMEOUT.plusMillis(200));
        store.executeLateAppends();
        assertTrue(stored(first));
        assertNotEquals(Acceptance.OVER_LIMIT, repeated.result());
    }

    /** Guards against a job that stays above the limit of the route because one of its appends got no response. */
    @Test
    void jobIsOverLimitOnceItsAppendCanNoLongerBeExecuted() {
        String first = jobInPartition(0);
        store.nextAppends(JobStore.TOPIC, AppendOutcome.LATE);
        Future<Acceptance> accepted = accept(jobs, first, 3, 400);
        JobStore other = startStore(new JobLedger(time, EventLog.NONE));
        String second = "other";
        while (Math.floorMod(hash(second), 2) != 0) {
            second += "r";
        }
        assertEquals(Acceptance.ACCEPTED, accept(other, second, 2, 400).result());
        time.advance(TIMEOUT.plusMillis(200));
        store.executeLateAppends();
        assertFalse(stored(first));
        assertEquals(Acceptance.OVER_LIMIT, accepted.result());
    }

    /** Guards against a 429 response to a resubmitted job that another node has just accepted. */
    @Test
    void jobAcceptedByAnotherNodeIsNotOverLimit() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        accept(jobs, "a", 4, 400);
        JobStore other = startStore(otherLedger);
        store.holdPolls(true);
        jobs.addResult(new ItemRef("a", 0), true, "");
        jobs.addResult(new ItemRef("a", 1), true, "");
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "b", 2, 400).result());
        Future<Acceptance> repeated = accept(other, "b", 2, 400);
        time.advance(TIMEOUT);
        assertEquals(Acceptance.ACCEPTED, repeated.result());
    }

    /** Guards against a 429 response that rests on a state in which another node's job is missing. */
    @Test
    void jobIsNotOverLimitWhileThePartitionCannotBeRead() {
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "a", 4, 400).result());
        store.down(true);
        Future<Acceptance> accepted = accept(jobs, "b", 2, 400);
        time.advance(TIMEOUT);
        assertEquals(Acceptance.NOT_APPENDED, accepted.result());
    }

    /** Guards against a 503 response, which promises that the job will not run, while an earlier append may succeed. */
    @Test
    void resubmittedJobIsNotReportedAsNotAppendedWhileItsFirstAppendMayBeExecuted() {
        store.nextAppends(JobStore.TOPIC, AppendOutcome.HANGING);
        Future<Acceptance> first = accept(jobs, "j", 1, 0);
        Future<Acceptance> repeated = accept(jobs, "j", 1, 0);
        time.advance(TIMEOUT);
        assertEquals(Acceptance.UNKNOWN, first.result());
        assertEquals(Acceptance.UNKNOWN, repeated.result());
    }

    /** Guards against the same promise when the payload of the second submission can't be written. */
    @Test
    void resubmittedJobWithoutPayloadIsNotReportedAsNotAppendedWhileItsFirstAppendMayBeExecuted() {
        store.nextAppends(JobStore.TOPIC, AppendOutcome.LATE);
        Future<Acceptance> first = jobs.accept(submission("j", 4), route(0), "host", Duration.ofMillis(100));
        time.advance(Duration.ofMillis(100));
        assertEquals(Acceptance.UNKNOWN, first.result());
        store.down(true);
        Future<Acceptance> repeated = accept(jobs, "j", 4, 0);
        time.advance(TIMEOUT);
        store.down(false);
        store.executeLateAppends();
        assertTrue(stored("j"));
        assertEquals(Acceptance.UNKNOWN, repeated.result());
    }

    /**
     * Guards against a 503 response to a resubmitted job that this node knows, while another append has no response.
     */
    @Test
    void knownJobIsAcceptedAgainWhileAnotherAppendIsInProgress() {
        accept(jobs, "j", 2, 0);
        store.nextAppends(JobStore.TOPIC, AppendOutcome.HANGING);
        jobs.addResult(new ItemRef("j", 0), true, "");
        Future<Acceptance> repeated = accept(jobs, "j", 2, 0);
        time.advance(TIMEOUT);
        assertEquals(Acceptance.ACCEPTED, repeated.result());
    }

    /** Guards against reads for each accepted job; the platform limits the rate of reads and charges for them. */
    @Test
    void acceptingAJobWithinTheLimitReadsNothing() {
        store.holdPolls(true);
        time.advance(Duration.ofSeconds(1));
        int before = store.reads();
        assertEquals(Acceptance.ACCEPTED, accept(jobs, "a", 4, 400).result());
        assertEquals(before, store.reads());
        assertEquals(Acceptance.OVER_LIMIT, accept(jobs, "b", 2, 400).result());
        assertEquals(before + 1, store.reads());
    }

    /** Guards against a node that keeps running the items of a job deleted while it was cut off from the store. */
    @Test
    void jobDeletedBeforeReloadIsForgotten() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        accept(jobs, "j", 2, 0);
        startStore(otherLedger);
        store.holdPolls(true);
        jobs.cancel("j", TIMEOUT);
        assertTrue(jobs.delete("j").result());
        accept(jobs, "j2", 1, 0);
        store.expireHistory(new Partition(JobStore.TOPIC, 0));
        store.expireHistory(new Partition(JobStore.TOPIC, 1));
        store.releasePolls();
        time.advance(Duration.ofSeconds(1));
        assertTrue(otherLedger.find("j2").isPresent(), "the partition was read again");
        assertEquals(
                List.of("j2"), otherLedger.openByDueTime().stream().map(Job::id).toList());
    }

    /** Guards against runs that go on for a job whose cancellation and deletion this node has not read. */
    @Test
    void listenersLearnOnceOfWhatAReloadShows() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        List<String> results = new ArrayList<>();
        List<String> cancelled = new ArrayList<>();
        otherLedger.onResult(result -> results.add(result.getJob() + "/" + result.getItem()));
        otherLedger.onCancelled(job -> cancelled.add(job.id()));
        String deleted = jobInPartition(0);
        accept(jobs, deleted, 2, 0);
        for (String id : List.of("kept", "cancelled", "ended")) {
            accept(jobs, id, 2, 0);
            jobs.addResult(new ItemRef(id, 0), true, "a");
        }
        jobs.cancel("ended", TIMEOUT);
        startStore(otherLedger);
        results.clear();
        cancelled.clear();
        store.holdPolls(true);
        jobs.cancel(deleted, TIMEOUT);
        assertTrue(jobs.delete(deleted).result());
        assertTrue(jobs.delete("ended").result());
        jobs.cancel("cancelled", TIMEOUT);
        jobs.addResult(new ItemRef("kept", 1), true, "b");
        for (int i = 0; i < 2; i++) {
            store.expireHistory(new Partition(JobStore.TOPIC, i));
        }
        store.releasePolls();
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of("kept/1"), results);
        assertEquals(Set.of(deleted, "cancelled"), Set.copyOf(cancelled));
        assertEquals(2, cancelled.size());
        assertEquals(List.of("a", "b"), outputs(otherLedger, "kept"));
    }

    /** Guards against keys of which the job's id can't be found, so that a deleted job stays or a kept one is lost. */
    @Test
    void idWithSlashesIsFoundInKeys() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        List<String> cancelled = new ArrayList<>();
        otherLedger.onCancelled(job -> cancelled.add(job.id()));
        accept(jobs, "a/b", 1, 0);
        startStore(otherLedger);
        store.holdPolls(true);
        accept(jobs, "a/b/c", 1, 0);
        for (int i = 0; i < 2; i++) {
            store.expireHistory(new Partition(JobStore.TOPIC, i));
        }
        store.releasePolls();
        time.advance(Duration.ofSeconds(1));
        assertTrue(otherLedger.find("a/b").isPresent());
        assertEquals(List.of(), cancelled);
        assertTrue(jobs.delete("a/b").result());
        time.advance(Duration.ofSeconds(1));
        assertTrue(otherLedger.find("a/b").isEmpty());
    }

    /** Guards against a node that loses the jobs of one partition when it reads another one again. */
    @Test
    void reloadOfOnePartitionKeepsTheJobsOfTheOther() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        String first = jobInPartition(0);
        String second = jobInPartition(1);
        accept(jobs, first, 1, 0);
        accept(jobs, second, 1, 0);
        startStore(otherLedger);
        store.holdPolls(true);
        jobs.cancel(first, TIMEOUT);
        assertTrue(jobs.delete(first).result());
        store.expireHistory(new Partition(JobStore.TOPIC, 0));
        store.releasePolls();
        time.advance(Duration.ofSeconds(1));
        assertTrue(otherLedger.find(first).isEmpty());
        assertTrue(otherLedger.find(second).isPresent());
    }

    /** Guards against a 404 response for an accepted job when this node lags by more than one response of the store. */
    @Test
    void refreshFindsJobBeyondTheFirstSlice() {
        JobLedger otherLedger = new JobLedger(time, EventLog.NONE);
        JobStore other = startStore(otherLedger);
        store.holdPolls(true);
        accept(jobs, "j", 3, 0);
        for (int i = 0; i < 3; i++) {
            jobs.addResult(new ItemRef("j", i), true, "");
        }
        String newJob = "k";
        while (Math.floorMod(hash(newJob), 2) != Math.floorMod(hash("j"), 2)) {
            newJob += "k";
        }
        assertEquals(Acceptance.ACCEPTED, accept(jobs, newJob, 1, 0).result());
        store.sliceSize(2);
        assertTrue(other.refresh(newJob).succeeded());
        assertTrue(otherLedger.find(newJob).isPresent());
    }
}
