package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.slots.QuotaFleet.Node;
import dev.lavenderline.serving.slots.QuotaFleet.Requests;
import dev.lavenderline.serving.workspaces.Workspace;
import dev.lavenderline.serving.workspaces.Workspaces;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against workspaces that get more than users allow in any 5 s, and against 429 for workspaces that keep their
 * quotas, while nodes and schedulers change. Workspaces that keep their quotas use them up.
 */
class QuotaFleetTest {
    private static final int NODES = 60;
    private static final double HOT_FACTOR = 7.5;
    private static final Duration START = Duration.ofSeconds(2);
    private static final Duration END = Duration.ofSeconds(24);
    private static final Duration CHANGE = Duration.ofSeconds(12);

    private static final Workspace HOT = workspace("hot", 100, 100);
    private static final Workspace LARGE_HOT = workspace("largeHot", 300, 300);
    private static final Workspace SMALL_HOT = workspace("smallHot", 3, 3);
    private static final Workspace LATE_HOT = workspace("lateHot", 40, 40);
    private static final Workspace SMALL = workspace("small", 3, 3);
    private static final Workspace MEDIUM = workspace("medium", 40, 20);
    private static final Workspace LARGE = workspace("large", 300, 150);
    private static final Workspace SMALL_QUIET = workspace("smallQuiet", 3, 3);
    private static final Workspace QUIET = workspace("quiet", 100, 100);
    private static final List<Workspace> HOT_ONES = List.of(HOT, LARGE_HOT, SMALL_HOT, LATE_HOT);
    private static final List<Workspace> KEEPING = List.of(SMALL, MEDIUM, LARGE);

    private QuotaFleet fleet;

    private static Workspace workspace(String name, double requestsPerSecond, double burst) {
        return new Workspace(name, OptionalInt.empty(), requestsPerSecond, burst);
    }

    private static Workspaces workspaces(List<Workspace> all) {
        Workspaces.Builder builder = new Workspaces.Builder();
        all.forEach(workspace -> builder.add(workspace, List.of()));
        return builder.build();
    }

    private static Workspaces all() {
        return workspaces(List.of(HOT, LARGE_HOT, SMALL_HOT, LATE_HOT, SMALL, MEDIUM, LARGE, SMALL_QUIET, QUIET));
    }

    private void start(long seed) {
        fleet = new QuotaFleet(seed, NODES, all());
        fleet.connectAll(fleet.nodes.get(0), Duration.ofMillis(500));
        fleet.after(START, started -> {
            KEEPING.forEach(workspace -> started.send(workspace, 2 * workspace.requestsPerSecond(), true, END));
            List.of(HOT, LARGE_HOT, SMALL_HOT)
                    .forEach(workspace ->
                            started.send(workspace, HOT_FACTOR * workspace.requestsPerSecond(), false, END));
        });
        // Uses its quota for a while before it becomes hot, right before the change.
        fleet.after(START, started -> started.send(LATE_HOT, 0.9 * LATE_HOT.requestsPerSecond(), true, CHANGE));
        fleet.after(
                CHANGE.minusMillis(300),
                started -> started.send(LATE_HOT, HOT_FACTOR * LATE_HOT.requestsPerSecond(), false, END));
    }

    private static double allowed(Workspace workspace) {
        return (workspace.requestsPerSecond() * 5 + workspace.burst()) * 1.1 + 20;
    }

    private void assertWithinQuotas() {
        HOT_ONES.forEach(workspace -> assertWithinQuota(workspace, 0));
        KEEPING.forEach(workspace -> assertWithinQuota(workspace, 0));
    }

    private void assertWithinQuota(Workspace workspace, long fromNanos) {
        int most = fleet.outcome(workspace.name()).mostInWindow(fromNanos);
        assertTrue(most > 0, workspace.name());
        assertTrue(
                most <= allowed(workspace), workspace.name() + ": " + most + " in 5 s, allowed " + allowed(workspace));
    }

    private void assertNoneRefusedBelowQuota() {
        for (Workspace workspace : KEEPING) {
            Requests requests = fleet.outcome(workspace.name());
            assertEquals(List.of(), requests.overQuotaNanos, workspace.name());
        }
    }

