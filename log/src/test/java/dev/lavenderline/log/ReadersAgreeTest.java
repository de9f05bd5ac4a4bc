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
 * Guards against readers that disagree and acknowledged entries that are lost or folded twice, over schedules of
 * appends, lost answers, late copies, outages, expiry, restarts of readers, and snapshots written at once or late.
 */
class ReadersAgreeTest {
    private static final int NODES = 3;

    enum Action {
        APPEND,
        LOSE_ANSWER,
        LATE_COPY,
        OUTAGE,
        RECOVERY,
        GARBAGE,
        EXPIRE,
        RESTART_READER,
        SNAPSHOT,
        CUT_SNAPSHOT,
        WRITE_CUT_SNAPSHOT,
        WAIT
    }

    /** One step: what happens, on which node, and how long the schedule waits after it. */
    record Step(Action action, int node, int waitMs) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Action> actions = Arbitraries.frequency(
                Tuple.of(10, Action.APPEND),
                Tuple.of(2, Action.LOSE_ANSWER),
                Tuple.of(2, Action.LATE_COPY),
                Tuple.of(1, Action.OUTAGE),
                Tuple.of(2, Action.RECOVERY),
                Tuple.of(1, Action.GARBAGE),
                Tuple.of(2, Action.EXPIRE),
                Tuple.of(2, Action.RESTART_READER),
                Tuple.of(2, Action.SNAPSHOT),
                Tuple.of(1, Action.CUT_SNAPSHOT),
                Tuple.of(1, Action.WRITE_CUT_SNAPSHOT),
                Tuple.of(3, Action.WAIT));
        return Combinators.combine(
                        actions, Arbitraries.integers().between(0, NODES - 1), Arbitraries.of(0, 1, 10, 60, 300, 2_000))
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    @Property(tries = 400, seed = "7401", shrinking = ShrinkingMode.BOUNDED)
    void allReadersAgreeAndNothingAcknowledgedIsLost(@ForAll("schedules") List<Step> schedule) {
        Scene scene = new Scene();
        schedule.forEach(scene::run);
        scene.settle();
        scene.check();
    }

    /** Nodes with a writer and a reader each on one log. */
    private static final class Scene {
        private final ManualClock clock = new ManualClock();
        private final FaultyLog log = new FaultyLog(clock, 7402);
        private final List<Node> nodes = new ArrayList<>();
        private final Map<String, Future<Either<LogError, Long>>> outcomes = new LinkedHashMap<>();
        private int values;
        private int snapshots;

        private Scene() {
            for (int i = 0; i < NODES; i++) {
                nodes.add(new Node("n" + i));
            }
        }

        private final class Node {
            private final LogWriter writer;
            private RecordingLedger ledger;
            private LogFollower follower;
            private Optional<byte[]> cut = Optional.empty();

            private Node(String name) {
                writer = LogWriter.builder(log, clock, clock).stream("work")
                        .writer(name)
                        .linger(Duration.ofMillis(20))
                        .build();
                startReader();
            }

            private void startReader() {
                if (follower != null) {
                    follower.stop();
                }
                ledger = new RecordingLedger();
                follower = LogFollower.builder(log, clock, clock).stream("work")
                        .ledger(ledger)
                        .maxBytes(200)
                        .start();
            }

            private Optional<byte[]> cutSnapshot() {
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
                case LOSE_ANSWER -> log.loseAnswers(1);
                case LATE_COPY -> log.delayCopies(1);
                case OUTAGE -> log.outage(true);
                case RECOVERY -> log.outage(false);
                case GARBAGE -> log.store(new byte[] {(byte) 0xff, (byte) step.node()});
                case EXPIRE -> expireWhatSnapshotsCover();
                case RESTART_READER -> node.startReader();
                case SNAPSHOT -> node.cutSnapshot().ifPresent(log::store);
                case CUT_SNAPSHOT -> node.cut = node.cutSnapshot();
                case WRITE_CUT_SNAPSHOT -> node.cut.ifPresent(log::store);
                case WAIT -> {}
            }
            clock.advance(Duration.ofMillis(step.waitMs()));
        }

        /** Expires all records that the newest snapshot covers, as a retention time that is long enough would at most. */
        private void expireWhatSnapshotsCover() {
            long covered = 0;
            SnapshotAssembler assembler = new SnapshotAssembler("work", false);
            for (long offset = log.first(); offset < log.next(); offset++) {
                covered = Math.max(covered, log.coveredBy(offset, assembler));
            }
            log.expireBefore(covered + 1);
        }

        private void settle() {
            log.outage(false);
            log.loseAnswers(0);
            log.delayCopies(0);
            clock.advanceUntil(() -> outcomes.values().stream().allMatch(Future::isComplete), Duration.ofSeconds(60));
            // A late copy arrives 3 s after its append.
            clock.advance(Duration.ofSeconds(4));
            clock.advanceUntil(
                    () -> nodes.stream().allMatch(node -> node.follower.position() == log.next() - 1),
                    Duration.ofSeconds(60));
        }

        private void check() {
            List<String> first = nodes.get(0).ledger.values();
            nodes.forEach(node -> assertEquals(first, node.ledger.values()));
            assertEquals(first.size(), new HashSet<>(first).size(), "values are folded once: " + first);
            outcomes.forEach((value, outcome) -> {
                assertTrue(outcome.result().isRight(), value + ": " + outcome.result());
                assertTrue(first.contains(value), value + " was acknowledged");
            });
            assertEquals(outcomes.size(), first.size());
        }
    }
}
