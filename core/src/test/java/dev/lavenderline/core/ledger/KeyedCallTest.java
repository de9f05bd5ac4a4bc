package dev.lavenderline.core.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.CallClaimed;
import dev.lavenderline.proto.log.CallFinished;
import dev.lavenderline.proto.log.CallOutcome;
import dev.lavenderline.proto.log.Entry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

class KeyedCallTest {
    private static final Duration RETENTION = Duration.ofHours(6);

    private final List<CallEvent> events = new ArrayList<>();
    private final CallLedger ledger = new CallLedger(RETENTION, events::add);
    private final LogFixture log = new LogFixture().addReaders(ledger);

    private static Entry claim(String key, String holder, Instant expires) {
        return Entry.newBuilder()
                .setCallClaimed(CallClaimed.newBuilder()
                        .setWorkspace("w")
                        .setKey(key)
                        .setHolder(holder)
                        .setDigest(ByteString.copyFromUtf8(holder))
                        .setExpiresMs(expires.toEpochMilli()))
                .build();
    }

    private static Entry finish(String key, long claim, CallOutcome outcome) {
        return Entry.newBuilder()
                .setCallFinished(CallFinished.newBuilder()
                        .setWorkspace("w")
                        .setKey(key)
                        .setClaim(claim)
                        .setOutcome(outcome))
                .build();
    }

    private KeyedCall call(String key) {
        return ledger.call("w", key).orElseThrow();
    }

    /** Guards against a call that two nodes send, and against an outcome recorded by the node whose claim lost. */
    @Test
    void firstClaimWinsAndOnlyItsHolderCanFinishTheCall() {
        long first = log.append("a", claim("k", "a", log.now()));
        long second = log.append("b", claim("k", "b", log.now()));
        log.append("b", finish("k", second, CallOutcome.DONE), finish("k", 0, CallOutcome.NOT_RUN));
        assertEquals("a", call("k").holder());
        assertTrue(call("k").finished().isEmpty());
        log.append("a", finish("k", first, CallOutcome.UNKNOWN));
        log.append("a", finish("k", first, CallOutcome.DONE), finish("k", first, CallOutcome.NOT_RUN));
        assertEquals(CallOutcome.UNKNOWN, call("k").finished().orElseThrow().getOutcome());
        assertEquals(
                List.of(
                        new CallEvent.Claimed("w", "k", "a", first),
                        new CallEvent.Finished("w", "k", first, CallOutcome.UNKNOWN)),
                events);
    }

    /** Guards against a key that stays in use although its call did not run. */
    @Test
    void notRunFreesTheKey() {
        long first = log.append("a", claim("k", "a", log.now()));
        log.append("a", finish("k", first, CallOutcome.CALL_OUTCOME_UNSPECIFIED));
        assertTrue(ledger.call("w", "k").isPresent());
        log.append("a", finish("k", first, CallOutcome.NOT_RUN));
        assertFalse(ledger.call("w", "k").isPresent());
        log.append("b", claim("k", "b", log.now()), finish("k", first, CallOutcome.DONE));
        assertTrue(call("k").finished().isEmpty());
    }

    /** Guards against a second run of a call whose key expired early because the clock of its holder was slow. */
    @Test
    void callIsRemovedOneRetentionAfterExpiryAndOutcome() {
        long first = log.append("a", claim("k", "a", Instant.EPOCH), claim("open", "a", log.now()));
        assertEquals(log.now(), call("k").expires());
        log.advance(Duration.ofHours(1)).append("a", finish("k", first, CallOutcome.DONE));
        log.advance(RETENTION.minusMillis(1)).append("a");
        assertTrue(ledger.call("w", "k").isPresent());
        assertFalse(ledger.call("w", "open").isPresent());
        log.advance(Duration.ofMillis(1)).append("a");
        assertEquals(0, ledger.size());
    }

