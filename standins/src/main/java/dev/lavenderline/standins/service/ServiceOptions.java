package dev.lavenderline.standins.service;

import dev.lavenderline.standins.stutter.Stutter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Settings of the service stand-in.
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for an ephemeral port
 * @param delayMs time to process a call, in milliseconds
 * @param paddingBytes length of the field {@code padding} of each response
 * @param stutter second copies of responses
 */
public record ServiceOptions(String host, int port, long delayMs, int paddingBytes, Stutter stutter) {
    /**
     * Parses command-line arguments.
     *
     * @throws IllegalArgumentException if an argument is unknown or its value is invalid
     */
    public static ServiceOptions parse(String... args) {
        Options options = new Options();
        addOption(options, "host", "address to listen on");
        addOption(options, "port", "port to listen on, 0 for an ephemeral port");
        addOption(options, "delay", "milliseconds to process a call");
        addOption(options, "padding", "bytes of padding in each response");
        addOption(options, Stutter.OPTION, Stutter.DESCRIPTION);
        options.addOption(Option.builder()
                .longOpt(Stutter.WITHOUT_ID_OPTION)
                .desc(Stutter.WITHOUT_ID_DESCRIPTION)
                .get());
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return new ServiceOptions(
                commandLine.getOptionValue("host", "127.0.0.1"),
                Integer.parseInt(commandLine.getOptionValue("port", "0")),
                Long.parseLong(commandLine.getOptionValue("delay", "0")),
                Integer.parseInt(commandLine.getOptionValue("padding", "0")),
                Stutter.parse(
                        commandLine.getOptionValue(Stutter.OPTION, "none"),
                        commandLine.hasOption(Stutter.WITHOUT_ID_OPTION)));
    }

    private static void addOption(Options options, String name, String description) {
        options.addOption(
                Option.builder().longOpt(name).hasArg().desc(description).get());
    }
}
