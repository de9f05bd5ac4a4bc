package dev.lavenderline.standins;

import dev.lavenderline.standins.engine.EngineServer;
import dev.lavenderline.standins.hosts.HostListCommand;
import dev.lavenderline.standins.log.LogCommand;
import dev.lavenderline.standins.service.ServiceServer;
import dev.lavenderline.standins.soak.Soak;
import dev.lavenderline.standins.weights.WeightStoreCommand;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs one stand-in for a platform service until the process ends.
 *
 * <pre>{@code
 * java -cp ... dev.lavenderline.standins.Main log --port 7400 --append-rate 400
 * }</pre>
 */
public final class Main {
    private static final int USAGE_EXIT_CODE = 2;

    private static final Map<String, Command> COMMANDS = new TreeMap<>(Map.of(
            "log",
            new LogCommand(),
            "hosts",
            new HostListCommand(),
            "weights",
            new WeightStoreCommand(),
            "engine",
            EngineServer::run,
            "service",
            ServiceServer::run,
            "soak",
            Soak::run));

    private Main() {}

    public static void main(String[] args) {
        // Logs go to standard error: callers parse standard output, which has only the line with the port.
        setPropertyIfAbsent("tinylog.writer", "console");
        setPropertyIfAbsent("tinylog.writer.stream", "err");
        setPropertyIfAbsent("tinylog.level", "warn");
        Command command = args.length == 0 ? null : COMMANDS.get(args[0]);
        if (command == null) {
            System.err.println("usage: standins " + String.join("|", COMMANDS.keySet()) + " --port N [options]");
            System.exit(USAGE_EXIT_CODE);
            return;
        }
        try {
            command.run(Arrays.copyOfRange(args, 1, args.length));
        } catch (IllegalArgumentException e) {
            System.err.println("standins " + args[0] + ": " + e.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private static void setPropertyIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
