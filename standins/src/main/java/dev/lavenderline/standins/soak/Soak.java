package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.Arguments;
import dev.lavenderline.standins.platform.AnswerJudge;
import dev.lavenderline.standins.platform.AnswerJudge.Violation;
import dev.lavenderline.standins.platform.CallerAnswer;
import dev.lavenderline.standins.platform.CallerRequest;
import dev.lavenderline.standins.platform.SecondAnswer;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runs a fleet under load and faults and returns the rules that were broken.
 *
 * <p>Thread-safe; each run has its own fleet.
 */
public final class Soak {
    private static final int BROKEN_EXIT_CODE = 1;
    private static final int UNUSABLE_EXIT_CODE = 2;

    /** Time that requests get to end after the load. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(6);

    private record Exchange(CallerRequest request, CallerAnswer answer) {}

    /**
     * What a run showed.
     *
     * @param statuses number of answers by kind of request and status; 0 stands for no answer
     * @param violations broken rules
     * @param histories history of each request of a violation, by id
     */
    public record Result(
            Map<String, Integer> statuses, List<Violation> violations, Map<String, List<String>> histories) {}

    private Soak() {}

    /**
     * Runs a fleet.
     *
     * @param command command of a serving node
     * @param root root of the repository
     * @param directory directory for settings and logs of the nodes
     */
    public static Result run(SoakOptions options, List<String> command, Path root, Path directory)
            throws IOException, InterruptedException {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Exchange> exchanges = Collections.synchronizedList(new ArrayList<>());
        try (SoakFleet fleet = new SoakFleet(options, root, directory, command)) {
            fleet.start();
            fleet.engines().forEach(engine -> engine.faulty(true));
            long end = System.nanoTime() + options.duration().toNanos();
            for (int i = 0; i < options.callers(); i++) {
                callers.execute(new SoakCaller(
                        i,
                        options.seed(),
                        fleet.nodes(),
                        fleet.history(),
                        () -> System.nanoTime() < end,
                        (request, answer) -> exchanges.add(new Exchange(request, answer))));
            }
            callers.shutdown();
            callers.awaitTermination(options.duration().plus(DRAIN_TIME).toMillis(), TimeUnit.MILLISECONDS);
            TimeUnit.SECONDS.sleep(1);
            return judge(fleet, List.copyOf(exchanges));
        } finally {
            callers.shutdownNow();
        }
    }

    private static Result judge(SoakFleet fleet, List<Exchange> exchanges) {
        AnswerJudge judge = new AnswerJudge(fleet.history());
        Map<String, Integer> statuses = new TreeMap<>();
        List<Violation> violations = new ArrayList<>();
        Map<String, List<String>> histories = new TreeMap<>();
        for (Exchange exchange : exchanges) {
            String status = exchange.request().kind() + " " + exchange.answer().status()
                    + (exchange.answer().complete() ? "" : " incomplete");
            statuses.merge(status, 1, Integer::sum);
            List<Violation> found = judge.judge(exchange.request(), exchange.answer());
            violations.addAll(found);
            if (!found.isEmpty()) {
                histories.put(
                        exchange.request().id(),
                        fleet.history().of(exchange.request().id()));
            }
        }
        return new Result(statuses, violations, histories);
    }

    /** Runs the command {@code soak}; see docs/bench.md. */
    public static void run(String[] args) {
        Arguments arguments = Arguments.parse(
                args,
                "seed",
                "seeds",
                "seconds",
                "nodes",
                "engines",
                "slots",
                "queue",
                "callers",
                "places",
                "stutter",
                "breaks",
                "failures",
                "unframed",
                "histories",
                "directory");
        try {
            System.exit(runSeeds(arguments) ? 0 : BROKEN_EXIT_CODE);
        } catch (IOException | InterruptedException | IllegalStateException e) {
            System.err.println("soak: " + e);
            System.exit(UNUSABLE_EXIT_CODE);
        }
    }

    private static boolean runSeeds(Arguments arguments) throws IOException, InterruptedException {
        Path root = NodeCommand.repositoryRoot();
        long first = arguments.longValue("seed", 1);
        boolean held = true;
        for (long seed = first; seed < first + arguments.longValue("seeds", 1); seed++) {
            SoakOptions options = new SoakOptions(
                    seed,
                    Duration.ofSeconds(arguments.longValue("seconds", 60)),
                    arguments.intValue("nodes", 3),
                    arguments.intValue("engines", 6),
                    arguments.intValue("slots", 8),
                    arguments.intValue("queue", 24),
                    arguments.intValue("callers", 40),
                    places(arguments.stringValue("places", "all")),
                    arguments.doubleValue("stutter", 0.05),
                    arguments.doubleValue("breaks", 0.05),
                    arguments.doubleValue("failures", 0.02),
                    arguments.doubleValue("unframed", 0.15));
            Path directory =
                    Path.of(arguments.stringValue("directory", "target/soak")).resolve("seed-" + seed);
            Result result = run(options, NodeCommand.deployed(root), root, directory.toAbsolutePath());
            print(options, result, arguments.intValue("histories", 3));
            held &= result.violations().isEmpty();
        }
        return held;
    }

    private static List<SecondAnswer> places(String names) {
        if (names.equals("all")) {
            return Arrays.stream(SecondAnswer.values())
                    .filter(place -> place != SecondAnswer.NONE)
                    .toList();
        }
        return Arrays.stream(names.split(",", -1))
                .filter(name -> !name.isEmpty())
                .map(SecondAnswer::valueOf)
                .toList();
    }

    private static void print(SoakOptions options, Result result, int histories) {
        System.out.println("seed " + options.seed() + ", places " + options.places() + ": " + result.statuses());
        Map<String, Integer> counts = new TreeMap<>();
        for (Violation violation : result.violations()) {
            counts.merge(
                    violation.rule() + " " + violation.kind() + ": "
                            + violation.text().replaceAll("[0-9a-f]{16}|\\d+", "#") + " ["
                            + violation.disturbance() + "]",
                    1,
                    Integer::sum);
        }
        counts.forEach((text, count) -> System.out.println("  " + count + " x " + text));
        Map<String, Integer> printed = new TreeMap<>();
        for (Violation violation : result.violations()) {
            String group = violation.rule() + " " + violation.kind() + violation.disturbance();
            if (printed.merge(group, 1, Integer::sum) <= histories) {
                System.out.println("  " + violation);
                result.histories().get(violation.requestId()).forEach(line -> System.out.println("    " + line));
            }
        }
        System.out.println(
                "RESULT seed " + options.seed() + ": " + result.violations().size() + " violations");
    }
}
