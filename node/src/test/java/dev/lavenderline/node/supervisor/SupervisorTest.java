package dev.lavenderline.node.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against components that keep references to a failed one, and against endless restarts. */
final class SupervisorTest {
    private final List<String> calls = new ArrayList<>();
    private final List<Throwable> escalated = new ArrayList<>();
    private final Map<String, Consumer<Throwable>> failures = new HashMap<>();
    private final Deque<Runnable> scheduled = new ArrayDeque<>();
    private long nanos;

    @Test
    void restartsAFailedChildAndThoseStartedAfterIt() {
        Supervisor supervisor = startThreeChildren();
        calls.clear();
        failures.get("b").accept(new IllegalStateException("broken"));
        runScheduled();

        assertEquals(List.of("stop c", "stop b", "start b", "start c"), calls);
        assertTrue(supervisor.state().toString().contains("restarts=1"));
    }

    @Test
    void ignoresFailuresOfAReplacedComponent() {
        startThreeChildren();
        Consumer<Throwable> replaced = failures.get("b");
        replaced.accept(new IllegalStateException("broken"));
        runScheduled();
        calls.clear();
        replaced.accept(new IllegalStateException("late"));
        runScheduled();

        assertEquals(List.of(), calls);
    }

    @Test
    void escalatesAfterFiveRestartsWithinTheWindow() {
        startThreeChildren();
        for (int i = 0; i <= Supervisor.MAX_RESTARTS; i++) {
            failures.get("a").accept(new IllegalStateException("failure " + i));
            runScheduled();
        }

        assertEquals(1, escalated.size());
        assertEquals("failure 5", escalated.get(0).getMessage());
    }

    @Test
    void doesNotCountRestartsOutsideTheWindow() {
        startThreeChildren();
        for (int i = 0; i < 3 * Supervisor.MAX_RESTARTS; i++) {
            failures.get("a").accept(new IllegalStateException("failure " + i));
            runScheduled();
            nanos += Supervisor.RESTART_WINDOW.toNanos() / Supervisor.MAX_RESTARTS + 1;
        }

        assertEquals(List.of(), escalated);
    }

    @Test
    void stopsInReverseOrder() {
        Supervisor supervisor = startThreeChildren();
        calls.clear();
        supervisor.stop().subscribe().with(stopped -> calls.add("stopped"));

        assertEquals(List.of("stop c", "stop b", "stop a", "stopped"), calls);
    }

    private Supervisor startThreeChildren() {
        Supervisor supervisor =
                new Supervisor("test", new ManualTimers(), new ManualTicker(), (child, cause) -> {}, escalated::add);
        for (String name : List.of("a", "b", "c")) {
            supervisor.child(name, onFailure -> {
                failures.put(name, onFailure);
                return new RecordingComponent(name);
            });
        }
        supervisor.start().subscribe().with(started -> calls.add("started"));
        assertEquals(List.of("start a", "start b", "start c", "started"), calls);
        return supervisor;
    }

    private void runScheduled() {
        while (!scheduled.isEmpty()) {
            scheduled.poll().run();
        }
    }

    private final class RecordingComponent implements Component {
        private final String name;

        private RecordingComponent(String name) {
            this.name = name;
        }

        @Override
        public Uni<Void> start() {
            calls.add("start " + name);
            return Uni.createFrom().voidItem();
        }

        @Override
        public Uni<Void> stop() {
            calls.add("stop " + name);
            return Uni.createFrom().voidItem();
        }

        @Override
        public Map<String, Object> state() {
            return Map.of();
        }
    }

    private final class ManualTimers implements Timers {
        @Override
        public Timer after(Duration delay, Runnable task) {
            scheduled.add(task);
            return () -> scheduled.remove(task);
        }

        @Override
        public Timer every(Duration period, Runnable task) {
            throw new UnsupportedOperationException("not used by the supervisor");
        }
    }

    private final class ManualTicker implements Ticker {
        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public long nanos() {
            return nanos;
        }
    }
}
