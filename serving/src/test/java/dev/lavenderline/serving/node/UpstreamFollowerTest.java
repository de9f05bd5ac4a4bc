package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.ClockReading;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against missed changes of an upstream, since entries that repeat the previous content are not decoded. */
class UpstreamFollowerTest {
    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private int decoded;
    private final UpstreamFollower follower = new UpstreamFollower(new StateRecordDecoder(), directory, EventLog.NONE);

    /** Decodes records that consist of a state and a counter of one digit. */
    private final class StateRecordDecoder implements ControlRecordDecoder {
        @Override
        public String configKey() {
            return "config";
        }

        @Override
        public Either<String, FleetConfig> config(byte[] value) {
            return Either.left("not used");
        }

        @Override
        public int contentLength(byte[] value) {
            return value.length - 1;
        }

        @Override
        public Either<String, Upstream> upstream(String id, byte[] value) {
            decoded++;
            String state = new String(value, 0, value.length - 1, StandardCharsets.UTF_8);
            if (state.equals("throws")) {
                throw new StackOverflowError();
            }
            return state.equals("broken")
                    ? Either.left("broken")
                    : Either.right(
                            new Upstream(id, "s", "10.0.0.1", 80, "a", 2, state.equals("draining"), version(state)));
        }
    }

    private static String version(String state) {
        return state.startsWith("v") ? state : "v1";
    }

    private static KeyedRecord entry(String id, String text) {
        return new KeyedRecord(id, text.getBytes(StandardCharsets.UTF_8));
    }

    private boolean draining() {
        return directory.find("e").orElseThrow().draining();
    }

    @Test
    void decodesChangedEntriesOnly() {
        follower.record(entry("e", "ready1"));
        follower.record(entry("e", "ready2"));
        assertEquals(1, decoded);
        follower.record(entry("e", "draining3"));
        assertTrue(draining());
        follower.record(entry("e", "draining4"));
        follower.record(entry("e", "ready5"));
        assertFalse(draining());
        assertEquals(3, decoded);
    }

    @Test
    void decodesEntryAfterMalformedOne() {
        follower.record(entry("e", "ready1"));
        follower.record(entry("e", "broken2"));
        assertTrue(directory.find("e").isEmpty());
        follower.record(entry("e", "ready3"));
        assertFalse(draining());
    }

    @Test
    void restoresRemovedUpstreamFromSameEntry() {
        follower.record(entry("e", "ready1"));
        follower.record(entry("e", ""));
        assertTrue(directory.find("e").isEmpty());
        follower.record(entry("e", "ready2"));
        assertFalse(draining());
        follower.reset(List.of(entry("other", "ready1")));
        assertTrue(directory.find("e").isEmpty());
        follower.record(entry("e", "ready3"));
        assertFalse(draining());
    }

    /** Returns the cause for a resumption that arrived at a monotonic time. */
    private ServedVersions.Cause cause(long arrived) {
        return directory.servedVersions().only(Set.of("s"), arrived).cause();
    }

    /** Guards against a conclusion from a list that a node which was cut off has read only in part. */
    @Test
    void versionIsNotConcludedBeforeTheEndOfTheListIsRead() {
        Partition partition = new Partition("upstreams", 0);
        FakeStore store = new FakeStore();
        store.endPolls(time);
        store.log(partition).add(entry("e", "v11"));
        new PartitionFollower(
                        store,
                        partition,
                        follower,
                        time,
                        time,
                        EventLog.NONE,
                        Duration.ofSeconds(1),
                        () -> Duration.ofMillis(400))
                .start();
        time.advance(ServedVersions.LEAST_PERIOD.plusSeconds(1));
        long arrivedInStep = time.nanos();
        time.advance(Duration.ofSeconds(3));
        assertEquals(ServedVersions.Cause.OBSERVED, cause(arrivedInStep));
        store.down(true);
        time.advance(Duration.ofSeconds(10));
        store.sliceSize(1);
        store.log(partition).addAll(List.of(entry("e", "v12"), entry("e", "v13"), entry("f", "v21")));
        store.down(false);
        long arrived = time.nanos();
        for (int i = 0; i < 50; i++) {
            assertEquals(
                    directory.find("f").isPresent()
                            ? ServedVersions.Cause.SEVERAL_VERSIONS
                            : ServedVersions.Cause.LIST_OUTDATED,
                    cause(arrived));
            time.advance(Duration.ofMillis(100));
        }
        assertTrue(directory.find("f").isPresent());
    }

    /** Guards against a conclusion by a listener of the list while a load after expired history is applied. */
    @Test
    void versionIsNotConcludedWhileTheListIsReloaded() {
        follower.reset(List.of(entry("e", "v11"), entry("f", "v11")));
        for (Duration passed = Duration.ZERO;
                passed.compareTo(ServedVersions.LEAST_PERIOD) < 0;
                passed = passed.plusSeconds(1)) {
            time.advance(Duration.ofSeconds(1));
            follower.caughtUp();
            follower.endReached(ClockReading.now(time));
        }
        long arrived = time.nanos();
        time.advance(Duration.ofSeconds(1));
        follower.endReached(ClockReading.now(time));
        assertEquals(ServedVersions.Cause.OBSERVED, cause(arrived));
        directory.onChange(() -> assertEquals(ServedVersions.Cause.NOT_OBSERVED, cause(arrived)));
        follower.reset(List.of(entry("e", "v11")));
        assertEquals(ServedVersions.Cause.NOT_OBSERVED, cause(arrived));
    }

    /** Guards against a process that starts while an odd entry is in the list and then knows no upstream at all. */
    @Test
    void otherEntriesOfTheListHoldAfterOneThatThrows() {
        follower.reset(List.of(entry("a", "ready1"), entry("b", "throws1"), entry("c", "ready1")));
        assertTrue(directory.loaded());
        assertTrue(directory.find("a").isPresent());
        assertTrue(directory.find("b").isEmpty());
        assertTrue(directory.find("c").isPresent());
    }
}
