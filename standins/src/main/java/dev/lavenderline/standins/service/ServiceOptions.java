package dev.lavenderline.standins.service;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Settings of the service stand-in.
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for one chosen by the system
 * @param delayMs time that a call takes, in milliseconds
 * @param paddingBytes length of the field {@code padding} of each answer
 */
public record ServiceOptions(String host, int port, long delayMs, int paddingBytes) {
    /**
     * Parses command-line arguments.
     *
     * @throws IllegalArgumentException if an argument is unknown or its value is invalid
     */
    public static ServiceOptions parse(String... args) {
        Options options = new Options();
        value(options, "host", "address to listen on");
        value(options, "port", "port to listen on, 0 for one chosen by the system");
        value(options, "delay", "milliseconds that a call takes");
        value(options, "padding", "bytes that are added to each answer");
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return new ServiceOptions(
                line.getOptionValue("host", "127.0.0.1"),
                Integer.parseInt(line.getOptionValue("port", "0")),
                Long.parseLong(line.getOptionValue("delay", "0")),
                Integer.parseInt(line.getOptionValue("padding", "0")));
    }

    private static void value(Options options, String name, String description) {
        options.addOption(
                Option.builder().longOpt(name).hasArg().desc(description).get());
    }
}
