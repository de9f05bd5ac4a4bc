package dev.lavenderline.core.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.ledger.LogFixture.Stored;
import dev.lavenderline.core.ledger.WorkModel.ModelJob;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.RecordBatch;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;

/**
 * Compares the ledger with {@link WorkModel} under random schedules of nodes that claim jobs, pause, write from stale
 * state and append batches twice.
 */
class WorkLedgerPropertyTest {
    private static final int ITEMS = 6;

    enum Kind {
        CLAIM,
        COMPLETE,
        RELEASE,
        CLOSE,
        CANCEL,
        REPUBLISH,
        CATCH_UP,
        FLUSH_OUTBOX,
        DUPLICATE_BATCH,
        ADVANCE_TIME,
        RESTORE
    }

    /**
     * One step of a node.
     *
     * @param bits random number from 0 to 63; its use depends on the kind
     * @param isFresh whether the node reads the log to its end first
     * @param isFlushed whether the node appends its outbox at the end of the step
     */
    record Step(Kind kind, int node, String job, int bits, boolean isFresh, boolean isFlushed) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(8, Kind.CLAIM),
                Tuple.of(20, Kind.COMPLETE),
                Tuple.of(1, Kind.RELEASE),
                Tuple.of(1, Kind.CLOSE),
                Tuple.of(1, Kind.CANCEL),
                Tuple.of(2, Kind.REPUBLISH),
                Tuple.of(4, Kind.CATCH_UP),
                Tuple.of(2, Kind.FLUSH_OUTBOX),
                Tuple.of(4, Kind.DUPLICATE_BATCH),
                Tuple.of(2, Kind.ADVANCE_TIME),
                Tuple.of(2, Kind.RESTORE));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.of("j0", "j1"),
                        Arbitraries.integers().between(0, 63),
                        Arbitraries.of(true, false),
                        Arbitraries.of(true, true, true, false))
                .as(Step::new)
                .list()
                .ofMaxSize(100)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    /**
     * Guards against two results of one item, lost results, results of a former holder, and readers whose states differ
     * after any record, duplicate or restore.
     */
    @Property(seed = "20261203", tries = 400, shrinking = ShrinkingMode.FULL)
    void ledgerMatchesTheModel(@ForAll("schedules") List<Step> schedule) {
        Run run = new Run();
        schedule.forEach(run::execute);
        Statistics.label("results under a former claim")
                .collect(run.model.staleResults > 0)
                .coverage(coverage -> coverage.check(true).percentage(share -> share > 20));
        Statistics.label("completed job")
                .collect(run.model.jobs.values().stream().anyMatch(job -> job.endState.equals("COMPLETED")))
                .coverage(coverage -> coverage.check(true).percentage(share -> share > 5));
    }

    private static final class Run {
        final LogFixture log = new LogFixture();
        final WorkModel model = new WorkModel(ITEMS);
        final Set<String> everDone = new HashSet<>();
        final WorkLedger fromStart = new WorkLedger(WorkEntries.RETENTION, this::onEvent);
        final Readers<WorkLedger> readers = new Readers<>(log, fromStart, WorkEntries::ledger);
        final List<Node> nodes = List.of(new Node(log, "a"), new Node(log, "b"), new Node(log, "c"));

        Run() {
            append(log.batch(
                    "http",
                    List.of(
                            WorkEntries.chunk("f", 0, 0, ITEMS),
                            WorkEntries.seal("f", ITEMS, 1),
                            WorkEntries.job("j0", "f", ITEMS),
                            WorkEntries.job("j1", "f", ITEMS))));
        }

        void execute(Step step) {
            Node node = nodes.get(step.node());
            switch (step.kind()) {
                case CATCH_UP -> log.catchUp(node.view);
                case FLUSH_OUTBOX -> flush(node);
                case DUPLICATE_BATCH ->
                    append(log.records().get(step.bits() % log.records().size()).batch());
                case ADVANCE_TIME -> log.advance(Duration.ofHours(step.bits() / 4));
                case RESTORE -> readers.restore();
                default -> write(node, step);
            }
        }

        void write(Node node, Step step) {
            if (step.isFresh()) {
                log.catchUp(node.view);
            }
            node.view.job(step.job()).ifPresent(job -> node.write(step, job));
            if (step.isFlushed()) {
                flush(node);
            }
        }

        void flush(Node node) {
            append(log.batch(node.name, node.outbox));
            node.outbox.clear();
        }

        void append(RecordBatch batch) {
            readers.append(batch);
            Stored stored = log.records().get(log.records().size() - 1);
            model.apply(stored);
            readers.readers().forEach(this::compare);
        }

        void onEvent(WorkEvent event) {
            if (event instanceof WorkEvent.ItemsDone done) {
                done.indexes().forEach(i -> assertTrue(everDone.add(done.jobId() + i), "second result of item " + i));
            }
            if (event instanceof WorkEvent.JobRemoved removed) {
                everDone.removeIf(item -> item.startsWith(removed.jobId()));
            }
        }

        void compare(WorkLedger ledger) {
            assertEquals(
                    model.jobs.keySet(),
                    ledger.jobs(WorkEntries.WORKSPACE).stream().map(Job::id).collect(Collectors.toSet()));
            model.jobs.forEach(
                    (id, expected) -> compare(expected, ledger.job(id).orElseThrow()));
        }

        void compare(ModelJob expected, Job job) {
            assertEquals(expected.claim, job.claim(), "claim of " + job.id());
            assertEquals(expected.holder, job.holder());
            assertEquals(
                    expected.endState.isEmpty() ? "IN_PROGRESS" : expected.endState,
                    job.state().name());
            assertEquals(List.copyOf(expected.results.keySet()), WorkEntries.doneItems(job));
            long failures = expected.results.values().stream()
                    .filter(result -> !result.getErrorCode().isEmpty())
                    .count();
            assertEquals(failures, job.failed());
            expected.results.forEach((item, result) -> {
                long offset = job.resultOffset(item).orElseThrow();
                assertEquals(expected.offsets.get(item), offset);
                Stored stored = log.records().get((int) offset - 1);
                assertEquals(
                        result,
                        WorkLedger.resultIn(stored.batch(), job.id(), item).orElseThrow());
            });
        }
    }

    /** A node that writes from its view of the log, which may lack newer claims. */
    private static final class Node {
        final LogFixture log;
        final String name;
        final WorkLedger view = WorkEntries.ledger();
        final List<Entry> outbox = new ArrayList<>();
        private int written;

        Node(LogFixture log, String name) {
            this.log = log;
            this.name = name;
        }

        void write(Step step, Job job) {
            boolean isHolder = job.holder().equals(name);
            switch (step.kind()) {
                case CLAIM -> outbox.add(WorkEntries.claim(job.id(), name, job.claim()));
                case COMPLETE -> {
                    if (isHolder) {
                        outbox.add(WorkEntries.complete(job.id(), job.claim(), results(step.bits())));
                    }
                }
                case RELEASE -> outbox.add(WorkEntries.release(job.id(), isHolder ? job.claim() : 0));
                case CLOSE -> outbox.add(WorkEntries.close(job.id(), isHolder ? job.claim() : 0, "deadline"));
                case CANCEL ->
                    outbox.add(WorkEntries.cancel(job.id(), step.bits() < 32 ? WorkEntries.WORKSPACE : "other"));
                case REPUBLISH -> republish(job);
                default -> throw new AssertionError(step);
            }
        }

        private ItemResult[] results(int bits) {
            List<ItemResult> results = new ArrayList<>();
            for (int i = 0; i < ITEMS; i++) {
                if ((bits >> i & 1) == 1) {
                    written++;
                    results.add(ItemResult.newBuilder()
                            .setIndex(i)
                            .setBody(ByteString.copyFromUtf8(name + written))
                            .setErrorCode(written % 5 == 0 ? "attempts_exhausted" : "")
                            .build());
                }
            }
            return results.toArray(ItemResult[]::new);
        }

        /** Republishes the results in the view of the node, as the holder of a job does. */
        private void republish(Job job) {
            List<ItemResult> copies = new ArrayList<>();
            for (int item : WorkEntries.doneItems(job)) {
                Stored stored = log.records().get((int) job.resultOffset(item).orElseThrow() - 1);
                copies.add(WorkLedger.resultIn(stored.batch(), job.id(), item).orElseThrow());
            }
            outbox.add(WorkEntries.republish(job.id(), copies.toArray(ItemResult[]::new)));
        }
    }
}