    /** Checks that requests went without a decision only for a time after the change. */
    private void assertDecidedBut(Duration from, Duration to) {
        for (Workspace workspace : KEEPING) {
            Requests requests = fleet.outcome(workspace.name());
            assertTrue(
                    requests.undecidedNanos.stream().allMatch(at -> at >= from.toNanos() && at <= to.toNanos()),
                    workspace.name() + ": " + requests.undecidedNanos);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hotWorkspaces(long seed) {
        start(seed);
        fleet.run(END);
        assertWithinQuotas();
        assertNoneRefusedBelowQuota();
        assertDecidedBut(Duration.ZERO, Duration.ZERO);
        for (Workspace workspace : HOT_ONES) {
            int admitted = fleet.outcome(workspace.name()).admittedNanos.size();
            double seconds = (workspace == LATE_HOT ? END.minus(CHANGE) : END.minus(START)).toSeconds();
            assertTrue(admitted > 0.8 * seconds * workspace.requestsPerSecond(), workspace.name() + ": " + admitted);
        }
    }

    /** Guards against nodes that each admit a few requests at once of workspaces with full quotas. */
    @Test
    void requestsAtAllNodesAtOnce() {
        start(1);
        fleet.after(
                CHANGE,
                started -> started.nodes.forEach(node -> {
                    node.place(SMALL_QUIET.name());
                    for (int i = 0; i < 20; i++) {
                        node.place(QUIET.name());
                    }
                }));
        fleet.run(END);
        assertWithinQuotas();
        assertWithinQuota(SMALL_QUIET, 0);
        assertWithinQuota(QUIET, 0);
        assertNoneRefusedBelowQuota();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nodesMoveToAnotherScheduler(long seed) {
        start(seed);
        fleet.after(CHANGE, started -> started.connectAll(started.nodes.get(1), Duration.ofMillis(300)));
        fleet.run(END);
        assertWithinQuotas();
        assertNoneRefusedBelowQuota();
        assertDecidedBut(CHANGE, CHANGE.plusSeconds(2));
    }

    /** The host of the scheduler is suspended, which the others notice one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void schedulerLost(long seed) {
        start(seed);
        fleet.after(CHANGE, started -> {
            cut(List.of(started.nodes.get(0)));
            started.nodes.get(0).suspended = true;
            for (Node node : started.nodes.subList(1, NODES)) {
                long delay = (long) ((0.45 + 0.55 * started.nextRandom()) * 1e9);
                started.at(started.nanos() + delay, () -> node.connect(started.nodes.get(1)));
            }
        });
        fleet.run(END);
        assertWithinQuotas();
        assertNoneRefusedBelowQuota();
        assertDecidedBut(CHANGE, CHANGE.plusSeconds(2));
    }

    /** Cuts the connections of nodes to others; frames on the way are lost. */
    private void cut(List<Node> nodes) {
        for (Node node : fleet.nodes) {
            if (node.link != null && nodes.contains(node) != nodes.contains(node.link.scheduler)) {
                node.link.cut = true;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 24})
    void partOfNodesDisconnected(int disconnected) {
        start(5);
        fleet.after(CHANGE, started -> {
            List<Node> part = started.nodes.subList(NODES - disconnected, NODES);
            cut(part);
            for (Node node : part) {
                long delay = (long) ((0.45 + 0.55 * started.nextRandom()) * 1e9);
                started.at(started.nanos() + delay, () -> node.connect(part.get(0)));
            }
        });
        fleet.run(END);
        assertWithinQuotas();
        assertNoneRefusedBelowQuota();
    }

    /** Guards against nodes without any scheduler that together admit a quota each. */
    @Test
    void eachOfManyNodesAlone() {
        start(5);
        fleet.after(CHANGE, started -> {
            List<Node> part = started.nodes.subList(NODES - 24, NODES);
            cut(part);
            for (Node node : part) {
                long delay = (long) ((0.45 + 0.55 * started.nextRandom()) * 1e9);
                started.at(started.nanos() + delay, () -> node.connect(node));
            }
        });
        fleet.run(END);
        assertWithinQuotas();
        assertNoneRefusedBelowQuota();
    }

    @Test
    void nodesRestart() {
        start(6);
        for (int i = 1; i < NODES; i++) {
            Node node = fleet.nodes.get(i);
            fleet.after(START.plusMillis(300L * i), started -> {
                node.disconnect();
                node.start();
                started.after(Duration.ofMillis(200), later -> node.connect(later.nodes.get(0)));
            });
        }
        fleet.run(END);
        assertWithinQuotas();
        assertNoneRefusedBelowQuota();
    }

    /** Nodes get the lower limit one after the other; a workspace keeps it from when the first one has it. */
    @Test
    void loweredLimit() {
        start(7);
        Workspace lower = workspace(HOT.name(), 30, 30);
        Workspace lowerKeeping = workspace(LARGE.name(), 100, 100);
        Workspaces lowered = workspaces(List.of(lower, LARGE_HOT, SMALL_HOT, LATE_HOT, SMALL, MEDIUM, lowerKeeping));
        Duration lag = Duration.ofSeconds(1);
        for (Node node : fleet.nodes) {
            long delay = (long) (fleet.nextRandom() * lag.toNanos());
            fleet.after(CHANGE.plusNanos(delay), started -> node.workspaces = lowered);
        }
        fleet.run(END);
        assertWithinQuota(lower, CHANGE.plus(lag).plus(QuotaFleet.WINDOW).toNanos());
        assertEquals(List.of(), fleet.outcome(SMALL.name()).overQuotaNanos);
        assertEquals(List.of(), fleet.outcome(MEDIUM.name()).overQuotaNanos);
    }

    /** Guards against refusals of a workspace that keeps a lowered limit because of what it sent before. */
    @Test
    void workspaceThatKeepsLoweredLimitIsNotRefused() {
        Workspace before = workspace("w", 100, 100);
        Workspace lower = workspace("w", 30, 30);
        fleet = new QuotaFleet(8, NODES, workspaces(List.of(before)));
        fleet.connectAll(fleet.nodes.get(0), Duration.ofMillis(500));
        fleet.after(START, started -> started.send(before, 95, true, CHANGE));
        fleet.after(CHANGE, started -> {
            started.nodes.forEach(node -> node.workspaces = workspaces(List.of(lower)));
            started.send(lower, 60, true, END);
        });
        fleet.run(END);
        assertEquals(List.of(), fleet.outcome("w").overQuotaNanos);
    }
}
