package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.EngineStandin;
import dev.lavenderline.standins.platform.History;
import dev.lavenderline.standins.store.StoreStandin.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Disturbs a fleet in a series; several of them overlap. What a disturbance took away is back when it ends.
 *
 * <p>Confined to the thread that runs it.
 */
final class Disturber implements Runnable {
    private static final int MAX_PAUSE_MS = 1500;
    private static final int MAX_DURATION_MS = 3500;
    private static final int MAX_SILENCE_MS = 3600;
    private static final int RELEASE_STEP_MS = 400;
    private static final int MAX_REFUSING = 3;
    private static final int MAX_LATE_APPENDS = 6;

    /** Time for which a node may run after SIGTERM: the seconds of its settings, and a reserve under load. */
    private static final long TERMINATION_MS = 12_000;

    private static final List<Fault> OUTAGES = List.of(Fault.SILENT, Fault.BUSY, Fault.RESET);
    private static final List<Fault> LATE_APPENDS = List.of(Fault.LATE, Fault.ANSWER_LOST, Fault.SILENT, Fault.BUSY);

    private final SoakFleet fleet;
    private final UniformRandomProvider random;
    private final List<Disturbance> choices;
    private final TouchLog touch;
    private final BooleanSupplier running;
    private final Consumer<String> notes;
    private final History history;

    Disturber(
            int number,
            SoakOptions options,
            SoakFleet fleet,
            TouchLog touch,
            BooleanSupplier running,
            Consumer<String> notes) {
        this.fleet = fleet;
        this.random = RandomSource.SPLIT_MIX_64.create(options.faults().seed() * 13_000_003 + number);
        this.choices = options.disturbances();
        this.touch = touch;
        this.running = running;
        this.notes = notes;
        this.history = fleet.history();
    }

    @Override
    public void run() {
        try {
            while (running.getAsBoolean() && !choices.isEmpty()) {
                sleep(MAX_PAUSE_MS);
                disturb(choices.get(random.nextInt(choices.size())));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sleep(int maxMillis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(maxMillis));
    }

    private void note(String text) {
        notes.accept(String.format(java.util.Locale.ROOT, "%8.3f  %s", history.seconds(), text));
    }

    private void disturb(Disturbance disturbance) throws InterruptedException {
        switch (disturbance) {
            case ENGINE_CRASH -> crash(false);
            case ENGINE_RESTART -> crash(true);
            case RELEASE -> release();
            case RESETS -> {
                EngineStandin engine = anyEngine();
                note("connections of " + engine.spec().id() + " are reset");
                engine.resetConnections();
            }
            case REFUSALS -> refuse();
            case NODE_KILL, NODE_END, NODE_FREEZE -> disturbNode(disturbance);
            case STORE_OUTAGE -> {
                Fault fault = OUTAGES.get(random.nextInt(OUTAGES.size()));
                TouchLog.Span span = touch.begin();
                note("the store is " + fault);
                fleet.store().outage(fault);
                sleep(MAX_DURATION_MS);
                fleet.store().outage(Fault.NONE);
                note("the store is back");
                span.end();
            }
            case STORE_LATE -> {
                TouchLog.Span span = touch.begin();
                Fault[] faults = new Fault[1 + random.nextInt(MAX_LATE_APPENDS)];
                for (int i = 0; i < faults.length; i++) {
                    faults[i] = LATE_APPENDS.get(random.nextInt(LATE_APPENDS.size()));
                }
                note("appends are " + List.of(faults));
                fleet.store().failNextAppends(faults);
                sleep(MAX_DURATION_MS);
                span.end();
            }
        }
    }

    private EngineStandin anyEngine() {
        List<EngineStandin> engines = fleet.engines();
        return engines.get(random.nextInt(engines.size()));
    }

    private void crash(boolean sameId) throws InterruptedException {
        EngineStandin engine = anyEngine();
        if (!fleet.remove(engine)) {
            return;
        }
        note(engine.spec().id() + " crashes");
        engine.crash();
        sleep(sameId ? MAX_PAUSE_MS : MAX_SILENCE_MS);
        if (!sameId) {
            engine.expire();
        }
        EngineStandin next = fleet.restart(engine, sameId, random.nextBoolean());
        note(next.spec().id() + " starts on port " + next.port());
    }

    private void release() throws InterruptedException {
        Optional<String> version = fleet.beginRelease();
        if (version.isEmpty()) {
            return;
        }
        note("release of " + version.get());
        for (EngineStandin engine : new ArrayList<>(fleet.engines())) {
            if (fleet.isStreaming(engine) && fleet.remove(engine)) {
                fleet.addEngine(version.get());
                engine.drain(fleet.drainTime());
                sleep(RELEASE_STEP_MS);
            }
        }
        note("release of " + version.get() + " ends");
        fleet.endRelease();
    }

    private void refuse() throws InterruptedException {
        List<EngineStandin> refusing = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(MAX_REFUSING); i++) {
            refusing.add(anyEngine());
        }
        refusing.forEach(engine -> engine.refusing(true));
        note("engines refuse: "
                + refusing.stream().map(engine -> engine.spec().id()).toList());
        sleep(MAX_DURATION_MS);
        refusing.forEach(engine -> engine.refusing(false));
    }

    private void disturbNode(Disturbance disturbance) throws InterruptedException {
        Optional<SoakNode> taken = fleet.takeNode(random.nextInt(fleet.nodes().size()));
        if (taken.isEmpty()) {
            return;
        }
        SoakNode node = taken.get();
        TouchLog.Span span = touch.begin();
        note(disturbance + " of " + node.name());
        if (disturbance == Disturbance.NODE_FREEZE) {
            node.signal("STOP");
            sleep(MAX_DURATION_MS);
            node.signal("CONT");
        } else {
            node.signal(disturbance == Disturbance.NODE_KILL ? "KILL" : "TERM");
            node.awaitEnd(TERMINATION_MS);
            sleep(MAX_PAUSE_MS);
            fleet.startNode(node);
        }
        note(disturbance + " of " + node.name() + " ends");
        span.end();
        fleet.giveNode(node);
    }
}
