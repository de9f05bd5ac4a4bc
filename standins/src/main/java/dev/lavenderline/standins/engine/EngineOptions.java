package dev.lavenderline.standins.engine;

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
 * @param port port to listen on, 0 for one chosen by the system
 * @param maxConcurrent sequences that run at once
 * @param stepBaseMs time of a step without sequences, in milliseconds
 * @param stepPerSequenceMs time that each running sequence adds to a step, in milliseconds
 * @param prefillChunk largest number of prompt tokens prefilled in one step, over all sequences
 * @param prefillRate prompt tokens prefilled in a second
 * @param prefixCacheTokens size of the prefix cache in tokens
 * @param loadLagMs age of load reports, in milliseconds
 * @param streamKeepMs time for which a stream without a connection stays resumable, in milliseconds
 * @param checksFencing whether orders with an outdated fencing number are refused
 * @param loadTimeMs time that loading a model or adapter takes, in milliseconds
 * @param cacheEventLagMs time after which a cache event is published, in milliseconds
 * @param cacheEventGap part of the cache events that is never published, 0 to 1
 * @param historyLimit requests kept in the history; older ones are dropped
 * @param loaded models loaded at the start, each {@code MODEL:VERSION} or {@code MODEL:VERSION:ADAPTER}
 * @param seed seed of the random choices
 */
public record EngineOptions(
        String host,
        int port,
        int maxConcurrent,
        double stepBaseMs,
        double stepPerSequenceMs,
        int prefillChunk,
        double prefillRate,
        int prefixCacheTokens,
        long loadLagMs,
        long streamKeepMs,
        boolean checksFencing,
        long loadTimeMs,
        long cacheEventLagMs,
        double cacheEventGap,
        int historyLimit,
        List<String> loaded,
        long seed) {
    public EngineOptions {
        if (maxConcurrent < 1) {
            throw new IllegalArgumentException("max-concurrent is " + maxConcurrent + ", must be at least 1");
        }
        if (prefillChunk < 1 || !(prefillRate > 0)) {
            throw new IllegalArgumentException(
                    "prefill-chunk is " + prefillChunk + " and prefill-rate is " + prefillRate + ", must be positive");
        }
        if (!(stepBaseMs > 0) || stepPerSequenceMs < 0) {
            throw new IllegalArgumentException("step-base is " + stepBaseMs + " and step-per-sequence is "
                    + stepPerSequenceMs + ", must be positive");
        }
        loaded = List.copyOf(loaded);
    }

    /**
     * Parses command-line arguments.
     *
     * @throws IllegalArgumentException if an argument is unknown or its value is invalid
     */
    public static EngineOptions parse(String... args) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return new EngineOptions(
                line.getOptionValue("host", "127.0.0.1"),
                Integer.parseInt(line.getOptionValue("port", "0")),
                Integer.parseInt(line.getOptionValue("max-concurrent", "16")),
                Double.parseDouble(line.getOptionValue("step-base", "20")),
                Double.parseDouble(line.getOptionValue("step-per-sequence", "0.25")),
                Integer.parseInt(line.getOptionValue("prefill-chunk", "512")),
                Double.parseDouble(line.getOptionValue("prefill-rate", "20000")),
                Integer.parseInt(line.getOptionValue("prefix-cache-tokens", "65536")),
                Long.parseLong(line.getOptionValue("load-lag", "500")),
                Long.parseLong(line.getOptionValue("stream-keep", "10000")),
                line.hasOption("checks-fencing"),
                Long.parseLong(line.getOptionValue("load-time", "1000")),
                Long.parseLong(line.getOptionValue("cache-event-lag", "1000")),
                Double.parseDouble(line.getOptionValue("cache-event-gap", "0.05")),
                Integer.parseInt(line.getOptionValue("history-limit", "200000")),
                line.hasOption("loaded") ? List.of(line.getOptionValues("loaded")) : List.of(),
                Long.parseLong(line.getOptionValue("seed", "1")));
    }

    private static Options options() {
        Options options = new Options();
        value(options, "host", "address to listen on");
        value(options, "port", "port to listen on, 0 for one chosen by the system");
        value(options, "max-concurrent", "sequences that run at once");
        value(options, "step-base", "milliseconds of a step without sequences");
        value(options, "step-per-sequence", "milliseconds that each sequence adds to a step");
        value(options, "prefill-chunk", "largest number of tokens prefilled in one step");
        value(options, "prefill-rate", "tokens prefilled in a second");
        value(options, "prefix-cache-tokens", "size of the prefix cache in tokens");
        value(options, "load-lag", "age of load reports in milliseconds");
        value(options, "stream-keep", "milliseconds for which a detached stream stays resumable");
        value(options, "load-time", "milliseconds that loading takes");
        value(options, "cache-event-lag", "milliseconds until a cache event is published");
        value(options, "cache-event-gap", "part of the cache events that is never published");
        value(options, "history-limit", "requests kept in the history");
        value(options, "loaded", "model loaded at the start, MODEL:VERSION[:ADAPTER]; may be repeated");
        value(options, "seed", "seed of the random choices");
        options.addOption(Option.builder()
                .longOpt("checks-fencing")
                .desc("refuse orders with an outdated fencing number")
                .get());
        return options;
    }

    private static void value(Options options, String name, String description) {
        options.addOption(
                Option.builder().longOpt(name).hasArg().desc(description).get());
    }
}
