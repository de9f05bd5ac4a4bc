package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;

/**
 * Guards against followers with different states and acknowledged entries that are lost or applied twice, with random
 * schedules of appends, lost responses, delayed appends, outages, malformed records, expiry, restarts of followers, and
 * snapshots that are written immediately or late.
 */
class ReadersAgreeTest {
    private static final int NODES = 3;

    enum Action {
        APPEND,
        LOSE_RESPONSE,
        DELAY_APPEND,
        OUTAGE,
        RECOVERY,
        MALFORMED_RECORD,
        EXPIRE,
        RESTART_FOLLOWER,
        SNAPSHOT,
        CAPTURE_SNAPSHOT,
        WRITE_CAPTURED_SNAPSHOT,
        WAIT
    }

    /** One step of a schedule: an action, the node it applies to, and the wait after it. */
    record Step(Action action, int node, int waitMs) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Action> actions = Arbitraries.frequency(
                Tuple.of(10, Action.APPEND),
                Tuple.of(2, Action.LOSE_RESPONSE),
                Tuple.of(2, Action.DELAY_APPEND),
                Tuple.of(1, Action.OUTAGE),
                Tuple.of(2, Action.RECOVERY),
                Tuple.of(1, Action.MALFORMED_RECORD),
                Tuple.of(2, Action.EXPIRE),
                Tuple.of(2, Action.RESTART_FOLLOWER),
                Tuple.of(2, Action.SNAPSHOT),
                Tuple.of(1, Action.CAPTURE_SNAPSHOT),
                Tuple.of(1, Action.WRITE_CAPTURED_SNAPSHOT),
                Tuple.of(3, Action.WAIT));
        return Combinators.combine(
                        actions, Arbitraries.integers().between(0, NODES - 1), Arbitraries.of(0, 1, 10, 60, 300, 2_000))
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    @Property(tries = 400, seed = "7401", shrinking = ShrinkingMode.BOUNDED)
    void allFollowersAgreeAndNoAcknowledgedEntryIsLost(@ForAll("schedules") List<Step> schedule) {
        Cluster cluster = new Cluster();
        schedule.forEach(cluster::run);
        cluster.settle();
        cluster.check();
    }

    /** Nodes that share a log, each with a writer and a follower. */
    private static final class Cluster {
        private final ManualClock clock = new ManualClock();
        private final FaultyLog log = new FaultyLog(clock, 7402);
        private final List<Node> nodes = new ArrayList<>();
        private final Map<String, Future<Either<LogError, Long>>> outcomes = new LinkedHashMap<>();
        private int values;
        private int snapshots;

        private Cluster() {
            for (int i = 0; i < NODES; i++) {
                nodes.add(new Node("n" + i));
            }
        }

        private final class Node {
            private final LogWriter writer;
            private RecordingLedger ledger;
            private LogFollower follower;
            private Optional<byte[]> captured = Optional.empty();

            private Node(String name) {
                writer = LogWriter.builder(log, clock, clock).stream("work")
                        .writer(name)
                        .linger(Duration.ofMillis(20))
                        .build();
                startFollower();
            }

            private void startFollower() {
                if (follower != null) {
                    follower.stop();
                }
                ledger = new RecordingLedger();
                follower = LogFollower.builder(log, clock, clock).stream("work")
                        .ledger(ledger)
                        .maxBytes(200)
                        .start();
            }

            private Optional<byte[]> captureSnapshot() {
                if (ledger.position() == 0) {
                    return Optional.empty();
                }
                snapshots++;
                return Optional.of(RecordingLedger.snapshotPart(
                        "snapshots", snapshots, "s" + snapshots, ledger.position(), 0, 1, ledger.snapshot()));
            }
        }

        private void run(Step step) {
            Node node = nodes.get(step.node());
            switch (step.action()) {
                case APPEND -> {
                    String value = "v" + ++values;
                    outcomes.put(value, Futures.toFuture(node.writer.write(RecordingLedger.entry(value))));
                }
                case LOSE_RESPONSE -> log.loseResponses(1);
                case DELAY_APPEND -> log.delayAppends(1);
                case OUTAGE -> log.setOutage(true);
                case RECOVERY -> log.setOutage(false);
                case MALFORMED_RECORD -> log.store(new byte[] {(byte) 0xff, (byte) step.node()});
                case EXPIRE -> expireCoveredRecords();
                case RESTART_FOLLOWER -> node.startFollower();
                case SNAPSHOT -> node.captureSnapshot().ifPresent(log::store);
                case CAPTURE_SNAPSHOT -> node.captured = node.captureSnapshot();
                case WRITE_CAPTURED_SNAPSHOT -> node.captured.ifPresent(log::store);
                case WAIT -> {}
            }
            clock.advance(Duration.ofMillis(step.waitMs()));
        }

        /** Expires all records that the newest snapshot covers, the most that a sufficient retention can expire. */
        private void expireCoveredRecords() {
            long covered = 0;
            SnapshotAssembler assembler = new SnapshotAssembler("work", false);
            for (long offset = log.firstOffset(); offset < log.nextOffset(); offset++) {
                covered = Math.max(covered, log.snapshotCoverage(offset, assembler));
            }
            log.expireBefore(covered + 1);
        }

        private void settle() {
            log.setOutage(false);
            log.loseResponses(0);
            log.delayAppends(0);
            clock.advanceUntil(() -> outcomes.values().stream().allMatch(Future::isComplete), Duration.ofSeconds(60));
            // A delayed append is stored 3 s after its request.
            clock.advance(Duration.ofSeconds(4));
            clock.advanceUntil(
                    () -> nodes.stream().allMatch(node -> node.follower.position() == log.nextOffset() - 1),
                    Duration.ofSeconds(60));
        }

        private void check() {
            List<String> first = nodes.get(0).ledger.values();
            nodes.forEach(node -> assertEquals(first, node.ledger.values()));
            assertEquals(first.size(), new HashSet<>(first).size(), "values are applied once: " + first);
            outcomes.forEach((value, outcome) -> {
                assertTrue(outcome.result().isRight(), value + ": " + outcome.result());
                assertTrue(first.contains(value), value + " was acknowledged");
            });
            assertEquals(outcomes.size(), first.size());
        }
    }
}
