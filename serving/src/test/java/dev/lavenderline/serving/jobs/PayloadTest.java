package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.jobs.JobStore.Acceptance;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.FakeStore.AppendOutcome;
import dev.lavenderline.serving.store.Partition;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against contents of jobs that can't be read back, change, or stay in the store when nothing refers to them.
 */
class PayloadTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int PAYLOAD_PARTITIONS = 3;
    private static final String BODY = "body ".repeat(300);
    private static final String OUTPUT = "text ".repeat(2_000);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private long nextNonce;
    private final Node first = new Node();

    private final class Node {
        final JobLedger ledger = new JobLedger(time, EventLog.NONE);
        final JobStore jobs = new JobStore(
                "n1",
                store,
                ledger,
                time,
                time,
                EventLog.NONE,
                2,
                PAYLOAD_PARTITIONS,
                100_000,
                () -> Duration.ofMillis(100),
                () -> nextNonce++);

        Node() {
            jobs.start();
        }

        Job job() {
            return ledger.find("j").orElseThrow();
        }

        Future<Acceptance> accept(int items, long maxWaitingTokens) {
            List<JobItem> list = new ArrayList<>();
            for (int i = 0; i < items; i++) {
                list.add(JobItem.newBuilder()
                        .setId("j-" + i)
                        .setPath("/b/" + i)
                        .setBody(ByteString.copyFromUtf8(BODY + i))
                        .setTokens(100)
                        .build());
            }
            Route route = new Route(
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
            return jobs.accept(new JobSubmission("j", list), route, "host", TIMEOUT);
        }

        List<String> outputs() {
            return jobs.results(job(), 0).result().stream()
                    .map(ItemResult::getOutput)
                    .toList();
        }
    }

    private long payloadKeys() {
        long keys = 0;
        for (int topic = 0; topic < PayloadStore.TOPICS; topic++) {
            for (int i = 0; i < PAYLOAD_PARTITIONS; i++) {
                keys += store.newest(new Partition("payloads-" + topic, i), "")
                        .result()
                        .records()
                        .size();
            }
        }
        return keys;
    }

    @Test
    void contentsAreReadBackOnceByARestartedNode() {
        first.accept(3, 0);
        first.jobs.addResult(new ItemRef("j", 1), true, OUTPUT);
        assertEquals(0, store.readsAt(), "the node that wrote them keeps the contents");
        Node restarted = new Node();
        assertEquals(0, store.readsAt(), "contents are read on demand");
        JobItem item = restarted.jobs.item(restarted.job(), 2).result();
        assertEquals("/b/2", item.getPath());
        assertArrayEquals((BODY + 2).getBytes(), item.getBody().toByteArray());
        assertEquals(List.of(OUTPUT), restarted.outputs());
        assertEquals(List.of(OUTPUT), restarted.outputs());
        assertEquals(2, store.readsAt());
    }

    @Test
    void contentsAreReadBackAfterTheHistoryHasExpired() {
        first.accept(3, 0);
        first.jobs.addResult(new ItemRef("j", 1), true, OUTPUT);
        Node restarted = new Node();
        store.expireHistory();
        assertEquals("/b/0", restarted.jobs.item(restarted.job(), 0).result().getPath());
        assertEquals(List.of(OUTPUT), restarted.outputs());
    }

    /** Without history, each read returns a page; ten results of a job must not take ten of them. */
    @Test
    void resultsOfAJobTakeOnePageAfterTheHistoryHasExpired() {
        first.accept(10, 0);
        for (int i = 0; i < 10; i++) {
            first.jobs.addResult(new ItemRef("j", i), true, OUTPUT + i);
        }
        Node restarted = new Node();
        store.expireHistory();
        int before = store.pageReads();
        assertEquals(10, restarted.outputs().size());
        assertEquals(before + 1, store.pageReads());
    }

    /** Guards against outputs that take all connections to a store that does not answer. */
    @Test
    void writesThatTheStoreDoesNotAnswerAreBounded() {
        first.accept(200, 0);
        store.down(true);
        int before = appends();
        for (int i = 0; i < 200; i++) {
            first.jobs.addResult(new ItemRef("j", i), true, OUTPUT + i);
        }
        assertTrue(appends() - before <= 8, appends() - before + " appends at once");
        time.advance(Duration.ofSeconds(1));
        store.down(false);
        time.advance(Duration.ofSeconds(1));
        assertEquals(0, first.jobs.pendingWrites());
        assertEquals(200, first.job().resultCount());
    }

    private int appends() {
        int appends = 0;
        for (int topic = 0; topic < PayloadStore.TOPICS; topic++) {
            appends += store.appends("payloads-" + topic);
        }
        return appends;
    }

    @Test
    void unreadableContentIsAFailureAndIsReadAgainLater() {
        first.accept(1, 0);
        first.jobs.addResult(new ItemRef("j", 0), true, OUTPUT);
        Node restarted = new Node();
        store.down(true);
        assertTrue(restarted.jobs.results(restarted.job(), 0).failed());
        assertTrue(restarted.jobs.item(restarted.job(), 0).failed());
        store.down(false);
        assertEquals(List.of(OUTPUT), restarted.outputs());
    }

    @Test
    void resultsUpToTheFirstUnreadableOneAreReturned() {
        first.accept(3, 0);
        first.jobs.addResult(new ItemRef("j", 2), true, "short");
        first.jobs.addResult(new ItemRef("j", 0), true, OUTPUT);
        Node restarted = new Node();
        store.down(true);
        assertEquals(List.of("short"), restarted.outputs());
    }

    @Test
    void jobWhoseContentIsNotAppendedIsNotAccepted() {
        store.down(true);
        Future<Acceptance> accepted = first.accept(1, 0);
        time.advance(TIMEOUT);
        assertEquals(Acceptance.NOT_APPENDED, accepted.result());
        store.down(false);
        time.advance(TIMEOUT);
        assertTrue(first.ledger.find("j").isEmpty());
        assertEquals(0, first.jobs.pendingWrites());
    }

    @Test
    void lostResponseToAPayloadLeavesOneKey() {
        store.nextAppends(AppendOutcome.ANSWER_LOST);
        Future<Acceptance> accepted = first.accept(1, 0);
        time.advance(Duration.ofMillis(500));
        assertEquals(Acceptance.ACCEPTED, accepted.result());
        assertEquals(1, payloadKeys());
    }

    /** Two nodes that run an item may get different texts; what was listed first stays. */
    @Test
    void secondOutputOfAnItemNeitherReplacesTheFirstNorStays() {
        first.accept(1, 0);
        Node second = new Node();
        store.holdPolls(true);
        first.jobs.addResult(new ItemRef("j", 0), true, OUTPUT);
        second.jobs.addResult(new ItemRef("j", 0), true, "other " + OUTPUT);
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(OUTPUT), second.outputs());
        store.expireHistory();
        assertEquals(List.of(OUTPUT), new Node().outputs());
        assertEquals(2, payloadKeys());
    }

    @Test
    void deletedJobLeavesNoPayloads() {
        first.accept(3, 0);
        first.jobs.addResult(new ItemRef("j", 0), true, OUTPUT);
        first.jobs.addResult(new ItemRef("j", 1), true, OUTPUT);
        assertEquals(3, payloadKeys());
        assertTrue(first.jobs.delete("j").result());
        assertEquals(0, payloadKeys());
    }

    /** A text that is longer than a record of the store. */
    private static String longOutput(int bytes) {
        StringBuilder text = new StringBuilder();
        while (text.length() < bytes) {
            text.append(text.length()).append(' ');
        }
        return text.substring(0, bytes);
    }

    /** Review case 5: outputs above the store's limit on records were never listed. */
    @ParameterizedTest
    @ValueSource(ints = {99_743, 99_744, 99_745, 100_000, 199_488, 250_000, 1_000_000})
    void outputsAboveTheSizeOfARecordAreListed(int bytes) {
        store.maxRecordBytes(100_000);
        String output = longOutput(bytes);
        first.accept(2, 0);
        first.jobs.addResult(new ItemRef("j", 0), true, output);
        first.jobs.addResult(new ItemRef("j", 1), true, OUTPUT);
        time.advance(Duration.ofSeconds(1));
        assertEquals(0, first.jobs.pendingWrites());
        Node restarted = new Node();
        assertEquals(
                output,
                restarted.jobs.results(restarted.job(), 0).result().get(0).getOutput());
        store.expireHistory();
        Node later = new Node();
        assertEquals(output, later.jobs.results(later.job(), 0).result().get(0).getOutput());
        assertTrue(first.jobs.delete("j").result());
        assertEquals(0, payloadKeys());
    }

    /** The store returns at most a megabyte at a time, and may return less than asked for. */
    @Test
    void chunksAreReadInSeveralCalls() {
        store.maxRecordBytes(100_000);
        store.sliceSize(2);
        String output = longOutput(900_000);
        first.accept(1, 0);
        first.jobs.addResult(new ItemRef("j", 0), true, output);
        time.advance(Duration.ofSeconds(1));
        Node restarted = new Node();
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(output), restarted.outputs());
    }

    /** Guards against the deletion of another job's payloads whose item has the number that is the job's id. */
    @Test
    void payloadsOfOtherJobsAreNotDeletedWithAJob() {
        String nonce = "/0123456789abcdef";
        assertTrue(PayloadStore.ofJob(JobRecords.resultKey("7", 3) + nonce, "7"));
        assertTrue(PayloadStore.ofJob("job/7/0" + nonce, "7"));
        assertTrue(PayloadStore.ofJob("job/7/0" + nonce + "/0012", "7"));
        assertTrue(PayloadStore.ofJob("job/a/7/0" + nonce, "a/7"));
        for (String key : List.of(
                "job/j/7" + nonce,
                "result/j/7" + nonce,
                "job/7/1/0" + nonce,
                "job/77/0" + nonce,
                "job/7/0" + nonce + "/1")) {
            assertFalse(PayloadStore.ofJob(key, "7"), key);
        }
    }
}
