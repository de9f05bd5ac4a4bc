package dev.lavenderline.standins.engine;

import dev.lavenderline.standins.stutter.Stutter;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Settings of the engine stand-in.
 *
 * <pre>{@code
 * EngineOptions options = EngineOptions.parse("--max-concurrent", "8", "--step-base", "5");
 * }</pre>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for an ephemeral port
 * @param maxRunningSequences largest number of sequences that run at once
 * @param stepBaseMs fixed part of the duration of a step, in milliseconds
 * @param stepPerSequenceMs duration that each running sequence adds to a step, in milliseconds
 * @param prefillChunkTokens largest number of prompt tokens prefilled in one step, summed over all sequences
 * @param prefillTokensPerSecond prompt tokens prefilled per second
 * @param prefixCacheTokens capacity of the prefix cache in tokens
 * @param loadReportLagMs age of load reports, in milliseconds
 * @param streamRetentionMs time for which a stream without a connection can be resumed, in milliseconds
 * @param checksFencing whether orders with an outdated fencing token are refused
 * @param loadTimeMs time to load a model or adapter, in milliseconds
 * @param cacheEventLagMs delay before a cache event is published, in milliseconds
 * @param cacheEventLoss fraction of the cache events that are never published, 0 to 1
 * @param historyLimit requests kept in the history; the oldest are dropped
 * @param preloaded models loaded at startup, each {@code MODEL:VERSION} or {@code MODEL:VERSION:ADAPTER}
 * @param stutter second copies of responses
 * @param seed seed of the random number generator
 */
public record EngineOptions(
        String host,
        int port,
        int maxRunningSequences,
        double stepBaseMs,
        double stepPerSequenceMs,
        int prefillChunkTokens,
        double prefillTokensPerSecond,
        int prefixCacheTokens,
        long loadReportLagMs,
        long streamRetentionMs,
        boolean checksFencing,
        long loadTimeMs,
        long cacheEventLagMs,
        double cacheEventLoss,
        int historyLimit,
        List<String> preloaded,
        Stutter stutter,
        long seed) {
    public EngineOptions {
        if (maxRunningSequences < 1) {
            throw new IllegalArgumentException("max-concurrent is " + maxRunningSequences + ", must be at least 1");
        }
        if (prefillChunkTokens < 1 || !(prefillTokensPerSecond > 0)) {
            throw new IllegalArgumentException("prefill-chunk is " + prefillChunkTokens + " and prefill-rate is "
                    + prefillTokensPerSecond + ", must be positive");
        }
        if (!(stepBaseMs > 0) || stepPerSequenceMs < 0) {
            throw new IllegalArgumentException("step-base is " + stepBaseMs
                    + ", must be positive; step-per-sequence is " + stepPerSequenceMs + ", must not be negative");
        }
        preloaded = List.copyOf(preloaded);
    }

    /**
     * Parses command-line arguments.
     *
     * @throws IllegalArgumentException if an argument is unknown or its value is invalid
     */
    public static EngineOptions parse(String... args) {
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return new EngineOptions(
                commandLine.getOptionValue("host", "127.0.0.1"),
                Integer.parseInt(commandLine.getOptionValue("port", "0")),
                Integer.parseInt(commandLine.getOptionValue("max-concurrent", "16")),
                Double.parseDouble(commandLine.getOptionValue("step-base", "20")),
                Double.parseDouble(commandLine.getOptionValue("step-per-sequence", "0.25")),
                Integer.parseInt(commandLine.getOptionValue("prefill-chunk", "512")),
                Double.parseDouble(commandLine.getOptionValue("prefill-rate", "20000")),
                Integer.parseInt(commandLine.getOptionValue("prefix-cache-tokens", "65536")),
                Long.parseLong(commandLine.getOptionValue("load-lag", "500")),
                Long.parseLong(commandLine.getOptionValue("stream-keep", "10000")),
                commandLine.hasOption("checks-fencing"),
                Long.parseLong(commandLine.getOptionValue("load-time", "1000")),
                Long.parseLong(commandLine.getOptionValue("cache-event-lag", "1000")),
                Double.parseDouble(commandLine.getOptionValue("cache-event-gap", "0.05")),
                Integer.parseInt(commandLine.getOptionValue("history-limit", "200000")),
                commandLine.hasOption("loaded") ? List.of(commandLine.getOptionValues("loaded")) : List.of(),
                Stutter.parse(
                        commandLine.getOptionValue(Stutter.OPTION, "none"),
                        commandLine.hasOption(Stutter.WITHOUT_ID_OPTION)),
                Long.parseLong(commandLine.getOptionValue("seed", "1")));
    }

    private static Options options() {
        Options options = new Options();
        addOption(options, "host", "address to listen on");
        addOption(options, "port", "port to listen on, 0 for an ephemeral port");
        addOption(options, "max-concurrent", "largest number of sequences that run at once");
        addOption(options, "step-base", "fixed milliseconds of each step");
        addOption(options, "step-per-sequence", "milliseconds that each sequence adds to a step");
        addOption(options, "prefill-chunk", "largest number of tokens prefilled in one step");
        addOption(options, "prefill-rate", "tokens prefilled per second");
        addOption(options, "prefix-cache-tokens", "capacity of the prefix cache in tokens");
        addOption(options, "load-lag", "age of load reports in milliseconds");
        addOption(options, "stream-keep", "milliseconds for which a stream without a connection can be resumed");
        addOption(options, "load-time", "milliseconds to load a model or adapter");
        addOption(options, "cache-event-lag", "milliseconds until a cache event is published");
        addOption(options, "cache-event-gap", "fraction of the cache events that are never published, 0 to 1");
        addOption(options, "history-limit", "requests kept in the history");
        addOption(options, "loaded", "model loaded at startup, MODEL:VERSION[:ADAPTER]; may be repeated");
        addOption(options, Stutter.OPTION, Stutter.DESCRIPTION);
        addOption(options, "seed", "seed of the random number generator");
        options.addOption(Option.builder()
                .longOpt("checks-fencing")
                .desc("refuse orders with an outdated fencing number")
                .get());
        options.addOption(Option.builder()
                .longOpt(Stutter.WITHOUT_ID_OPTION)
                .desc(Stutter.WITHOUT_ID_DESCRIPTION)
                .get());
        return options;
    }

    private static void addOption(Options options, String name, String description) {
        options.addOption(
                Option.builder().longOpt(name).hasArg().desc(description).get());
    }
}
