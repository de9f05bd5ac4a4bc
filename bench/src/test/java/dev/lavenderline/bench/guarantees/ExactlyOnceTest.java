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

/** Guards G1: accepted items that are lost or completed twice when hosts, links and the log fail. */
final class ExactlyOnceTest {
    private static final int ITEMS = 240;
    private static final int TOKENS = 8;
    private static final Duration JOB_LIMIT = Duration.ofSeconds(60);
    private static final Duration READABLE_LIMIT = Duration.ofSeconds(10);

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

    /** The node that acknowledged the job is killed at once, and its client sends the whole job to another node. */
    @Test
    void nodeKilledRightAfterAcknowledging() {
        BatchSession session = new BatchSession(fleet, "killed-at-once");
        LocalNode accepting = fleet.node(0);
        String job = session.create(accepting, ITEMS, TOKENS);
        accepting.process().kill();

        LocalNode other = fleet.node(1);
        Poll.until("the job is readable", READABLE_LIMIT, () -> session.done(other) >= 0);
        assertEquals(job, session.create(other, ITEMS, TOKENS), "the job that was sent again is the same one");
        awaitCompletedAndCheck(session, job, other);
    }

    /** The holder is killed with items in flight. */
    @Test
    void holderKilledWithItemsInFlight() {
        BatchSession session = new BatchSession(fleet, "killed-in-flight");
        String job = session.create(fleet.node(0), ITEMS, TOKENS);
        LocalNode holder = session.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("a part of the items is done", JOB_LIMIT, () -> session.done(other) >= ITEMS / 8);
        holder.process().kill();

        awaitCompletedAndCheck(session, job, other);
    }

    /** The holder is frozen for longer than its claim lasts and then writes its old results. */
    @Test
    void holderFrozenAndWoken() {
        BatchSession session = new BatchSession(fleet, "frozen");
        String job = session.create(fleet.node(0), ITEMS, TOKENS);
        LocalNode holder = session.awaitHolder();
        LocalNode other = otherThan(holder);
        Poll.until("a part of the items is done", JOB_LIMIT, () -> session.done(other) >= ITEMS / 8);
        holder.process().pause();
        Poll.until(
                "another node has claimed the job",
                JOB_LIMIT,
                () -> CompletionChecker.of(LogHistory.read(fleet.local(), "work"))
                                .claims(job)
                        > 1);
        holder.process().resume();

        awaitCompletedAndCheck(session, job, other);
    }

    /** The log's answers are lost after the appends took effect, then the log is down. */
    @Test
    void logAnswersLostAndLogDown() {
        BatchSession session = new BatchSession(fleet, "log-faults");
        String job = session.create(fleet.node(0), ITEMS, TOKENS);
        LocalNode holder = session.awaitHolder();
        logFault("drop_answers", 5);
        Poll.until("a part of the items is done", JOB_LIMIT, () -> session.done(holder) >= ITEMS / 8);
        logFault("outage_ms", 5000);

        awaitCompletedAndCheck(session, job, fleet.node(2));
    }

    private void logFault(String name, int value) {
        ObjectNode fault = new ObjectMapper().createObjectNode();
        fleet.local().logFault(fault.put(name, value));
    }

    private LocalNode otherThan(LocalNode node) {
        return fleet.nodes().stream().filter(other -> other != node).findFirst().orElseThrow();
    }

    private void awaitCompletedAndCheck(BatchSession session, String job, LocalNode node) {
        Poll.until("the job is completed", JOB_LIMIT, () -> session.status(node).equals("completed"));
        List<String> read = session.readCustomIds(node);
        CompletionChecker checker = CompletionChecker.of(LogHistory.read(fleet.local(), "work"));
        assertEquals(List.of(), checker.check(job, read));
        assertEquals(ITEMS, read.size());
        assertTrue(checker.claims(job) >= 1);
    }
}
