package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.online.CallContext;
import dev.lavenderline.serving.online.ServingMetrics;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.slots.ReleaseReason;
import dev.lavenderline.serving.slots.RequestTraits;
import dev.lavenderline.serving.slots.SlotClient;
import dev.lavenderline.serving.slots.SlotRequest;
import dev.lavenderline.serving.slots.StreamOrigin;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import dev.lavenderline.serving.workspaces.QuotaClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against a node that returns items to the scheduler without a trace in its log and metrics. */
class DeclinedItemsTest {
    private static final ItemRef ITEM = new ItemRef("job", 0);

    private final ManualTime time = new ManualTime();
    private final UpstreamDirectory directory = new UpstreamDirectory(time);
    private final JobLedger ledger = new JobLedger(time, EventLog.NONE);
    private final JobStore store = new JobStore(
            "n1",
            new FakeStore(),
            ledger,
            time,
            time,
            EventLog.NONE,
            1,
            1,
            100_000,
            () -> Duration.ofMillis(100),
            () -> 1);
    private final ServingMetrics metrics = new ServingMetrics();
    private final List<ReleaseReason> releases = new ArrayList<>();
    private final List<String> logged = new ArrayList<>();
    private final ItemRunner runner = new ItemRunner(
            new CallContext(
                    "n1",
                    null,
                    null,
                    directory,
                    new RecordingSlots(),
                    null,
                    time,
                    time,
                    (event, fields) -> logged.add(event + " " + Arrays.asList(fields)),
                    metrics,
                    null,
                    bound -> 0),
            ledger,
            store,
            () -> false);

    private final class RecordingSlots implements SlotClient {
        @Override
        public void admit(String workspace, QuotaClient.Listener listener) {
            throw new UnsupportedOperationException("items have no quota");
        }

        @Override
        public long newLease() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void streamBegan(List<String> names, ServiceVersion served) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void findVersion(String service, StreamOrigin origin, Consumer<Optional<ServiceVersion>> listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void requestCompleted(RequestTraits traits) {}

        @Override
        public void requestCrashed(RequestTraits traits, String upstream) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<Duration> rejectedFor(RequestTraits traits) {
            return Optional.empty();
        }

        @Override
        public void acquire(SlotRequest request, Listener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void release(long lease, ReleaseReason reason, int keptEvents) {
            releases.add(reason);
        }

        @Override
        public void upstreamNotice(UpstreamNotice notice) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void suspect(String upstream) {
            throw new UnsupportedOperationException();
        }
    }

    DeclinedItemsTest() {
        store.start();
        directory.put(new Upstream("e1", "s", "10.0.0.1", 80, "a", 4, false, "v1"));
        directory.put(new Upstream("e2", "s", "10.0.0.2", 80, "a", 4, true, "v1"));
    }

    private void acceptJob() {
        JobItem item = JobItem.newBuilder()
                .setId("job-0")
                .setPath("/b/0")
                .setBody(ByteString.copyFromUtf8("body"))
                .build();
        Route route = new Route(
                "batch",
                "host",
                "/b/",
                RouteKind.BATCH,
                Duration.ofSeconds(15),
                Duration.ofMillis(400),
                2,
                List.of(new WeightedService("s", 1)),
                3,
                true,
                Duration.ZERO,
                Duration.ofSeconds(18),
                Duration.ofSeconds(60),
                0,
                false);
        store.accept(new JobSubmission(ITEM.job(), List.of(item)), route, "host", Duration.ofSeconds(2));
        time.advance(Duration.ofMillis(500));
    }

    private void assertDeclined(String upstream, ReleaseReason reason, String cause) {
        runner.run(1, upstream, ITEM);
        assertEquals(List.of(reason), releases);
        assertEquals(
                List.of(ServingEvent.ITEM_DECLINED + " [job, job, index, 0, upstream, " + upstream + ", cause, " + cause
                        + "]"),
                logged);
        assertEquals("lavenderline_items_declined_total 1\n", metrics.text());
    }

    @Test
    void itemOfUnknownJob() {
        assertDeclined("e1", ReleaseReason.ITEM_UNKNOWN, "job is unknown");
    }

    @Test
    void itemOnUnknownUpstream() {
        acceptJob();
        assertDeclined("e3", ReleaseReason.ITEM_UNKNOWN, "upstream is unknown");
    }

    @Test
    void itemOnLeavingUpstream() {
        acceptJob();
        assertDeclined("e2", ReleaseReason.UPSTREAM_GONE, "upstream is leaving");
    }

    @Test
    void settledItem() {
        acceptJob();
        store.addResult(ITEM, true, "output");
        time.advance(Duration.ofMillis(500));
        assertDeclined("e1", ReleaseReason.CANCELLED, "item is already settled");
    }

    /** Guards against a run, and so a slot of the scheduler, that never ends because its request can't be built. */
    @Test
    void itemWhoseRequestCannotBeBuiltReleasesItsSlot() {
        acceptJob();
        // This context has no wire format, so that sending the item throws.
        runner.run(1, "e1", ITEM);
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(ReleaseReason.CONTENT_UNREADABLE), releases);
        assertEquals(0, runner.running());
    }
}
