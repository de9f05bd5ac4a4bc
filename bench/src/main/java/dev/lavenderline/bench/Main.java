package dev.lavenderline.bench;

import dev.lavenderline.bench.fleet.HoldCommand;
import dev.lavenderline.bench.load.Bench;
import dev.lavenderline.bench.quickstart.Quickstart;
import dev.lavenderline.bench.slopes.Slopes;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/** Runs the development commands, which are not part of a release: {@code bench}, {@code hold}, {@code quickstart},
 * {@code slopes}.
 */
public final class Main {
    private static final int USAGE_ERROR = 2;
    private static final Map<String, ToIntFunction<List<String>>> COMMANDS = new TreeMap<>(Map.of(
            "bench", Bench::run, "hold", HoldCommand::run, "quickstart", Quickstart::run, "slopes", Slopes::run));

    private Main() {}

    public static void main(String[] args) {
        ToIntFunction<List<String>> command = args.length == 0 ? null : COMMANDS.get(args[0]);
        if (command == null) {
            System.err.println("usage: bench " + String.join("|", COMMANDS.keySet()) + " [options]");
            System.exit(USAGE_ERROR);
            return;
        }
        System.exit(command.applyAsInt(Arrays.asList(args).subList(1, args.length)));
    }
}
