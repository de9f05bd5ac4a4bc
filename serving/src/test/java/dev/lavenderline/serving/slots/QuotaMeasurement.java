package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.workspaces.QuotaLedger;
import dev.lavenderline.serving.workspaces.Workspace;
import dev.lavenderline.serving.workspaces.Workspaces;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/** Measures time, memory and messages of the quotas at the design scale; run manually. */
final class QuotaMeasurement {
    private static final int WORKSPACES = 820;
    private static final int ADMISSIONS = 1_000_000;
    private static final Duration LOAD_TIME = Duration.ofSeconds(10);

    private QuotaMeasurement() {}

    private static List<Workspace> workspaces(double requestsPerSecond, double burst) {
        List<Workspace> workspaces = new ArrayList<>();
        for (int i = 0; i < WORKSPACES; i++) {
            workspaces.add(new Workspace("workspace-" + i, OptionalInt.empty(), requestsPerSecond, burst));
        }
        return workspaces;
    }

    private static Workspaces index(List<Workspace> all) {
        Workspaces.Builder builder = new Workspaces.Builder();
        all.forEach(workspace -> builder.add(workspace, List.of()));
        return builder.build();
    }

    public static void main(String[] args) {
        for (int nodes : new int[] {60, 530}) {
            for (double rate : new double[] {1e6, 1e-6}) {
                for (int round = 0; round < 3; round++) {
                    measureTime(nodes, rate);
                }
            }
            measureBytes(nodes);
            measureMessages(nodes, 5, 5);
            measureMessages(nodes, 5, 2000);
        }
    }

    private static QuotaLedger ledger(int nodes, Workspaces workspaces) {
        QuotaLedger ledger = new QuotaLedger(Ticker.system(), () -> workspaces, () -> OptionalInt.of(nodes));
        for (int i = 0; i < nodes; i++) {
            ledger.joined("n" + i, Map.of());
        }
        return ledger;
    }

    private static void measureTime(int nodes, double rate) {
        List<Workspace> all = workspaces(rate, rate > 1 ? 1e6 : 1);
        QuotaLedger ledger = ledger(nodes, index(all));
        List<String> names = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            names.add("n" + i);
        }
        int admitted = 0;
        long started = System.nanoTime();
        for (int i = 0; i < ADMISSIONS; i++) {
            QuotaLedger.Decision decision =
                    ledger.admit(names.get(i % nodes), all.get(i % WORKSPACES).name());
            admitted += decision.outcome() == QuotaLedger.Outcome.ADMITTED ? 1 : 0;
        }
        double micros = (System.nanoTime() - started) / 1e3 / ADMISSIONS;
        started = System.nanoTime();
        ledger.refresh();
        System.out.printf(
                "nodes %d: %.2f us for a decision, %d of %d admitted; %.2f ms for a refresh%n",
                nodes, micros, admitted, ADMISSIONS, (System.nanoTime() - started) / 1e6);
    }

    private static long usedBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Each workspace has sent requests through a number of nodes in the last 5 s. */
    private static void measureBytes(int nodes) {
        List<Workspace> all = workspaces(1000, 1000);
        Workspaces index = index(all);
        for (int used : new int[] {1, 10, nodes}) {
            QuotaLedger ledger = ledger(nodes, index);
            long before = usedBytes();
            for (Workspace workspace : all) {
                for (int i = 0; i < used; i++) {
                    ledger.admit("n" + i, workspace.name());
                }
            }
            long bytes = usedBytes() - before;
            System.out.printf(
                    "nodes %d, %d of them with requests of each workspace: %d bytes for each workspace%n",
                    nodes, used, bytes / WORKSPACES);
            ledger.refresh();
        }
    }

    /** All workspaces send at their rate, two thirds of it to plain services. */
    private static void measureMessages(int nodes, double rate, double burst) {
        List<Workspace> all = workspaces(rate, burst);
        QuotaFleet fleet = new QuotaFleet(1, nodes, index(all));
        fleet.connectAll(fleet.nodes.get(0), Duration.ofMillis(500));
        Duration start = Duration.ofSeconds(2);
        Duration end = start.plus(LOAD_TIME);
        fleet.after(start, started -> all.forEach(workspace -> started.send(workspace, 0.9 * rate, true, end)));
        fleet.run(start);
        long toScheduler = fleet.framesToScheduler;
        long toNodes = fleet.framesToNodes;
        long quotaToScheduler = fleet.quotaFramesToScheduler;
        long quotaToNodes = fleet.quotaFramesToNodes;
        fleet.run(end);
        double seconds = LOAD_TIME.toSeconds();
        long admitted = fleet.requests.values().stream()
                .mapToLong(requests -> requests.admittedNanos.size())
                .sum();
        System.out.printf(
                "nodes %d, %d workspaces, %.0f requests/s and burst %.0f each: %.0f admissions/s; all frames: %.0f/s to"
                        + " the scheduler, %.0f/s from it; of quotas: %.0f/s and %.0f/s, %.1f/s and %.1f/s at a node%n",
                nodes,
                WORKSPACES,
                rate,
                burst,
                admitted / seconds,
                (fleet.framesToScheduler - toScheduler) / seconds,
                (fleet.framesToNodes - toNodes) / seconds,
                (fleet.quotaFramesToScheduler - quotaToScheduler) / seconds,
                (fleet.quotaFramesToNodes - quotaToNodes) / seconds,
                (fleet.quotaFramesToScheduler - quotaToScheduler) / seconds / nodes,
                (fleet.quotaFramesToNodes - quotaToNodes) / seconds / nodes);
    }
}
