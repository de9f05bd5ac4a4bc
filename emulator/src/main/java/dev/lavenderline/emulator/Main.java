package dev.lavenderline.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command line of the emulator: {@code run PATTERN [--seeds N] [--policy A,B] [--plot FILE]}. */
public final class Main {
    private static final int SUCCESS = 0;
    private static final int USAGE_ERROR = 2;
    private static final int DEFAULT_SEEDS = 10;
    private static final int MAX_SEEDS = 10_000;
    private static final String USAGE = "usage: experiment run PATTERN [--seeds N] [--policy A,B] [--plot FILE]";

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs a command; returns the exit code, which is 2 for bad input. */
    static int run(String[] args) {
        Options options = new Options()
                .addOption(null, "seeds", true, "number of seeds")
                .addOption(null, "policy", true, "policies, separated by commas")
                .addOption(null, "plot", true, "PNG file to write");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            List<String> words = line.getArgList();
            if (words.size() != 2 || !words.get(0).equals("run")) {
                throw new ParseException("a command and a pattern are required");
            }
            play(line, Path.of(words.get(1)));
            return SUCCESS;
        } catch (ParseException e) {
            System.err.println(e.getMessage() + System.lineSeparator() + USAGE);
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
        }
        return USAGE_ERROR;
    }

    private static void play(CommandLine line, Path file) throws IOException {
        LoadPattern pattern = LoadPattern.read(file);
        int seeds = seeds(line.getOptionValue("seeds", Integer.toString(DEFAULT_SEEDS)));
        List<String> policies =
                List.of(line.getOptionValue("policy", Policies.DEFAULT).split(","));
        policies.forEach(Policies::named);
        Map<String, List<Experiment.Result>> results = new LinkedHashMap<>();
        for (String policy : policies) {
            Experiment experiment = new Experiment(pattern, seeds);
            results.put(policy, experiment.play(policy));
            System.out.println(policy + ", " + seeds + " seeds: mean [lowest, highest]");
            System.out.print(experiment.table(results.get(policy)));
        }
        if (line.hasOption("plot")) {
            Plot.write(Path.of(line.getOptionValue("plot")), pattern, results);
        }
    }

    private static int seeds(String text) {
        try {
            int seeds = Integer.parseInt(text);
            if (seeds >= 1 && seeds <= MAX_SEEDS) {
                return seeds;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new IllegalArgumentException("--seeds must be a number from 1 to " + MAX_SEEDS + ", not '" + text + "'");
    }
}
