package dev.lavenderline.standins;

import io.vertx.core.Future;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Arguments of a command; every option takes one value.
 *
 * <pre>{@code
 * Arguments arguments = Arguments.parse(args, "port", "append-rate");
 * int port = arguments.integer("port", 0);
 * }</pre>
 */
public final class Arguments {
    private static final int INTERNAL_ERROR = 70;

    private final CommandLine line;

    private Arguments(CommandLine line) {
        this.line = line;
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
            CommandLine line = new DefaultParser(false).parse(options, args);
            if (!line.getArgList().isEmpty()) {
                throw new IllegalArgumentException(
                        "unexpected argument " + line.getArgList().get(0));
            }
            return new Arguments(line);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Returns an option's value or the default. */
    public String text(String name, String otherwise) {
        return line.getOptionValue(name, otherwise);
    }

    /** Returns an option's value as an integer. */
    public int integer(String name, int otherwise) {
        return Math.toIntExact(number(name, otherwise));
    }

    /** Returns an option's value as a whole number. */
    public long number(String name, long otherwise) {
        String value = line.getOptionValue(name);
        if (value == null) {
            return otherwise;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("--" + name + " must be a whole number, not " + value, e);
        }
    }

    /** Returns an option's value as a decimal number. */
    public double decimal(String name, double otherwise) {
        String value = line.getOptionValue(name);
        if (value == null) {
            return otherwise;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("--" + name + " must be a number, not " + value, e);
        }
    }

    /** Returns an option's value in milliseconds as a duration. */
    public Duration millis(String name, Duration otherwise) {
        return Duration.ofMillis(number(name, otherwise.toMillis()));
    }

    /** Prints {@code ready PORT} when a server listens; ends the process with code 70 if it cannot. */
    public static void announce(Future<Integer> port) {
        port.onSuccess(listening -> {
                    System.out.println("ready " + listening);
                    System.out.flush();
                })
                .onFailure(error -> {
                    System.err.println("cannot listen: " + error.getMessage());
                    System.exit(INTERNAL_ERROR);
                });
    }
}
