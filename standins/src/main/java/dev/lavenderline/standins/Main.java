package dev.lavenderline.standins;

import dev.lavenderline.standins.engine.EngineServer;
import dev.lavenderline.standins.hosts.HostListCommand;
import dev.lavenderline.standins.log.LogCommand;
import dev.lavenderline.standins.service.ServiceServer;
import dev.lavenderline.standins.weights.WeightStoreCommand;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs one stand-in of a platform service until the process ends.
 *
 * <pre>{@code
 * java -cp ... dev.lavenderline.standins.Main log --port 7400 --append-rate 400
 * }</pre>
 */
public final class Main {
    private static final int USAGE = 2;

    private static final Map<String, Command> COMMANDS = new TreeMap<>(Map.of(
            "log", new LogCommand(),
            "hosts", new HostListCommand(),
            "weights", new WeightStoreCommand(),
            "engine", EngineServer::run,
            "service", ServiceServer::run));

    private Main() {}

    public static void main(String[] args) {
        // Standard output carries only the line with the port.
        setDefault("tinylog.writer", "console");
        setDefault("tinylog.writer.stream", "err");
        setDefault("tinylog.level", "warn");
        Command command = args.length == 0 ? null : COMMANDS.get(args[0]);
        if (command == null) {
            System.err.println("usage: standins " + String.join("|", COMMANDS.keySet()) + " --port N [options]");
            System.exit(USAGE);
            return;
        }
        try {
            command.run(Arrays.copyOfRange(args, 1, args.length));
        } catch (IllegalArgumentException e) {
            System.err.println("standins " + args[0] + ": " + e.getMessage());
            System.exit(USAGE);
        }
    }

    private static void setDefault(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
