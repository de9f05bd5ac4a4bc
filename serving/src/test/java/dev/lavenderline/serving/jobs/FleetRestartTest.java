package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.jobs.JobStore.Acceptance;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.SharedBandwidthStore;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet that exhausts the store's read bandwidth. After a power loss on all hosts, every node reads
 * the job topic at once; if the reads take longer than the client's idle timeout, their repetitions use up the
 * bandwidth, the nodes never read the jobs and callers are refused.
 */
class FleetRestartTest {
    /** Time after a power loss within which the platform expects requests to be served. */
    private static final Duration RECOVERY = Duration.ofSeconds(15);

    /** Partitions of the job topic on a deployment. */
    private static final int PARTITIONS = 4;

    private static final int PAYLOAD_PARTITIONS = 24;

    private static final int MAX_RECORD_BYTES = 100_000;

    /** Pause between two polls of a partition on a large fleet. */
    private static final Duration POLL_PAUSE = Duration.ofMillis(600);

    private static final int NODES = 83;
    private static final int JOBS = 190;
    private static final int ITEMS_PER_JOB = 10;
    private static final int RESULTS = 1500;
    private static final int BODY_BYTES = 1500;
    private static final int OUTPUT_CHARS = 10_000;

    private static final long SLOW_LINK_BYTES_PER_SECOND = 2_600_000;
    private static final long FAST_LINK_BYTES_PER_SECOND = 50_000_000;

    /** Design size: 49 million results a day. */
    private static final int DESIGN_RESULTS_PER_SECOND = 567;

    private static final int DESIGN_NODES = 530;

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final SharedBandwidthStore.ReadQueue queue = new SharedBandwidthStore.ReadQueue();

    /** Content without repetitions, so that compression alone does not meet a bound. */
    private final Random random = new Random(1);

    private record Node(JobStore jobs, JobLedger ledger, SharedBandwidthStore store) {
        boolean loaded() {
            return IntStream.range(0, JOBS).allMatch(job -> jobs.loaded(jobId(job)));
        }

        boolean findsJobs() {
            return IntStream.range(0, JOBS)
                    .allMatch(job -> ledger.find(jobId(job))
                            .filter(found -> found.itemCount() == ITEMS_PER_JOB)
                            .isPresent());
        }

        int results() {
            return IntStream.range(0, JOBS)
                    .map(job -> ledger.find(jobId(job)).map(Job::resultCount).orElse(0))
                    .sum();
        }
    }

    private JobStore startJobStore(MetadataStore target, JobLedger ledger) {
        JobStore created = new JobStore(
                "n1",
                target,
                ledger,
                time,
                time,
                EventLog.NONE,
                PARTITIONS,
                PAYLOAD_PARTITIONS,
                MAX_RECORD_BYTES,
                () -> POLL_PAUSE,
                random::nextLong);
        created.start();
        return created;
    }

    private Node startNode(long linkBytesPerSecond) {
        JobLedger ledger = new JobLedger(time, EventLog.NONE);
        SharedBandwidthStore view = new SharedBandwidthStore(store, queue, linkBytesPerSecond, time, time);
        return new Node(startJobStore(view, ledger), ledger, view);
    }

    private static String jobId(int number) {
        return "job-" + number;
    }

    private static Route route() {
        return new Route(
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
    }

    private String randomText(int length) {
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            text.append((char) ('0' + random.nextInt('z' - '0' + 1)));
        }
        return text.toString();
    }

    private void acceptJobs(JobStore writer) {
        List<Future<Acceptance>> responses = new ArrayList<>();
        for (int job = 0; job < JOBS; job++) {
            List<JobItem> items = new ArrayList<>();
            for (int i = 0; i < ITEMS_PER_JOB; i++) {
                items.add(JobItem.newBuilder()
                        .setId(jobId(job) + "-" + i)
                        .setPath("/b/" + i)
                        .setBody(ByteString.copyFromUtf8(randomText(BODY_BYTES)))
                        .setTokens(100)
                        .build());
            }
            responses.add(writer.accept(new JobSubmission(jobId(job), items), route(), "host", Duration.ofSeconds(2)));
        }
        time.advance(Duration.ofSeconds(1));
        responses.forEach(response -> assertEquals(Acceptance.ACCEPTED, response.result()));
    }

    /** Adds the results of an equal number of items of each job, as far as the number allows. */
    private void addResults(JobStore writer) {
        List<Future<Boolean>> responses = new ArrayList<>();
        for (int i = 0; i < RESULTS; i++) {
            ItemRef item = new ItemRef(jobId(i % JOBS), i / JOBS);
            responses.add(writer.addResult(item, true, randomText(OUTPUT_CHARS)));
            time.advance(Duration.ofMillis(1));
        }
        time.advance(Duration.ofSeconds(1));
        responses.forEach(response -> assertEquals(Boolean.TRUE, response.result()));
    }

    @Test
    void restartedFleetReadsTheJobsWithinTheRecoveryTime() {
        JobStore writer = startJobStore(store, new JobLedger(time, EventLog.NONE));
        acceptJobs(writer);
        addResults(writer);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(startNode(i % 3 < 2 ? SLOW_LINK_BYTES_PER_SECOND : FAST_LINK_BYTES_PER_SECOND));
        }
        time.advance(RECOVERY);
        long notLoaded = nodes.stream().filter(node -> !node.loaded()).count();
        long withoutJobs = nodes.stream().filter(node -> !node.findsJobs()).count();
        long withoutResults =
                nodes.stream().filter(node -> node.results() != RESULTS).count();
        String seen = ("%d s after the start of %d nodes: %d have not loaded all partitions, %d do not find all jobs,"
                        + " %d do not know all results; %.0f MB read, %.0f MB of them abandoned, %d calls timed out")
                .formatted(
                        RECOVERY.toSeconds(),
                        NODES,
                        notLoaded,
                        withoutJobs,
                        withoutResults,
                        queue.bytes() / 1e6,
                        queue.abandonedBytes() / 1e6,
                        queue.timeouts());
        assertTrue(notLoaded == 0 && withoutJobs == 0 && withoutResults == 0, seen);
    }

    @Test
    void resultsFitTheReadBandwidthAtDesignScale() {
        JobStore writer = startJobStore(store, new JobLedger(time, EventLog.NONE));
        acceptJobs(writer);
        Node follower = startNode(FAST_LINK_BYTES_PER_SECOND);
        time.advance(Duration.ofSeconds(5));
        assertTrue(follower.loaded() && follower.findsJobs(), "the follower reads the jobs before the results");
        long bytesBefore = follower.store().bytesRead();
        addResults(writer);
        time.advance(Duration.ofSeconds(5));
        assertEquals(RESULTS, follower.results(), "results that the follower knows");
        double bytesPerResult = (double) (follower.store().bytesRead() - bytesBefore) / RESULTS;
        double bytesPerSecond = bytesPerResult * DESIGN_RESULTS_PER_SECOND * DESIGN_NODES;
        String seen =
                "a follower reads %.0f bytes for a result of %d characters; %d results a second at %d nodes: %.1f MB/s of %.1f MB/s"
                        .formatted(
                                bytesPerResult,
                                OUTPUT_CHARS,
                                DESIGN_RESULTS_PER_SECOND,
                                DESIGN_NODES,
                                bytesPerSecond / 1e6,
                                SharedBandwidthStore.READ_BYTES_PER_SECOND / 1e6);
        assertTrue(bytesPerSecond <= SharedBandwidthStore.READ_BYTES_PER_SECOND, seen);
    }
}
