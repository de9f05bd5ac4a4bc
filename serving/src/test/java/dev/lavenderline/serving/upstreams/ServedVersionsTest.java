package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.upstreams.ServedVersions.Cause;
import dev.lavenderline.serving.workspaces.ClockReading;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against concluding that a version was the only one in a period that nobody has observed. */
class ServedVersionsTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final ServiceVersion V1 = new ServiceVersion("s", "v1");
    private static final ServiceVersion V2 = new ServiceVersion("s", "v2");

    private final Clocks clocks = new Clocks();
    private final UpstreamDirectory directory = new UpstreamDirectory(clocks);
    private final ServedVersions versions = directory.servedVersions();

    /** A monotonic clock and a wall clock that a test sets apart. */
    private static final class Clocks implements Ticker {
        private long nanos;
        private Instant wall = Instant.parse("2026-12-04T00:00:00Z");

        @Override
        public Instant now() {
            return wall;
        }

        @Override
        public long nanos() {
            return nanos;
        }

        void advance(Duration by) {
            nanos += by.toNanos();
            wall = wall.plus(by);
        }

        void suspend(Duration by) {
            wall = wall.plus(by);
        }
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", "10.0.0.1", 80, "a", 8, false, version);
    }

    private void confirmList() {
        versions.listConfirmed(ClockReading.now(clocks));
    }

    @BeforeEach
    void load() {
        confirmList();
        directory.replaceAll(List.of(upstream("e1", "v1")));
    }

    /** Lets the store respond every second. */
    private void follow(Duration period) {
        for (Duration passed = Duration.ZERO; passed.compareTo(period) < 0; passed = passed.plus(SECOND)) {
            clocks.advance(SECOND);
            confirmList();
        }
    }

    /** Returns the cause for a resumption that arrives now, without a read of the list after that. */
    private Cause causeBeforeRead() {
        return versions.only(Set.of("s"), clocks.nanos()).cause();
    }

    /** Returns the cause for a resumption that arrives now, once the list has been read. */
    private Cause cause() {
        long arrived = clocks.nanos();
        clocks.advance(Duration.ofNanos(1));
        confirmList();
        return versions.only(Set.of("s"), arrived).cause();
    }

    @Test
    void versionIsTheOnlyOneOnceTheListWasFollowedForThePeriod() {
        assertEquals(Cause.NOT_OBSERVED, cause());
        follow(ServedVersions.LEAST_PERIOD.minus(SECOND));
        assertEquals(Cause.NOT_OBSERVED, cause());
        follow(SECOND);
        assertEquals(Cause.OBSERVED, cause());
        assertEquals(
                Cause.NO_VERSION, versions.only(Set.of("other"), clocks.nanos()).cause());
    }

    /** Guards against a conclusion from an old list by a node that is cut off, and right after it is back. */
    @Test
    void nodeThatWasCutOffDuringAReleaseDoesNotConclude() {
        follow(ServedVersions.LEAST_PERIOD);
        clocks.advance(ServedVersions.MAX_LIST_AGE.plusMillis(1));
        assertEquals(Cause.LIST_OUTDATED, causeBeforeRead());
        assertEquals(Duration.ZERO, versions.complete());
        directory.put(upstream("e2", "v2"));
        directory.remove("e1");
        assertEquals(Cause.SEVERAL_VERSIONS, cause());
    }

    /**
     * Guards against taking a version for the only one while another one has joined since the last read of the list.
     */
    @Test
    void nodeDoesNotConcludeFromReadsBeforeTheResumptionArrived() {
        follow(ServedVersions.LEAST_PERIOD);
        assertEquals(Cause.LIST_OUTDATED, causeBeforeRead());
        long arrived = clocks.nanos();
        clocks.advance(Duration.ofMillis(1));
        assertEquals(Cause.LIST_OUTDATED, versions.only(Set.of("s"), arrived).cause());
        confirmList();
        assertEquals(Cause.OBSERVED, versions.only(Set.of("s"), arrived).cause());
        assertEquals(Cause.LIST_OUTDATED, causeBeforeRead());
    }

    /** Guards against taking a response that waited while the node stood still for a new one. */
    @Test
    void responseThatIsHandledLateShowsTheListOfTheTimeOfItsRead() {
        follow(ServedVersions.LEAST_PERIOD);
        ClockReading asked = ClockReading.now(clocks);
        clocks.advance(Duration.ofSeconds(10));
        long arrived = clocks.nanos();
        clocks.advance(Duration.ofMillis(1));
        versions.listConfirmed(asked);
        assertEquals(Cause.LIST_OUTDATED, versions.only(Set.of("s"), arrived).cause());
        assertEquals(Duration.ZERO, versions.complete());
    }

    /** Guards against forgetting a version while a resumption waits. */
    @Test
    void periodEndsAtTheArrivalOfTheResumption() {
        directory.put(upstream("e2", "v2"));
        directory.remove("e2");
        follow(ServedVersions.LEAST_PERIOD);
        long arrived = clocks.nanos();
        follow(Duration.ofSeconds(5));
        assertEquals(Cause.SEVERAL_VERSIONS, versions.only(Set.of("s"), arrived).cause());
        assertEquals(Cause.OBSERVED, cause());
    }

    /** Guards against resumptions that are held although no read completes what is known, and against reads in vain. */
    @Test
    void readIsRequestedWhileItMayHelpTheResumption() {
        int[] requests = new int[1];
        versions.requestReadsWith(() -> requests[0]++);
        follow(ServedVersions.PROOF_TIME);
        assertFalse(versions.seek(Set.of("s"), clocks.nanos()), "not observed");
        follow(ServedVersions.LEAST_PERIOD);
        long arrived = clocks.nanos();
        assertTrue(versions.seek(Set.of("s"), arrived));
        assertEquals(1, requests[0]);
        clocks.advance(ServedVersions.MAX_READ_WAIT);
        assertFalse(versions.seek(Set.of("s"), arrived), "the store does not respond");
        directory.put(upstream("e2", "v2"));
        assertFalse(versions.seek(Set.of("s"), clocks.nanos()), "several versions");
        assertEquals(1, requests[0]);
    }

    /** Guards against a conclusion after a suspension, which the monotonic clock does not count. */
    @Test
    void hostThatWasSuspendedDoesNotConcludeBeforeItHasReadTheList() {
        follow(ServedVersions.LEAST_PERIOD);
        clocks.suspend(Duration.ofSeconds(20));
        assertEquals(Cause.LIST_OUTDATED, causeBeforeRead());
        assertEquals(Duration.ZERO, versions.complete());
        assertEquals(Cause.OBSERVED, cause());
    }

    /** Guards against missing what happened while history expired. */
    @Test
    void reloadOfTheListBeginsTheObservationAnew() {
        follow(ServedVersions.LEAST_PERIOD);
        directory.replaceAll(List.of(upstream("e1", "v1")));
        assertEquals(Cause.NOT_OBSERVED, cause());
        follow(ServedVersions.LEAST_PERIOD);
        assertEquals(Cause.OBSERVED, cause());
    }

    /** Guards against forgetting the version between a release and its rollback. */
    @Test
    void versionThatWasRolledBackCountsForThePeriod() {
        follow(ServedVersions.LEAST_PERIOD);
        directory.put(upstream("e2", "v2"));
        directory.remove("e1");
        follow(SECOND);
        directory.put(upstream("e1", "v1"));
        directory.remove("e2");
        follow(ServedVersions.LEAST_PERIOD);
        assertEquals(Cause.SEVERAL_VERSIONS, cause());
        follow(SECOND);
        assertEquals(Cause.OBSERVED, cause());
        assertEquals(
                "v1",
                versions.only(Set.of("s"), clocks.nanos() - 1)
                        .served()
                        .orElseThrow()
                        .version());
    }

    /** Guards against forgetting the version that an upstream had before it came back under its id. */
    @Test
    void upstreamThatChangesItsVersionLeavesTheOldOne() {
        follow(ServedVersions.LEAST_PERIOD);
        directory.put(upstream("e1", "v2"));
        assertEquals(Cause.SEVERAL_VERSIONS, cause());
    }

    /** Guards against refusing for the whole period after a restart of one node. */
    @Test
    void observationOfAnotherNodeCounts() {
        versions.heard(Map.of(V1, Duration.ZERO), ServedVersions.LEAST_PERIOD);
        assertEquals(Cause.OBSERVED, cause());
    }

    @Test
    void versionThatOnlyAnotherNodeSawRemovedCounts() {
        versions.heard(Map.of(V1, Duration.ZERO, V2, Duration.ofSeconds(10)), ServedVersions.LEAST_PERIOD);
        assertEquals(Cause.SEVERAL_VERSIONS, cause());
        follow(Duration.ofSeconds(9));
        assertEquals(Cause.OBSERVED, cause());
    }

    /** Guards against completeness without an own list, since what changes until that is loaded is seen by nobody. */
    @Test
    void observationOfAnotherNodeDoesNotCountBeforeTheListIsLoaded() {
        UpstreamDirectory starting = new UpstreamDirectory(clocks);
        starting.servedVersions().heard(Map.of(V1, Duration.ZERO), ServedVersions.LEAST_PERIOD);
        starting.servedVersions().listConfirmed(ClockReading.now(clocks));
        starting.replaceAll(List.of(upstream("e1", "v1")));
        long arrived = clocks.nanos();
        clocks.advance(SECOND);
        starting.servedVersions().listConfirmed(ClockReading.now(clocks));
        assertEquals(
                Cause.NOT_OBSERVED,
                starting.servedVersions().only(Set.of("s"), arrived).cause());
    }

    @Test
    void settledRecordProvesTheOnlyVersionOnceTheLagHasPassed() {
        versions.recordsLoaded();
        versions.replaceRecorded(Map.of(V1, true));
        assertEquals(Cause.NOT_OBSERVED, cause());
        assertTrue(versions.seek(Set.of("s"), clocks.nanos()));
        follow(ServedVersions.LIST_LAG.minus(SECOND));
        assertEquals(Cause.NOT_OBSERVED, cause());
        follow(SECOND);
        assertEquals(Cause.LIST_OUTDATED, cause());
        assertTrue(versions.seek(Set.of("s"), clocks.nanos()));
        versions.recordsConfirmed(ClockReading.now(clocks));
        assertEquals(Cause.RECORDED, cause());
    }

    @Test
    void recordThatIsNotSettledProvesNothing() {
        versions.recordsLoaded();
        versions.replaceRecorded(Map.of(V1, false));
        follow(ServedVersions.LIST_LAG);
        versions.recordsConfirmed(ClockReading.now(clocks));
        assertEquals(Cause.NOT_OBSERVED, cause());
        assertFalse(versions.seek(Set.of("s"), clocks.nanos()));
    }

    /** Guards against a conclusion that ignores a version of which only the records tell. */
    @Test
    void recordedVersionThatIsNotListedCounts() {
        versions.recordsLoaded();
        versions.replaceRecorded(Map.of(V1, true, V2, true));
        follow(ServedVersions.LEAST_PERIOD);
        assertEquals(Cause.SEVERAL_VERSIONS, cause());
        versions.replaceRecorded(Map.of(V1, true));
        assertEquals(Cause.OBSERVED, cause());
    }

    /** Review case 9: streams of long time-outs are resumed long after the upstreams of their version are gone. */
    @Test
    void removedVersionCountsForTheLongestTimeout() {
        Duration timeout = Duration.ofSeconds(60);
        versions.streamsLast(() -> timeout);
        follow(versions.period());
        assertEquals(Cause.OBSERVED, cause());
        directory.put(upstream("e2", "v2"));
        directory.remove("e1");
        follow(timeout);
        assertEquals(Cause.SEVERAL_VERSIONS, cause());
        follow(ServedVersions.LIST_LAG.plus(SECOND));
        assertEquals(Cause.OBSERVED, cause());
    }

    /** A configuration with shorter time-outs does not end the streams that began under the earlier one. */
    @Test
    void shorterTimeoutAppliesOnceEarlierStreamsAreOver() {
        AtomicReference<Duration> timeout = new AtomicReference<>(Duration.ofSeconds(60));
        versions.streamsLast(timeout::get);
        assertEquals(Duration.ofSeconds(60), versions.maxStreamAge());
        timeout.set(Duration.ofSeconds(5));
        clocks.advance(Duration.ofSeconds(59));
        assertEquals(Duration.ofSeconds(60), versions.maxStreamAge());
        clocks.advance(SECOND);
        assertEquals(ServedVersions.LEAST_STREAM_AGE, versions.maxStreamAge());
        timeout.set(Duration.ofSeconds(90));
        assertEquals(Duration.ofSeconds(90), versions.maxStreamAge());
    }
}
