package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.Arguments;
import dev.lavenderline.standins.platform.AnswerJudge;
import dev.lavenderline.standins.platform.AnswerJudge.Violation;
import dev.lavenderline.standins.platform.CallerAnswer;
import dev.lavenderline.standins.platform.CallerRequest;
import dev.lavenderline.standins.platform.FaultPlan;
import dev.lavenderline.standins.platform.JobJudge;
import dev.lavenderline.standins.platform.JobRecord;
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
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Runs a fleet under load and faults and returns the rules that were broken.
 *
 * <p>Thread-safe; each run has its own fleet.
 */
public final class Soak {
    private static final int BROKEN_EXIT_CODE = 1;
    private static final int UNUSABLE_EXIT_CODE = 2;

    /** Longest time for requests and disturbances to end after the load. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(30);

    /** Time that batch jobs get to end after the load, in milliseconds; {@code FinishS} of the platform is 18 s. */
    private static final long FINISH_MS = 60_000;

    private record Exchange(CallerRequest request, CallerAnswer answer) {}

    /**
     * What a run showed.
     *
     * @param statuses number of answers by kind of request and status; 0 stands for no answer
     * @param violations broken rules
     * @param jobViolations broken rules of batch jobs
     * @param histories history of each request and each item of a violation, by id
     * @param disturbances what happened to the fleet
     * @param endedNodes nodes that ended by themselves
     */
    public record Result(
            Map<String, Integer> statuses,
            List<Violation> violations,
            List<JobJudge.Violation> jobViolations,
            Map<String, List<String>> histories,
            List<String> disturbances,
            List<String> endedNodes) {
        /** Returns the number of requests that were served, and of items that were completed. */
        public int served() {
            return statuses.entrySet().stream()
                    .filter(entry ->
                            entry.getKey().endsWith(" 200") || entry.getKey().endsWith(" completed"))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }

        /** Returns the histories of all requests and items of violations. */
        public List<String> historyLines() {
            return histories.entrySet().stream()
                    .flatMap(entry -> Stream.concat(Stream.of(entry.getKey()), entry.getValue().stream()))
                    .toList();
        }

        /** Returns whether all rules held and no node ended by itself. */
        public boolean held() {
            return violations.isEmpty() && jobViolations.isEmpty() && endedNodes.isEmpty();
        }
    }

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
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Exchange> exchanges = Collections.synchronizedList(new ArrayList<>());
        List<JobRecord> jobs = Collections.synchronizedList(new ArrayList<>());
        List<Violation> resumptions = Collections.synchronizedList(new ArrayList<>());
        List<String> notes = Collections.synchronizedList(new ArrayList<>());
        long seed = options.faults().seed();
        try (SoakFleet fleet = new SoakFleet(options, root, directory, command)) {
            fleet.start();
            fleet.beginFaults();
            TouchLog touch = new TouchLog(fleet.history());
            AnswerJudge judge = new AnswerJudge(fleet.history());
            long end = System.nanoTime() + options.duration().toNanos();
            BooleanSupplier running = () -> System.nanoTime() < end;
            for (int i = 0; i < options.callers(); i++) {
                threads.execute(new SoakCaller(
                        i,
                        seed,
                        fleet.nodes(),
                        fleet.history(),
                        running,
                        (request, answer) -> exchanges.add(new Exchange(request, answer)),
                        (first, answer, rest) ->
                                judge.judgeResumption(first, answer, rest).ifPresent(resumptions::add)));
            }
            for (int i = 0; i < options.jobClients(); i++) {
                threads.execute(new SoakJobs(i, seed, fleet, touch::inTouch, running, jobs::add));
            }
            for (int i = 0; i < options.disturbers(); i++) {
                threads.execute(new Disturber(i, options, fleet, touch, running, notes::add));
            }
            threads.shutdown();
            threads.awaitTermination(options.duration().plus(DRAIN_TIME).toMillis(), TimeUnit.MILLISECONDS);
            List<String> ended = fleet.endedNodes();
            fleet.awaitReady();
            new SoakJobs(options.jobClients(), seed, fleet, touch::inTouch, running, jobs::add)
                    .finish(List.copyOf(jobs), FINISH_MS);
            TimeUnit.SECONDS.sleep(1);
            return judge(fleet, judge, touch, List.copyOf(exchanges), List.copyOf(jobs), resumptions, notes, ended);
        } finally {
            threads.shutdownNow();
        }
    }

    private static Result judge(
            SoakFleet fleet,
            AnswerJudge judge,
            TouchLog touch,
            List<Exchange> exchanges,
            List<JobRecord> jobs,
            List<Violation> resumptions,
            List<String> notes,
            List<String> endedNodes) {
        Map<String, Integer> statuses = new TreeMap<>();
        List<Violation> violations = new ArrayList<>(resumptions);
        Map<String, List<String>> histories = new TreeMap<>();
        for (Exchange exchange : exchanges) {
            String status = exchange.request().kind() + " " + exchange.answer().status()
                    + (exchange.answer().complete() ? "" : " incomplete");
            statuses.merge(status, 1, Integer::sum);
            violations.addAll(judge.judge(exchange.request(), exchange.answer()));
        }
        for (Violation violation : violations) {
            histories.put(violation.requestId(), fleet.history().of(violation.requestId()));
        }
        JobJudge jobJudge = new JobJudge(fleet.history(), SoakFleet.ITEM_ATTEMPTS, touch::inTouch);
        List<JobJudge.Violation> jobViolations = new ArrayList<>();
        for (JobRecord job : jobs) {
            statuses.merge("JOB " + (job.accepted().isPresent() ? "accepted" : "not accepted"), 1, Integer::sum);
            job.listings().values().forEach(listing -> statuses.merge("ITEM " + listing.state(), 1, Integer::sum));
            jobViolations.addAll(jobJudge.judge(job));
        }
        for (JobJudge.Violation violation : jobViolations) {
            histories.put(violation.item(), fleet.history().of(violation.item()));
        }
        return new Result(statuses, violations, jobViolations, histories, List.copyOf(notes), endedNodes);
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
                "jobs",
                "disturbers",
                "disturbances",
                "places",
                "stutter",
                "breaks",
                "failures",
                "unframed",
                "unnamed",
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
            FaultPlan faults = new FaultPlan(
                    seed,
                    places(arguments.stringValue("places", "all")),
                    arguments.doubleValue("stutter", 0.05),
                    arguments.doubleValue("breaks", 0.05),
                    arguments.doubleValue("failures", 0.02),
                    arguments.doubleValue("unframed", 0.15),
                    arguments.stringValue("unnamed", "all").equals("all"));
            SoakOptions options = new SoakOptions(
                    Duration.ofSeconds(arguments.longValue("seconds", 60)),
                    arguments.intValue("nodes", 3),
                    arguments.intValue("engines", 6),
                    arguments.intValue("slots", 8),
                    arguments.intValue("queue", 24),
                    arguments.intValue("callers", 40),
                    arguments.intValue("jobs", 2),
                    faults,
                    arguments.intValue("disturbers", 2),
                    disturbances(arguments.stringValue("disturbances", "all")));
            Path directory =
                    Path.of(arguments.stringValue("directory", "target/soak")).resolve("seed-" + seed);
            Result result = run(options, NodeCommand.deployed(root), root, directory.toAbsolutePath());
            print(options, result, arguments.intValue("histories", 3));
            held &= result.held();
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

    private static List<Disturbance> disturbances(String names) {
        return names.equals("all")
                ? List.of(Disturbance.values())
                : Arrays.stream(names.split(",", -1))
                        .filter(name -> !name.isEmpty())
                        .map(Disturbance::valueOf)
                        .toList();
    }

    private static void print(SoakOptions options, Result result, int histories) {
        System.out.println("seed " + options.faults().seed() + ", places "
                + options.faults().places() + ": " + result.statuses());
        result.disturbances().forEach(note -> System.out.println("  " + note));
        result.endedNodes().forEach(node -> System.out.println("  " + node + " ended by itself"));
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
        for (JobJudge.Violation violation : result.jobViolations()) {
            System.out.println("  " + violation);
            if (printed.merge(violation.rule() + " of a batch job", 1, Integer::sum) <= histories) {
                result.histories().get(violation.item()).forEach(line -> System.out.println("    " + line));
            }
        }
        System.out.println("RESULT seed " + options.faults().seed() + ": "
                + (result.violations().size()
                        + result.jobViolations().size()
                        + result.endedNodes().size())
                + " violations, " + result.served() + " served");
    }
}
