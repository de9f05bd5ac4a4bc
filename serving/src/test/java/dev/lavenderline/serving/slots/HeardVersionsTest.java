package dev.lavenderline.serving.slots;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.upstreams.UpstreamHealth;
import dev.lavenderline.serving.workspaces.ClockReading;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams continued on another software version, or refused in vain, by a node that has just started
 * while other nodes know which versions were in service. Each node has its own event loop and list of upstreams.
 */
class HeardVersionsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final List<Node> nodes = new ArrayList<>();

    /** A clock that a test sets forward. Thread-safe. */
    private static final class ShiftedTicker implements Ticker {
        private volatile Duration shift = Duration.ZERO;

        @Override
        public Instant now() {
            return Instant.now().plus(shift);
        }

        @Override
        public long nanos() {
            return System.nanoTime() + shift.toNanos();
        }
    }

    private static final class Node {
        final Vertx vertx = Vertx.vertx();
        final Context context = vertx.getOrCreateContext();
        final ShiftedTicker ticker = new ShiftedTicker();
        final UpstreamDirectory directory = new UpstreamDirectory(ticker);
        final NodeEntry entry;
        volatile SlotService slots;
        volatile boolean inStep = true;

        Node(String name, double capacity) throws IOException {
            try (ServerSocket socket = new ServerSocket(0)) {
                entry = new NodeEntry(name, "127.0.0.1", socket.getLocalPort(), "d-" + name, 0, capacity);
            }
        }

        void confirmList() {
            directory.servedVersions().listConfirmed(ClockReading.now(ticker));
        }

        /** Starts to follow a list, which is read all the time while the node is in step. */
        void start(Upstream... listed) {
            directory.replaceAll(List.of(listed));
            slots = new SlotService(
                    vertx,
                    entry,
                    directory,
                    visitor -> {},
                    new LocalPlacement(ticker, directory, new UpstreamHealth(ticker), "d0", () -> 0.5),
                    ticker,
                    new VertxTimers(vertx),
                    EventLog.NONE,
                    () -> 0.5,
                    () -> Duration.ZERO,
                    new CrashingPrompts(ticker, EventLog.NONE),
                    SlotScheduler.Options.defaults());
            slots.client().start(null);
            slots.listen("127.0.0.1", entry.port());
            vertx.setPeriodic(20, timer -> {
                if (inStep) {
                    confirmList();
                }
                slots.scheduler().schedule();
            });
        }

        /** Runs a task on the event loop and waits for it. */
        void run(Runnable task) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            context.runOnContext(now -> {
                task.run();
                done.complete(null);
            });
            done.join();
        }

        /** Lets time pass for this node, in which it follows the list. */
        void follow(Duration time) {
            run(() -> {
                ticker.shift = ticker.shift.plus(time);
                confirmList();
            });
        }

        /** Requests a slot for a stream of unknown origin; returns the upstream, or "rejected". */
        String resume() throws Exception {
            return resume("unknown");
        }

        /** Requests a slot for a stream that its caller resumes; returns the upstream, or "rejected". */
        String resume(String attempt) throws Exception {
            CompletableFuture<String> decision = new CompletableFuture<>();
            Consumer<String> complete = decision::complete;
            run(() -> slots.client()
                    .acquire(
                            new SlotRequest(
                                    entry.name(),
                                    slots.client().newLease(),
                                    "s",
                                    Duration.ofMillis(300),
                                    Duration.ofSeconds(5),
                                    Set.of(),
                                    0,
                                    true,
                                    Optional.of(StreamOrigin.ofAttempt(Optional.of(attempt), ticker.nanos()))),
                            new SlotClient.Listener() {
                                @Override
                                public void granted(String upstream) {
                                    complete.accept(upstream);
                                }

                                @Override
                                public void rejected(Duration retryAfter) {
                                    complete.accept("rejected");
                                }
                            }));
            return decision.get(10, TimeUnit.SECONDS);
        }

        /** Returns the version on which this node, left alone, would continue a stream of unknown origin. */
        Optional<String> concluded() {
            CompletableFuture<Optional<String>> version = new CompletableFuture<>();
            run(() -> slots.client()
                    .findVersion(
                            "s",
                            StreamOrigin.ofAttempt(Optional.of("unknown"), ticker.nanos()),
                            found -> version.complete(found.map(ServiceVersion::version))));
            return version.join();
        }
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", "10.0.0.1", 80, "d0", 4, false, version);
    }

    /** Creates a node; the scheduler of the one with the most capacity is preferred. */
    private Node node(String name, double capacity) throws IOException {
        Node node = new Node(name, capacity);
        nodes.add(node);
        return node;
    }

    private void join(Node scheduler) {
        List<NodeEntry> registered = nodes.stream().map(node -> node.entry).toList();
        nodes.forEach(node -> node.run(() -> node.slots.client().replaceNodes(registered)));
        nodes.forEach(node -> await().atMost(TIMEOUT)
                .until(() -> node.slots.client().schedulerName().equals(Optional.of(scheduler.entry.name()))));
        await().atMost(TIMEOUT).until(() -> scheduler.slots.scheduler().nodeCount() == nodes.size());
    }

    @AfterEach
    void stop() {
        nodes.forEach(node ->
                node.vertx.close().toCompletionStage().toCompletableFuture().join());
    }

    /** Guards against a new scheduler that does not know the version whose last upstream is just gone. */
    @Test
    void startingSchedulerLearnsOfRemovedVersionFromItsNodes() throws Exception {
        Node scheduler = node("n0", 2);
        Node other = node("n1", 1);
        other.run(() -> other.start(upstream("e1", "v1"), upstream("e2", "v2")));
        other.follow(ServedVersions.LEAST_PERIOD);
        other.run(() -> other.directory.remove("e1"));
        other.follow(Duration.ofSeconds(10));
        scheduler.run(() -> scheduler.start(upstream("e2", "v2")));
        join(scheduler);
        assertEquals("rejected", other.resume());
        assertEquals("rejected", scheduler.resume());
    }

    /** Guards against refusing all resumptions for the whole period after the start of a scheduler. */
    @Test
    void startingSchedulerConcludesFromTheObservationOfItsNodes() throws Exception {
        Node scheduler = node("n0", 2);
        Node other = node("n1", 1);
        other.run(() -> other.start(upstream("e2", "v2")));
        other.follow(ServedVersions.LEAST_PERIOD);
        scheduler.run(() -> scheduler.start(upstream("e2", "v2")));
        join(scheduler);
        assertEquals("e2", other.resume());
        assertEquals("e2", scheduler.resume());
    }

    /** Guards against a node that starts, loses its scheduler, and knows nothing of what that had observed. */
    @Test
    void startingNodeLearnsFromItsScheduler() throws Exception {
        Node scheduler = node("n0", 2);
        Node starting = node("n1", 1);
        scheduler.run(() -> scheduler.start(upstream("e2", "v2")));
        scheduler.follow(ServedVersions.LEAST_PERIOD);
        starting.run(() -> starting.start(upstream("e2", "v2")));
        join(scheduler);
        await().atMost(TIMEOUT).until(() -> starting.concluded().equals(Optional.of("v2")));
    }

    /** Guards against a conclusion by nodes none of which has observed the list for long enough. */
    @Test
    void nodesThatStartTogetherDoNotConclude() throws Exception {
        Node scheduler = node("n0", 2);
        Node other = node("n1", 1);
        scheduler.run(() -> scheduler.start(upstream("e2", "v2")));
        other.run(() -> other.start(upstream("e2", "v2")));
        other.follow(ServedVersions.LEAST_PERIOD.minusSeconds(10));
        join(scheduler);
        assertEquals("rejected", other.resume());
        assertEquals("rejected", scheduler.resume());
    }

    /**
     * Guards against sending a stream to an upstream that has come back under its id with another version, while only
     * the scheduler's list has the old entry.
     */
    @Test
    void grantOfUpstreamThatHasAnotherVersionByNowIsNotUsed() throws Exception {
        Node scheduler = node("n0", 2);
        Node other = node("n1", 1);
        scheduler.run(() -> scheduler.start(upstream("e1", "v1")));
        other.run(() -> other.start(upstream("e1", "v2")));
        join(scheduler);
        scheduler.run(
                () -> scheduler.slots.client().streamBegan(List.of("began on v1"), new ServiceVersion("s", "v1")));
        assertEquals("rejected", other.resume("began on v1"));
        scheduler.run(() -> scheduler.directory.put(upstream("e2", "v1")));
        other.run(() -> other.directory.put(upstream("e2", "v1")));
        assertEquals("e2", other.resume("began on v1"));
    }

    /** Guards against a grant by a scheduler that has not seen the version on which the stream began. */
    @Test
    void schedulerThatIsOutOfStepDoesNotConclude() throws Exception {
        Node scheduler = node("n0", 2);
        Node other = node("n1", 1);
        scheduler.run(() -> scheduler.start(upstream("e1", "v1")));
        other.run(() -> other.start(upstream("e1", "v1")));
        scheduler.follow(ServedVersions.LEAST_PERIOD);
        join(scheduler);
        assertEquals("e1", other.resume());
        scheduler.run(() -> scheduler.inStep = false);
        other.run(() -> other.directory.put(upstream("e2", "v2")));
        assertEquals("rejected", other.resume());
        assertEquals("rejected", scheduler.resume());
        scheduler.run(() -> scheduler.directory.put(upstream("e2", "v2")));
        scheduler.inStep = true;
        assertEquals("rejected", other.resume());
    }

    /** As above, where a node that is out of step chooses the upstream itself. */
    @Test
    void nodeThatIsOutOfStepDoesNotConclude() throws Exception {
        Node alone = node("n0", 1);
        alone.run(() -> alone.start(upstream("e1", "v1")));
        alone.follow(ServedVersions.LEAST_PERIOD);
        assertEquals(Optional.of("v1"), alone.concluded());
        alone.run(() -> alone.inStep = false);
        assertEquals(Optional.empty(), alone.concluded());
        alone.inStep = true;
        assertEquals(Optional.of("v1"), alone.concluded());
    }
}
