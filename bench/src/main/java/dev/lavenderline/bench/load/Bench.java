package dev.lavenderline.bench.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.DeployedFleet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Compares the default routing policy with baselines:
 * {@code bench [--quick] [--seed N] [--rounds N] [--policy NAME]}.
 *
 * <p>In each round the policies run one after another on the same engines; each has its own nodes and its own log. The
 * last line of the output is {@code RESULT} and a JSON object with the medians.
 */
public final class Bench {
    private static final int USAGE_ERROR = 2;
    private static final String DEFAULT_POLICY = "latency-aware";
    private static final List<String> POLICIES = List.of(DEFAULT_POLICY, "least-in-flight", "round-robin");
    private static final int ENGINES = 8;
    private static final int NODES = 3;
    private static final int DEFAULT_ROUNDS = 5;
    private static final Experiment.Scale QUICK = new Experiment.Scale(ENGINES, Duration.ofMillis(1500), 90, 48);
    private static final Experiment.Scale FULL = new Experiment.Scale(ENGINES, Duration.ofSeconds(15), 90, 48);

    private Bench() {}

    /** Runs the comparison and returns the exit code. */
    public static int run(List<String> args) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args.toArray(new String[0]));
        } catch (ParseException e) {
            System.err.println("bench: " + e.getMessage());
            return USAGE_ERROR;
        }
        boolean quick = line.hasOption("quick");
        long seed = Long.parseLong(line.getOptionValue("seed", "1"));
        int rounds = Integer.parseInt(line.getOptionValue("rounds", Integer.toString(quick ? 1 : DEFAULT_ROUNDS)));
        List<String> policies = line.hasOption("policy") ? List.of(line.getOptionValue("policy")) : POLICIES;
        Measurements measurements = new Measurements();
        run(quick ? QUICK : FULL, seed, rounds, policies, measurements);
        System.out.print(measurements.table());
        writeReport(measurements, policies.get(0), seed);
        return 0;
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("quick")
                        .desc("one short round")
                        .get())
                .addOption(valueOption("seed", "seed of the first round's arrivals; each round adds 1"))
                .addOption(valueOption("rounds", "rounds, each with its own seed"))
                .addOption(valueOption("policy", "only this policy"));
    }

    private static Option valueOption(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    private static void run(
            Experiment.Scale scale, long seed, int rounds, List<String> policies, Measurements measurements) {
        Path directory = Path.of("run", "bench");
        Map<String, DeployedFleet> fleets = new LinkedHashMap<>();
        try (LoadGenerator load = new LoadGenerator(DeployedFleet.TOKEN, DeployedFleet.DEPLOYMENT)) {
            for (String policy : policies) {
                DeployedFleet.Builder builder = DeployedFleet.builder(directory.resolve(policy))
                        .engines(scale.engineCount(), EngineModel.STANDARD.options())
                        .regions("north-moor", "river-vale", "south-coast")
                        .nodes(NODES, "--policy=" + policy);
                if (!fleets.isEmpty()) {
                    builder.shareUpstreamsOf(fleets.get(policies.get(0)));
                }
                fleets.put(policy, builder.start());
            }
            DeployedFleet engineFleet = fleets.get(policies.get(0));
            for (int round = 0; round < rounds; round++) {
                for (String policy : policies) {
                    new Experiment(policy, fleets.get(policy), engineFleet, load, measurements, scale)
                            .run(seed + round);
                }
            }
        } finally {
            fleets.values().forEach(DeployedFleet::close);
        }
    }

    private static void writeReport(Measurements measurements, String mainPolicy, long seed) {
        ObjectNode result = measurements.json(mainPolicy);
        result.put("seed", seed);
        Path file = Path.of("run", "bench", "result.json");
        ObjectNode report = result.deepCopy();
        report.set("rounds", measurements.allRounds());
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(file, report.toPrettyString());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + file, e);
        }
        System.out.println("RESULT " + result);
    }
}
