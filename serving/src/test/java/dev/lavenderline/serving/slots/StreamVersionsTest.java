package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.ClockReading;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against continuing a stream on a guessed version, and against a table that grows without limit. */
class StreamVersionsTest {
    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final StreamVersions streams = new StreamVersions(time, directory);

    /** Returns the origin of a stream whose resumption arrives now, and reads the list after that. */
    private StreamOrigin attempt(String id) {
        StreamOrigin origin = StreamOrigin.ofAttempt(Optional.of(id), time.nanos());
        time.advance(Duration.ofNanos(1));
        confirmList();
        return origin;
    }

    private void confirmList() {
        directory.servedVersions().listConfirmed(ClockReading.now(time));
    }

    private void upstream(String id, String version) {
        directory.put(new Upstream(id, "s", "10.0.0.1", 80, "a", 8, false, version));
    }

    @Test
    void firstReportOfAnAttemptCounts() {
        streams.record("r", new ServiceVersion("s", "v1"));
        streams.record("r", new ServiceVersion("s", "v2"));
        assertEquals(Optional.of(new ServiceVersion("s", "v1")), streams.resolve("s", attempt("r")));
    }

    /** Guards against a stream that goes on with another one's text, because both requests have the same content. */
    @Test
    void contentOfStreamsOnDifferentUpstreamsNamesNone() {
        String content = StreamOrigin.contentName("w", 7);
        StreamOrigin origin = new StreamOrigin(
                Optional.empty(), Optional.empty(), Optional.of(content), Set.of("s", "t"), time.nanos());
        streams.record(content, new ServiceVersion("s", "v1"));
        streams.record(content, new ServiceVersion("s", "v1"));
        assertEquals(Optional.of(new ServiceVersion("s", "v1")), streams.resolve("t", origin));
        streams.record(content, new ServiceVersion("t", "v1"));
        streams.record(content, new ServiceVersion("s", "v1"));
        assertEquals(Optional.empty(), streams.resolve("s", origin));
    }

    /** Guards against the only version of one service of a route that has another service with another version. */
    @Test
    void unknownOriginIsSoughtAmongAllServicesOfTheRoute() {
        directory.replaceAll(List.of());
        upstream("e1", "v1");
        follow(ServedVersions.LEAST_PERIOD.plusSeconds(1));
        StreamOrigin origin =
                new StreamOrigin(Optional.empty(), Optional.empty(), Optional.empty(), Set.of("s", "t"), time.nanos());
        time.advance(Duration.ofNanos(1));
        confirmList();
        assertEquals(Optional.of(new ServiceVersion("s", "v1")), streams.resolve("t", origin));
        directory.put(new Upstream("e2", "t", "10.0.0.1", 80, "a", 8, false, "v1"));
        assertEquals(Optional.empty(), streams.resolve("t", origin));
    }

    /** Lets the store respond every second. */
    private void follow(Duration period) {
        for (long second = 0; second < period.toSeconds(); second++) {
            confirmList();
            time.advance(Duration.ofSeconds(1));
        }
        confirmList();
    }

    /** Guards against taking the only version listed for the only one in service while that has not been observed. */
    @Test
    void unknownOriginIsTheOnlyVersionOnceThatWasObserved() {
        directory.replaceAll(List.of());
        upstream("e1", "v1");
        upstream("e2", "v1");
        follow(ServedVersions.LEAST_PERIOD.minusSeconds(1));
        assertEquals(Optional.empty(), streams.resolve("s", attempt("r")));
        follow(Duration.ofSeconds(1));
        assertEquals(Optional.of(new ServiceVersion("s", "v1")), streams.resolve("s", attempt("r")));
        upstream("e3", "v2");
        assertEquals(Optional.empty(), streams.resolve("s", attempt("r")));
    }

    /** Guards against guessing the new version just after the last upstream of the old one is gone. */
    @Test
    void versionOfARemovedUpstreamCountsForTheRetention() {
        directory.replaceAll(List.of());
        upstream("e1", "v1");
        upstream("e2", "v2");
        follow(ServedVersions.LEAST_PERIOD);
        directory.remove("e1");
        follow(ServedVersions.LEAST_PERIOD);
        assertEquals(Optional.empty(), streams.resolve("s", attempt("r")));
        follow(Duration.ofSeconds(1));
        assertEquals(Optional.of(new ServiceVersion("s", "v2")), streams.resolve("s", attempt("r")));
    }

    @Test
    void entriesExpireAndAreLimited() {
        streams.record("old", new ServiceVersion("s", "v1"));
        time.advance(directory.servedVersions().maxStreamAge().plusSeconds(1));
        for (int i = 0; i <= StreamVersions.MAX_ENTRIES; i++) {
            streams.record("r" + i, new ServiceVersion("s", "v1"));
        }
        assertEquals(Optional.empty(), streams.resolve("s", attempt("old")));
        List<StreamVersions.Group> groups = streams.groups();
        assertEquals(1, groups.size());
        assertEquals(StreamVersions.MAX_ENTRIES - 1, groups.get(0).names().size(), 1);
    }

    /** Review case 9: the origin of a stream is kept as long as its caller may resume it. */
    @Test
    void entriesAreKeptForTheLongestTimeout() {
        directory.servedVersions().streamsLast(() -> Duration.ofSeconds(60));
        streams.record("long", new ServiceVersion("s", "v1"));
        time.advance(Duration.ofSeconds(59));
        streams.record("other", new ServiceVersion("s", "v2"));
        assertEquals(Optional.of(new ServiceVersion("s", "v1")), streams.resolve("s", attempt("long")));
    }
}
