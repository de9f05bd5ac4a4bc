package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServedVersions.Cause;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.ClockReading;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against counts that omit a decision, count it twice, or fill the log. */
class ResumptionCountsTest {
    private final ManualTime time = new ManualTime();
    private final List<String> lines = new ArrayList<>();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final StreamVersions streams = new StreamVersions(time, directory);
    private final ResumptionCounts counts =
            new ResumptionCounts(time, (event, fields) -> lines.add(Arrays.toString(fields)), streams);

    private StreamOrigin attempt(String id) {
        return StreamOrigin.ofAttempt(Optional.of(id), time.nanos());
    }

    private static SlotRequest request(StreamOrigin origin) {
        return new SlotRequest("n", 1, "s", Duration.ZERO, Duration.ZERO, Set.of(), 0, true, Optional.of(origin));
    }

    @Test
    void decisionsAreCountedByCauseAndLoggedAtIntervals() {
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", 8, false, "v1"));
        streams.record("r", new ServiceVersion("s", "v1"));
        counts.continued(request(attempt("r")));
        counts.continued(request(attempt("r").with(Optional.of(new ServiceVersion("s", "v1")))));
        counts.continued(request(StreamOrigin.of(new ServiceVersion("s", "v1"))));
        assertEquals(Cause.NOT_OBSERVED, counts.refused("s", attempt("unknown")));
        assertEquals(Cause.NO_UPSTREAM, counts.refused("s", StreamOrigin.of(new ServiceVersion("s", "v1"))));
        counts.logIfDue();
        assertEquals(
                List.of(
                        "[reported, 2, observed, 0, recorded, 0, several_versions, 0, not_observed, 1, list_outdated, 0,"
                                + " no_version, 0, no_upstream, 0]"),
                lines);
        counts.decided("none", attempt("unknown"));
        counts.logIfDue();
        assertEquals(1, lines.size());
        time.advance(ResumptionCounts.LOG_INTERVAL);
        counts.logIfDue();
        counts.logIfDue();
        assertEquals(2, lines.size());
    }

    /** Guards against streams continued by a conclusion of which the log does not tell who drew it from what. */
    @Test
    void conclusionsAreLoggedWithTheAgeOfTheList() {
        directory.replaceAll(List.of(new Upstream("e1", "s", "10.0.0.1", 80, "a", 8, false, "v1")));
        directory.servedVersions().heard(Map.of(), ServedVersions.LEAST_PERIOD);
        StreamOrigin first = attempt("r");
        StreamOrigin second = attempt("r2");
        time.advance(Duration.ofMillis(1));
        directory.servedVersions().listConfirmed(ClockReading.now(time));
        time.advance(Duration.ofMillis(700));
        counts.continued(request(first));
        counts.decided("s", second);
        streams.record("known", new ServiceVersion("s", "v1"));
        counts.continued(request(attempt("known")));
        assertEquals(
                List.of(
                        "[peer, n, service, s, resumes, r, version, v1, cause, OBSERVED, listAgeMs, 700]",
                        "[peer, null, service, s, resumes, r2, version, v1, cause, OBSERVED, listAgeMs, 700]"),
                lines);
    }
}
