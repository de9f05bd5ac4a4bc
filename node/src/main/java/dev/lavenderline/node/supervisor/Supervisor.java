package dev.lavenderline.node.supervisor;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Starts components in order and restarts a failed one together with all that were started after it, because later
 * components hold references to earlier ones.
 *
 * <p>Invariants: components are started one after the other; at most one restart is in progress; after
 * {@value #MAX_RESTARTS} restarts within {@link #RESTART_WINDOW} the next failure is escalated and nothing is restarted
 * any more. Not thread-safe; confined to the node's event loop.
 *
 * <pre>{@code
 * Supervisor root = new Supervisor("node", timers, ticker, this::logFailure, cause -> exit(70));
 * root.child("platform", failures -> new Platform(failures));
 * root.child("callers", failures -> new Callers(failures));
 * root.start().subscribe().with(started -> {}, this::abort);
 * }</pre>
 */
public final class Supervisor implements Component {
    static final int MAX_RESTARTS = 5;
    static final Duration RESTART_WINDOW = Duration.ofSeconds(30);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final String name;
    private final Timers timers;
    private final Ticker ticker;
    private final BiConsumer<String, Throwable> onChildFailure;
    private final Consumer<Throwable> escalate;
    private final List<Child> children = new ArrayList<>();
    private final Deque<Long> restartNanos = new ArrayDeque<>();
    private boolean stopping;
    private boolean restarting;

    /**
     * Creates a supervisor without children.
     *
     * @param onChildFailure called with the child's name and the cause of each failure, also of a failure to stop
     * @param escalate called once with the last cause when the supervisor gives up
     */
    public Supervisor(
            String name,
            Timers timers,
            Ticker ticker,
            BiConsumer<String, Throwable> onChildFailure,
            Consumer<Throwable> escalate) {
        this.name = Objects.requireNonNull(name);
        this.timers = Objects.requireNonNull(timers);
        this.ticker = Objects.requireNonNull(ticker);
        this.onChildFailure = Objects.requireNonNull(onChildFailure);
        this.escalate = Objects.requireNonNull(escalate);
    }

    /**
     * Adds a child; call before {@link #start}.
     *
     * @param factory creates the component; its argument reports a failure of the running component
     */
    public <C extends Component> void child(String childName, Function<Consumer<Throwable>, C> factory) {
        children.add(new Child(childName, factory::apply));
    }

    @Override
    public Uni<Void> start() {
        return startFrom(0);
    }

    @Override
    public Uni<Void> stop() {
        stopping = true;
        return stopFrom(0);
    }

    @Override
    public Map<String, Object> state() {
        Map<String, Object> childStates = new LinkedHashMap<>();
        for (Child child : children) {
            Map<String, Object> state = new LinkedHashMap<>();
            state.put("running", child.component != null);
            state.put("restarts", child.restarts);
            if (child.component != null) {
                state.putAll(child.component.state());
            }
            childStates.put(child.name, state);
        }
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("name", name);
        state.put("children", childStates);
        return state;
    }

    private Uni<Void> startFrom(int index) {
        Uni<Void> chain = Uni.createFrom().voidItem();
        for (int i = index; i < children.size(); i++) {
            Child child = children.get(i);
            chain = chain.chain(() -> startChild(child));
        }
        return chain;
    }

    private Uni<Void> startChild(Child child) {
        if (stopping) {
            return Uni.createFrom().voidItem();
        }
        int generation = ++child.generation;
        child.component = child.factory.apply(cause -> childFailed(child, generation, cause));
        return child.component.start();
    }

    private void childFailed(Child child, int generation, Throwable cause) {
        if (stopping || restarting || generation != child.generation) {
            return;
        }
        onChildFailure.accept(child.name, cause);
        child.restarts++;
        long now = ticker.nanos();
        restartNanos.addLast(now);
        while (now - restartNanos.peekFirst() > RESTART_WINDOW.toNanos()) {
            restartNanos.removeFirst();
        }
        if (restartNanos.size() > MAX_RESTARTS) {
            stopping = true;
            escalate.accept(cause);
            return;
        }
        restarting = true;
        timers.after(backoff(), () -> restartFrom(child));
    }

    private Duration backoff() {
        Duration delay = FIRST_BACKOFF.multipliedBy(1L << (restartNanos.size() - 1));
        return delay.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : delay;
    }

    private void restartFrom(Child child) {
        int index = children.indexOf(child);
        stopFrom(index).chain(() -> startFrom(index)).subscribe().with(started -> restarting = false, cause -> {
            restarting = false;
            childFailed(child, child.generation, cause);
        });
    }

    /** Stops children in reverse order; if one fails to stop, the others are still stopped. */
    private Uni<Void> stopFrom(int index) {
        Uni<Void> chain = Uni.createFrom().voidItem();
        for (int i = children.size() - 1; i >= index; i--) {
            Child child = children.get(i);
            chain = chain.chain(() -> stopChild(child));
        }
        return chain;
    }

    private Uni<Void> stopChild(Child child) {
        if (child.component == null) {
            return Uni.createFrom().voidItem();
        }
        Component component = child.component;
        child.component = null;
        return component.stop().onFailure().recoverWithItem(cause -> {
            onChildFailure.accept(child.name, cause);
            return null;
        });
    }

    private static final class Child {
        private final String name;
        private final Function<Consumer<Throwable>, Component> factory;
        private Component component;
        private int generation;
        private int restarts;

        private Child(String name, Function<Consumer<Throwable>, Component> factory) {
            this.name = name;
            this.factory = factory;
        }
    }
}
