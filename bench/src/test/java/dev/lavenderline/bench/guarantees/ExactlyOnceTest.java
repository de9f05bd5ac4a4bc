package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import dev.lavenderline.bench.history.CompletionChecker;
import dev.lavenderline.bench.history.LogHistory;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Checks guarantee G1: each accepted item is completed exactly once, even if hosts, links or the log fail. */
final class ExactlyOnceTest {
    private static final int ITEMS = 240;
    private static final int TOKENS = 8;
    private static final Duration JOB_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private DeployedFleet fleet;

    @BeforeEach
    void start(TestInfo test) {
        fleet = DeployedFleet.builder(
                        Path.of("target", "fleets", test.getDisplayName().replaceAll("\\W", "")))
                .engines(3, "--step-base", "10")
                .nodes(3)
                .start();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** The node is killed right after it acknowledged the job, and the client retries the whole job on another node. */
    @Test
    void nodeKilledRightAfterAcknowledging() {
        BatchJobClient batch = new BatchJobClient(fleet, "killed-at-once");
        LocalNode accepting = fleet.node(0);
        String job = batch.create(accepting, ITEMS, TOKENS);
        accepting.process().kill();

        LocalNode other = fleet.node(1);
        Poll.until("the job is readable", READ_TIMEOUT, () -> batch.finishedItems(other) >= 0);
        assertEquals(job, batch.create(other, ITEMS, TOKENS), "the retry returns the same job");
        awaitCompletedAndCheck(batch, job, other);
    }

    /** The holder is killed with items in flight. */
    @Test
    void holderKilledWithItemsInFlight() {
        BatchJobClient batch = new BatchJobClient(fleet, "killed-in-flight");
        String job = batch.create(fleet.node(0), ITEMS, TOKENS);
        LocalNode holder = batch.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("an eighth of the items is finished", JOB_TIMEOUT, () -> batch.finishedItems(other) >= ITEMS / 8);
        holder.process().kill();

        awaitCompletedAndCheck(batch, job, other);
    }

    /** The holder is suspended until another node has claimed the job, then resumes and appends outdated results. */
    @Test
    void holderSuspendedAndResumed() {
        BatchJobClient batch = new BatchJobClient(fleet, "frozen");
        String job = batch.create(fleet.node(0), ITEMS, TOKENS);
        LocalNode holder = batch.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("an eighth of the items is finished", JOB_TIMEOUT, () -> batch.finishedItems(other) >= ITEMS / 8);
        holder.process().pause();
        Poll.until(
                "another node has claimed the job",
                JOB_TIMEOUT,
                () -> CompletionChecker.of(LogHistory.read(fleet.localFleet(), "work"))
                                .claims(job)
                        > 1);
        holder.process().resume();

        awaitCompletedAndCheck(batch, job, other);
    }

    /** The log's responses to successful appends are lost; later the log is down. */
    @Test
    void logResponsesLostAndLogDown() {
        BatchJobClient batch = new BatchJobClient(fleet, "log-faults");
        String job = batch.create(fleet.node(0), ITEMS, TOKENS);
        LocalNode holder = batch.awaitHolder();
        injectLogFault("drop_answers", 5);
        Poll.until("an eighth of the items is finished", JOB_TIMEOUT, () -> batch.finishedItems(holder) >= ITEMS / 8);
        injectLogFault("outage_ms", 5000);

        awaitCompletedAndCheck(batch, job, fleet.node(2));
    }

    private void injectLogFault(String name, int value) {
        ObjectNode fault = new ObjectMapper().createObjectNode();
        fleet.localFleet().injectLogFault(fault.put(name, value));
    }

    private LocalNode otherThan(LocalNode node) {
        return fleet.nodes().stream().filter(other -> other != node).findFirst().orElseThrow();
    }

    private void awaitCompletedAndCheck(BatchJobClient batch, String job, LocalNode node) {
        Poll.until("the job is completed", JOB_TIMEOUT, () -> batch.status(node).equals("completed"));
        List<String> customIds = batch.readCustomIds(node);
        CompletionChecker checker = CompletionChecker.of(LogHistory.read(fleet.localFleet(), "work"));
        assertEquals(List.of(), checker.check(job, customIds));
        assertEquals(ITEMS, customIds.size());
        assertTrue(checker.claims(job) >= 1);
    }
}
