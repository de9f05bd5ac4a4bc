package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.node.NodeHarness.TextRecordDecoder;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.KeyedPage;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.LogSlice;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import dev.lavenderline.serving.workspaces.ClockReading;
import dev.lavenderline.serving.workspaces.ConfigAge;
import dev.lavenderline.serving.workspaces.KeyFreshness;
import dev.lavenderline.serving.workspaces.KeyFreshness.Decision;
import dev.lavenderline.serving.workspaces.Workspaces;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against responses of the store that confirm more than was true when they were requested, and against a node
 * that uses a removed key for longer than the bound because its responses are late.
 */
class ConfigConfirmationTest {
    private static final Partition PARTITION = new Partition("config", 0);
    private static final Duration LIMIT = Duration.ofMillis(4750);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final ConfigAge age = new ConfigAge(time);
    private final List<ServingEvent> events = new ArrayList<>();
    private final EventLog log = (event, fields) -> events.add(event);
    private final ConfigFollower config = new ConfigFollower(new TextRecordDecoder(), age, log);
    private final KeyFreshness keys = new KeyFreshness(
            Optional.of(Duration.ofSeconds(5)),
            age,
            () -> config.current().map(current -> current.workspaces()).orElse(Workspaces.none()));
    private final KeyFreshnessEvents keyEvents = new KeyFreshnessEvents(keys, age, log);
    private Duration responseDelay = Duration.ZERO;
    private final PartitionFollower reader = new PartitionFollower(
            new SlowStore(), PARTITION, config, time, time, log, Duration.ofSeconds(1), () -> Duration.ofMillis(20));

    /** Passes on the responses of the store late. */
    private final class SlowStore implements MetadataStore {
        private <T> Future<T> late(Future<T> response) {
            Promise<T> promise = Promise.promise();
            response.onComplete(result -> time.after(responseDelay, () -> promise.handle(result)));
            return responseDelay.isZero() ? response : promise.future();
        }

        @Override
        public Future<LogSlice> read(Partition partition, long from, Duration wait) {
            return late(store.read(partition, from, wait));
        }

        @Override
        public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Future<KeyedPage> newest(Partition partition, String after) {
            return late(store.newest(partition, after));
        }

        @Override
        public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void renewConnections() {}
    }

    ConfigConfirmationTest() {
        config.storeAsked(reader::asked);
        store.endPolls(time);
    }

    private void write(String value) {
        store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord("config", bytes(value))));
    }

    private static byte[] bytes(String value) {
        return value.getBytes(StandardCharsets.UTF_8);
    }

    /** Advances the time by small steps; returns how long a key was admitted. */
    private Duration admitted(String key, Duration period) {
        Duration step = Duration.ofMillis(10);
        Duration total = Duration.ZERO;
        for (Duration at = Duration.ZERO; at.compareTo(period) < 0; at = at.plus(step)) {
            total = keys.check(key) == Decision.ADMITTED ? total.plus(step) : total;
            time.advance(step);
            keyEvents.check();
        }
        return total;
    }

    @Test
    void keysAreServedWithoutABreak() {
        write("1 k1");
        reader.start();
        assertEquals(Duration.ofSeconds(20), admitted("k1", Duration.ofSeconds(20)));
        assertFalse(events.contains(ServingEvent.CONFIG_TOO_OLD));
    }

    /** The response was true when the poll began, and arrives long after the removal. */
    @Test
    void pollInFlightDuringTheRemovalConfirmsWhatWasTrueWhenItBegan() {
        write("1 k1");
        reader.start();
        responseDelay = Duration.ofMillis(3000);
        time.advance(Duration.ofMillis(2100));
        assertEquals(0, store.waitingPolls(), "the poll has ended at the store");
        write("2 other");
        store.down(true);
        Duration after = admitted("k1", Duration.ofSeconds(10));
        assertTrue(after.compareTo(Duration.ofSeconds(5)) < 0, "admitted for " + after);
        assertEquals(ServingEvent.CONFIG_TOO_OLD, lastKeyEvent());
        store.down(false);
        responseDelay = Duration.ZERO;
        time.advance(Duration.ofSeconds(3));
        keyEvents.check();
        assertEquals(Decision.KEY_REMOVED, keys.check("k1"));
        assertEquals(ServingEvent.CONFIG_CONFIRMED, lastKeyEvent());
    }

    private ServingEvent lastKeyEvent() {
        return events.stream()
                .filter(Set.of(ServingEvent.CONFIG_TOO_OLD, ServingEvent.CONFIG_CONFIRMED)::contains)
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    /** The process starts while the key is removed; the list that it reads is from before. */
    @Test
    void listRequestedBeforeTheRemovalIsTooOldWhenItArrivesLate() {
        write("1 k1");
        responseDelay = Duration.ofMillis(4800);
        reader.start();
        write("2 other");
        responseDelay = Duration.ofSeconds(30);
        time.advance(Duration.ofMillis(4800));
        assertEquals(1, config.current().orElseThrow().version());
        assertEquals(Duration.ZERO, admitted("k1", Duration.ofSeconds(10)));
        assertFalse(events.contains(ServingEvent.CONFIG_TOO_OLD), "the start is not logged");
    }

    /** The store names the end of the partition with each response; one that ends before it does not confirm. */
    @Test
    void versionsInRapidSuccessionConfirmOnlyTheLast() {
        write("1 k1");
        reader.start();
        time.advance(Duration.ofMillis(100));
        store.holdPolls(true);
        for (int version = 2; version < 40; version++) {
            write(version + " k1");
        }
        write("40 other");
        store.sliceSize(1);
        responseDelay = Duration.ofMillis(300);
        store.releasePolls();
        Duration after = admitted("k1", Duration.ofSeconds(15));
        assertTrue(after.compareTo(LIMIT) <= 0, "admitted for " + after);
        assertEquals(40, age.version());
        assertEquals(Decision.KEY_REMOVED, keys.check("k1"));
    }

    @Test
    void malformedRecordOfTheStoreLeavesTheLastVersionInUse() {
        write("1 k1");
        reader.start();
        write("malformed");
        assertEquals(Duration.ofSeconds(10), admitted("k1", Duration.ofSeconds(10)));
    }

    @Test
    void recordOfAnotherNodeIsAppliedIfItIsNewerAndValid() {
        config.received(bytes("5 k1"));
        config.received(bytes("4 other"));
        config.received(bytes("malformed"));
        assertEquals(5, age.version());
        assertEquals(Decision.OUTDATED, keys.check("k1"), "nothing has confirmed it");
        age.confirmed(5, ClockReading.now(time));
        assertEquals(Decision.ADMITTED, keys.check("k1"));
        assertEquals("5 k1", new String(config.value().orElseThrow(), StandardCharsets.UTF_8));
    }

    /** Guards against an old state of the store that counts as a confirmation of a version from another node. */
    @Test
    void storeDoesNotConfirmAVersionThatItDoesNotHave() {
        write("1 k1");
        reader.start();
        config.received(bytes("2 k1"));
        time.advance(Duration.ofSeconds(6));
        assertEquals(Decision.OUTDATED, keys.check("k1"));
        write("2 k1");
        time.advance(Duration.ofSeconds(1));
        assertEquals(Decision.ADMITTED, keys.check("k1"));
    }
}
