package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.PartitionFollower;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServedVersions.Cause;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.ClockReading;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against records that miss a version, prove too much, last too long or are written over and over. */
class VersionRecordsTest {
    private static final Duration STEP = Duration.ofMillis(500);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private Process process;

    /** What a process knows; the test applies changes of the list. */
    private final class Process {
        final UpstreamDirectory directory = new UpstreamDirectory(time);
        final VersionRecords records = new VersionRecords(directory.servedVersions(), store, time, EventLog.NONE);
        final PartitionFollower reader = new PartitionFollower(
                store, VersionRecords.PARTITION, records, time, time, EventLog.NONE, Duration.ofSeconds(1), () -> STEP);

        Process(Upstream... listed) {
            directory.replaceAll(List.of(listed));
            reader.start();
        }

        void confirmList() {
            directory.servedVersions().listConfirmed(ClockReading.now(time));
        }

        /** Returns the cause for a resumption that arrives now, once the list has been read. */
        Cause cause() {
            long arrived = time.nanos();
            time.advance(Duration.ofNanos(1));
            confirmList();
            return directory.servedVersions().only(Set.of("s"), arrived).cause();
        }
    }

    private static Upstream upstream(String version) {
        return new Upstream("e-" + version, "s", "10.0.0.1", 80, "a", 8, false, version);
    }

    @BeforeEach
    void start() {
        store.endPolls(time);
        process = new Process(upstream("v1"));
    }

    /** Runs the process, with a response of the store for its list and an update of its records every half second. */
    private void run(Duration period) {
        for (Duration passed = Duration.ZERO; passed.compareTo(period) < 0; passed = passed.plus(STEP)) {
            process.confirmList();
            process.records.update();
            time.advance(STEP);
        }
        process.confirmList();
    }

    /** Ends the process and starts another one, which follows the store for the lag. */
    private void restart(Upstream... listed) {
        process.reader.stop();
        process = new Process(listed);
        Process starting = process;
        for (int i = 0; i < 9; i++) {
            time.advance(STEP);
            starting.confirmList();
        }
    }

    private void settle() {
        run(ServedVersions.LEAST_PERIOD.plusSeconds(2));
    }

    @Test
    void recordsAreWrittenOnlyAtChanges() {
        run(Duration.ofSeconds(2));
        assertEquals(1, store.appends("versions"), "appeared");
        settle();
        assertEquals(2, store.appends("versions"), "settled");
        run(Duration.ofSeconds(60));
        assertEquals(2, store.appends("versions"), "unchanged");
        process.directory.put(upstream("v2"));
        run(Duration.ofSeconds(2));
        assertEquals(3, store.appends("versions"), "second version");
        process.directory.remove("e-v1");
        run(ServedVersions.LEAST_PERIOD);
        assertEquals(3, store.appends("versions"), "first version may still be resumed");
        settle();
        assertEquals(4, store.appends("versions"), "first version is over");
        assertEquals(Cause.OBSERVED, process.cause());
    }

    @Test
    void startingProcessConcludesOnlyFromSettledRecords() {
        run(Duration.ofSeconds(5));
        restart(upstream("v1"));
        assertEquals(Cause.NOT_OBSERVED, process.cause());
        settle();
        restart(upstream("v1"));
        assertEquals(Cause.RECORDED, process.cause());
    }

    @Test
    void startingProcessFindsVersionThatVanishedWhileThereWasNone() {
        settle();
        restart(upstream("v2"));
        assertEquals(Cause.SEVERAL_VERSIONS, process.cause());
        settle();
        assertEquals(Cause.OBSERVED, process.cause());
    }

    /** Guards against losing a record to a failed write, and against one more after a write without a response. */
    @Test
    void failedWritesAreRepeated() {
        store.nextAppends("versions", FakeStore.AppendOutcome.REJECTED, FakeStore.AppendOutcome.ANSWER_LOST);
        run(Duration.ofSeconds(3));
        assertEquals(2, store.appends("versions"));
        settle();
        restart(upstream("v1"));
        assertEquals(Cause.RECORDED, process.cause());
    }

    /** Guards against forgetting a version that vanished before the store accepted its record. */
    @Test
    void versionThatVanishedBeforeTheStoreAcceptedWritesIsRecordedLater() {
        settle();
        store.nextAppends(
                "versions",
                FakeStore.AppendOutcome.REJECTED,
                FakeStore.AppendOutcome.REJECTED,
                FakeStore.AppendOutcome.REJECTED);
        process.directory.put(upstream("v2"));
        run(STEP);
        process.directory.remove("e-v2");
        run(Duration.ofSeconds(3));
        restart(upstream("v1"));
        assertEquals(Cause.SEVERAL_VERSIONS, process.cause());
    }

    /** Guards against deleting the record of a version that this node's list does not show yet. */
    @Test
    void recordThatWasReadRecentlyIsKept() {
        settle();
        Process other = new Process(upstream("v1"), upstream("v2"));
        time.advance(STEP);
        other.records.update();
        other.reader.stop();
        run(Duration.ofSeconds(10));
        assertEquals(Cause.SEVERAL_VERSIONS, process.cause());
        settle();
        assertEquals(Cause.OBSERVED, process.cause());
    }
}
