package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.jobs.JobLedger;
import dev.lavenderline.serving.jobs.JobStore;
import dev.lavenderline.serving.jobs.JobSubmission;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.CallerLimits;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.routes.RouteKind;
import dev.lavenderline.serving.routes.WeightedService;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.Partition;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against items that are abandoned early or never, and against jobs that are never deleted from the store. */
class JobCleanerTest {
    private static final Duration ITEM_RETENTION = Duration.ofSeconds(60);
    private static final Duration RESULT_RETENTION = Duration.ofSeconds(120);
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(6);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final JobLedger ledger = new JobLedger(time, EventLog.NONE);
    private final JobStore jobs = new JobStore(
            "n1", store, ledger, time, time, EventLog.NONE, 1, 1, 100_000, () -> Duration.ofMillis(100), () -> 1);
    private final Route route = new Route(
            "r",
            "h",
            "/b/",
            RouteKind.BATCH,
            Duration.ofSeconds(15),
            Duration.ofMillis(400),
            0,
            List.of(new WeightedService("s", 1)),
            3,
            true,
            Duration.ZERO,
            Duration.ofSeconds(18),
            ITEM_RETENTION,
            0,
            false);
    private FleetConfig config = new FleetConfig(1, List.of(route), List.of(), CallerLimits.defaults());
    private Duration configAge = Duration.ZERO;
    private final JobCleaner cleaner =
            new JobCleaner(ledger, jobs, time, RESULT_RETENTION, () -> Optional.of(config), () -> configAge);

    @BeforeEach
    void acceptJob() {
        jobs.start();
        JobItem item = JobItem.newBuilder().setId("i").build();
        jobs.accept(new JobSubmission("j", List.of(item)), route, "h", Duration.ofSeconds(1));
    }

    private int resultsAfter(Duration wait) {
        time.advance(wait);
        cleaner.run();
        time.advance(Duration.ofSeconds(1));
        return ledger.find("j").orElseThrow().resultCount();
    }

    @Test
    void abandonsItemOnlyAfterItsRetention() {
        assertEquals(0, resultsAfter(ITEM_RETENTION));
        assertEquals(1, resultsAfter(CLOCK_MARGIN));
        assertEquals(false, ledger.find("j").orElseThrow().resultsFrom(0).get(0).getCompleted());
    }

    @Test
    void deletesClosedJobAfterResultRetention() {
        jobs.addResult(new ItemRef("j", 0), true, "text");
        assertEquals(1, resultsAfter(RESULT_RETENTION));
        time.advance(CLOCK_MARGIN);
        cleaner.run();
        assertTrue(ledger.find("j").isEmpty());
    }

    /** Guards against ends of unknown jobs that stay in the store for good, and against ends that are forgotten early. */
    @Test
    void deletesEndOfUnknownJobAfterResultRetention() {
        jobs.cancel("never submitted", Duration.ofSeconds(1));
        time.advance(RESULT_RETENTION);
        cleaner.run();
        assertEquals(Set.of("never submitted"), ledger.endsBeforeJob().keySet());
        time.advance(CLOCK_MARGIN.plusSeconds(1));
        cleaner.run();
        assertEquals(Set.of(), ledger.endsBeforeJob().keySet());
        assertTrue(store.newest(new Partition("jobs", 0), "").result().records().stream()
                .noneMatch(record -> record.key().startsWith("end/")));
    }

    private int resultsWithoutRoute(Duration period) {
        config = new FleetConfig(2, List.of(), List.of(), CallerLimits.defaults());
        for (Duration passed = Duration.ZERO; passed.compareTo(period) < 0; passed = passed.plusSeconds(1)) {
            cleaner.run();
            time.advance(Duration.ofSeconds(1));
        }
        return ledger.find("j").orElseThrow().resultCount();
    }

    /** Guards against items that nobody runs or gives up until their retention, as their route has been removed. */
    @Test
    void givesUpItemsOfARemovedRoute() {
        assertEquals(0, resultsWithoutRoute(JobCleaner.ROUTE_REMOVAL_MARGIN));
        assertEquals(1, resultsWithoutRoute(Duration.ofSeconds(2)));
        assertEquals(false, ledger.find("j").orElseThrow().resultsFrom(0).get(0).getCompleted());
    }

    /** A node that may have missed the version that added the route must not give up the items of its jobs. */
    @Test
    void oldConfigurationGivesUpNothing() {
        configAge = JobCleaner.MAX_CONFIG_AGE.plusMillis(1);
        assertEquals(0, resultsWithoutRoute(JobCleaner.ROUTE_REMOVAL_MARGIN.multipliedBy(3)));
    }

    @Test
    void routeThatComesBackKeepsItsItems() {
        resultsWithoutRoute(JobCleaner.ROUTE_REMOVAL_MARGIN.minusSeconds(1));
        config = new FleetConfig(3, List.of(route), List.of(), CallerLimits.defaults());
        cleaner.run();
        assertEquals(0, resultsWithoutRoute(JobCleaner.ROUTE_REMOVAL_MARGIN));
    }
}