    /** Guards against an old or corrupt snapshot that frees a key. */
    @Test
    void oldAndCorruptSnapshotsAreRejected() {
        byte[] empty = ledger.snapshot();
        log.append("a", claim("k", "a", log.now()));
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(1, empty));
        assertThrows(IllegalArgumentException.class, () -> ledger.restore(9, new byte[] {1, 2, 3}));
        assertEquals("a", call("k").holder());
    }

    enum Kind {
        CLAIM,
        FINISH,
        DUPLICATE_BATCH,
        RESTORE,
        ADVANCE_TIME
    }

    /** One step; {@code choice} picks a claim, an outcome or a record. */
    record Step(Kind kind, String node, String key, int choice) {}

    @Provide
    Arbitrary<List<Step>> schedules() {
        return Combinators.combine(
                        Arbitraries.of(
                                Kind.CLAIM,
                                Kind.CLAIM,
                                Kind.FINISH,
                                Kind.FINISH,
                                Kind.DUPLICATE_BATCH,
                                Kind.RESTORE,
                                Kind.ADVANCE_TIME),
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of("k0", "k1"),
                        Arbitraries.integers().between(0, 63))
                .as(Step::new)
                .list()
                .ofMaxSize(60)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    /** Guards against two claims of a key in use, a final outcome that changes, and readers whose states differ. */
    @Property(seed = "20261203", tries = 400, shrinking = ShrinkingMode.FULL)
    void everyKeyHasOneHolderAndOneOutcome(@ForAll("schedules") List<Step> schedule) {
        LogFixture records = new LogFixture();
        // A key without a current claim is free. Final outcomes are kept until the retention has passed.
        Map<String, Long> current = new HashMap<>();
        Map<String, CallOutcome> outcomes = new HashMap<>();
        List<CallEvent> seen = new ArrayList<>();
        CallLedger fromStart = new CallLedger(RETENTION, event -> {
            seen.add(event);
            if (event instanceof CallEvent.Claimed claimed) {
                assertFalse(current.containsKey(claimed.key()), "second claim of a key in use");
                current.put(claimed.key(), claimed.claim());
            } else if (event instanceof CallEvent.Finished finished) {
                assertEquals(current.get(finished.key()), finished.claim());
                assertFalse(outcomes.containsKey(finished.key()), "second outcome");
                if (finished.outcome() == CallOutcome.NOT_RUN) {
                    current.remove(finished.key());
                } else {
                    outcomes.put(finished.key(), finished.outcome());
                }
            }
        });
        Readers<CallLedger> readers = new Readers<>(records, fromStart, () -> new CallLedger(RETENTION, event -> {}));
        List<Long> claims = new ArrayList<>(List.of(0L));
        for (Step step : schedule) {
            switch (step.kind()) {
                case CLAIM ->
                    claims.add(readers.append(
                            records.batch(step.node(), List.of(claim(step.key(), step.node(), records.now())))));
                case FINISH -> {
                    long claim = claims.get(Math.max(0, claims.size() - 1 - step.choice() / 4 % 3));
                    CallOutcome outcome = CallOutcome.forNumber(step.choice() % 4);
                    boolean isValid = current.containsKey(step.key())
                            && current.get(step.key()) == claim
                            && !outcomes.containsKey(step.key())
                            && outcome != CallOutcome.CALL_OUTCOME_UNSPECIFIED;
                    int before = seen.size();
                    readers.append(records.batch(step.node(), List.of(finish(step.key(), claim, outcome))));
                    assertEquals(isValid ? before + 1 : before, seen.size(), "outcome under claim " + claim);
                }
                case DUPLICATE_BATCH -> {
                    if (!records.records().isEmpty()) {
                        readers.append(records.records()
                                .get(step.choice() % records.records().size())
                                .batch());
                    }
                }
                case RESTORE -> {
                    if (fromStart.position() > 0) {
                        readers.restore();
                    }
                }
                // Less than the retention in total, so that no call is removed.
                case ADVANCE_TIME -> records.advance(Duration.ofMinutes(step.choice() / 16));
            }
            for (CallLedger reader : readers.readers()) {
                for (String key : List.of("k0", "k1")) {
                    assertEquals(
                            current.get(key),
                            reader.call("w", key).map(KeyedCall::claim).orElse(null));
                    assertEquals(
                            outcomes.get(key),
                            reader.call("w", key)
                                    .flatMap(KeyedCall::finished)
                                    .map(CallFinished::getOutcome)
                                    .orElse(null));
                }
            }
        }
        Statistics.label("final outcome")
                .collect(!outcomes.isEmpty())
                .coverage(coverage -> coverage.check(true).percentage(share -> share > 20));
    }
}
