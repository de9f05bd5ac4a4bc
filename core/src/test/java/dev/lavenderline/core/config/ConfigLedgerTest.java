package dev.lavenderline.core.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.config.ConfigLedger.Outcome;
import dev.lavenderline.core.ledger.LogFixture;
import dev.lavenderline.core.ledger.Readers;
import dev.lavenderline.proto.log.ConfigChange;
import dev.lavenderline.proto.log.ConfigFile;
import dev.lavenderline.proto.log.Entry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;
import org.junit.jupiter.api.Test;

class ConfigLedgerTest {
    private final List<Long> revisions = new ArrayList<>();
    private final ConfigLedger ledger = ledger(config -> revisions.add(config.revision()));
    private final LogFixture log = new LogFixture().addReaders(ledger);

    /** Each file becomes a model; the parser rejects the content "bad" and throws on "throw". */
    private static ConfigLedger ledger(Consumer<FleetConfig> listener) {
        return new ConfigLedger(ConfigLedgerTest::parse, listener);
    }

    private static Either<String, FleetConfig> parse(SortedMap<String, byte[]> files) {
        Map<String, Model> models = new TreeMap<>();
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            String content = new String(file.getValue(), UTF_8);
            if (content.equals("bad")) {
                return Either.left(file.getKey() + ": bad");
            }
            if (content.equals("throw")) {
                throw new IllegalStateException(file.getKey());
            }
            models.put(file.getKey(), new Model(content, List.of(), List.of(), 0));
        }
        return Either.right(new FleetConfig(0, models, Map.of(), Map.of(), Map.of(), Map.of()));
    }

    private static Entry change(String id, long base, String... namesAndContents) {
        ConfigChange.Builder change = ConfigChange.newBuilder().setId(id).setBase(base);
        for (int i = 0; i < namesAndContents.length; i += 2) {
            change.addFiles(ConfigFile.newBuilder()
                    .setName(namesAndContents[i])
                    .setContent(ByteString.copyFromUtf8(namesAndContents[i + 1]))
                    .setRemoved(namesAndContents[i + 1].isEmpty()));
        }
        return Entry.newBuilder().setConfigChange(change).build();
    }

    /** Guards against a lost update when two operators concurrently change the same revision. */
    @Test
    void firstOfTwoConcurrentChangesWins() {
        long first = log.append("o1", change("c1", 0, "a", "1", "b", "2"));
        log.append("o2", change("c2", 0, "a", "9"));
        assertEquals(Outcome.ACCEPTED, ledger.outcome("c1"));
        assertEquals(Outcome.VOID, ledger.outcome("c2"));
        assertEquals(Outcome.UNKNOWN, ledger.outcome("c3"));
        assertEquals(first, ledger.revision());
        long third = log.append("o2", change("c2", first, "a", "", "c", "3"));
        assertEquals(Outcome.ACCEPTED, ledger.outcome("c2"), "a change with a new base");
        assertEquals(List.of("b", "c"), List.copyOf(ledger.files().keySet()));
        assertEquals(ledger.files().keySet(), ledger.config().models().keySet());
        assertEquals(List.of(first, third), revisions);
    }

    /** Guards against an invalid configuration in effect, and against a change that stops every node. */
    @Test
    void changeThatTheParserRejectsIsVoid() {
        long first = log.append("o", change("c1", 0, "a", "1"));
        log.append(
                "o", change("c2", first, "a", "bad"), change("c3", first, "a", "throw"), change("c4", first, "", "1"));
        assertEquals(first, ledger.revision());
        assertEquals("1", new String(ledger.files().get("a"), UTF_8));
        assertEquals(
                List.of(Outcome.VOID, Outcome.VOID, Outcome.VOID),
                List.of(ledger.outcome("c2"), ledger.outcome("c3"), ledger.outcome("c4")));
    }

    /** Guards against reporting an accepted change as void after the operator resends it. */
    @Test
    void resentChangeStaysAccepted() {
        log.append("o1", change("c1", 0, "a", "1"));
        log.append("o1-restarted", change("c1", 0, "a", "1"));
        assertEquals(Outcome.ACCEPTED, ledger.outcome("c1"));
        assertEquals(1, ledger.revision());
    }

    /** Guards against unbounded growth of the retained outcomes. */
    @Test
    void onlyTheMostRecentOutcomesAreRetained() {
        for (int i = 0; i <= ConfigLedger.RETAINED_OUTCOMES; i++) {
            log.append("o", change("c" + i, 7));
        }
        assertEquals(Outcome.UNKNOWN, ledger.outcome("c0"));
        assertEquals(Outcome.VOID, ledger.outcome("c1"));
    }

    /** Guards against a lower revision after restoring a snapshot that is older, corrupt or rejected by the parser. */
    @Test
    void unusableSnapshotChangesNothing() {
        byte[] empty = ledger.snapshot();
        long first = log.append("o", change("c1", 0, "a", "1"));
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(first, empty));
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(99, empty), "its revision is lower");
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(99, new byte[] {1, 2, 3}));
        ConfigLedger stricter = new ConfigLedger(files -> Either.left("no"), config -> {});
        assertThrows(IllegalArgumentException.class, () -> stricter.restore(first, ledger.snapshot()));
        assertEquals(0, stricter.position());
        assertEquals(first, ledger.revision());
    }

    /**
     * A step of a schedule.
     *
     * @param lag number of accepted revisions that the operator has not seen
     * @param action 0 restores a snapshot, 1 appends a duplicate of a record, others append a change
     */
    record Step(int action, int lag, String file, String content) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.of(0, 0, 0, 1, 2),
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of("1", "2", "3", "", "bad", "throw"))
                .as(Step::new)
                .list()
                .ofMaxSize(60)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    /** Guards against a decreasing revision, an accepted change with an outdated base, and readers that disagree. */
    @Property(seed = "20261203", tries = 300, shrinking = ShrinkingMode.FULL)
    void revisionNeverDecreasesAndReadersAgree(@ForAll("schedules") List<Step> schedule) {
        LogFixture records = new LogFixture();
        ConfigLedger main = ledger(config -> {});
        Readers<ConfigLedger> readers = new Readers<>(records, main, () -> ledger(config -> {}));
        List<Long> accepted = new ArrayList<>(List.of(0L));
        TreeMap<String, String> folder = new TreeMap<>();
        for (Step step : schedule) {
            int size = records.records().size();
            if (step.action() == 0) {
                if (size > 0) {
                    readers.restore();
                }
            } else if (step.action() == 1) {
                if (size > 0) {
                    readers.append(
                            records.records().get((step.lag() * 7) % size).batch());
                }
            } else {
                long base = accepted.get(Math.max(0, accepted.size() - 1 - step.lag()));
                boolean isCurrent = base == accepted.get(accepted.size() - 1);
                long offset = readers.append(records.batch(
                        "operator" + step.lag(), List.of(change("c" + size, base, step.file(), step.content()))));
                boolean isValid = isCurrent
                        && !step.content().equals("bad")
                        && !step.content().equals("throw");
                if (isValid) {
                    accepted.add(offset);
                    folder.merge(step.file(), step.content(), (old, changed) -> changed);
                    folder.values().removeIf(String::isEmpty);
                }
                assertEquals(isValid ? Outcome.ACCEPTED : Outcome.VOID, main.outcome("c" + size));
            }
            for (ConfigLedger reader : readers.readers()) {
                assertEquals(accepted.get(accepted.size() - 1), reader.revision());
                TreeMap<String, String> actual = new TreeMap<>();
                reader.files().forEach((name, content) -> actual.put(name, new String(content, UTF_8)));
                assertEquals(folder, actual);
                assertEquals(folder.keySet(), reader.config().models().keySet());
            }
        }
        Statistics.label("several revisions")
                .collect(accepted.size() > 3)
                .coverage(coverage -> coverage.check(true).percentage(share -> share > 30));
        assertTrue(main.revision() <= main.position());
    }
}
