package dev.lavenderline.standins;

import io.vertx.core.Future;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parsed command-line options of a stand-in; every option takes one value.
 *
 * <pre>{@code
 * Arguments arguments = Arguments.parse(args, "port", "append-rate");
 * int port = arguments.intValue("port", 0);
 * }</pre>
 */
public final class Arguments {
    private static final int INTERNAL_ERROR_EXIT_CODE = 70;

    private final CommandLine commandLine;

    private Arguments(CommandLine commandLine) {
        this.commandLine = commandLine;
    }

    /**
     * Parses {@code --name value} pairs.
     *
     * @param names allowed option names
     * @throws IllegalArgumentException if an argument is unknown or lacks its value
     */
    public static Arguments parse(String[] args, String... names) {
        Options options = new Options();
        for (String name : names) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        try {
            CommandLine commandLine = new DefaultParser(false).parse(options, args);
            if (!commandLine.getArgList().isEmpty()) {
                throw new IllegalArgumentException(
                        "unexpected argument " + commandLine.getArgList().get(0));
            }
            return new Arguments(commandLine);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Returns the value of an option as a string, or the default if it is absent. */
    public String stringValue(String name, String defaultValue) {
        return commandLine.getOptionValue(name, defaultValue);
    }

    /** Returns the value of an option as an {@code int}, or the default if it is absent. */
    public int intValue(String name, int defaultValue) {
        return Math.toIntExact(longValue(name, defaultValue));
    }

    /** Returns the value of an option as a {@code long}, or the default if it is absent. */
    public long longValue(String name, long defaultValue) {
        String value = commandLine.getOptionValue(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("--" + name + " must be a whole number, not " + value, e);
        }
    }

    /** Returns the value of an option as a {@code double}, or the default if it is absent. */
    public double doubleValue(String name, double defaultValue) {
        String value = commandLine.getOptionValue(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("--" + name + " must be a number, not " + value, e);
        }
    }

    /** Returns the value of an option in milliseconds as a duration, or the default if it is absent. */
    public Duration millisValue(String name, Duration defaultValue) {
        return Duration.ofMillis(longValue(name, defaultValue.toMillis()));
    }

    /** Prints {@code ready PORT} once the server listens; exits the process with code 70 if it cannot listen. */
    public static void printReady(Future<Integer> port) {
        port.onSuccess(boundPort -> {
                    System.out.println("ready " + boundPort);
                    System.out.flush();
                })
                .onFailure(error -> {
                    System.err.println("cannot listen: " + error.getMessage());
                    System.exit(INTERNAL_ERROR_EXIT_CODE);
                });
    }
}
