package dev.lavenderline.node;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The settings of a node, valid and with defaults applied. Units, defaults and bounds are in {@link SettingsTable},
 * {@code lavenderline --help} and docs/OPERATIONS.md.
 *
 * @param identity who the node is
 * @param addresses where it listens
 * @param platform how it uses the platform's services
 * @param traffic how it treats requests
 * @param drain how it stops
 * @param seed seed of the random generators; empty for an unpredictable one
 * @param logging what it logs
 */
public record Settings(
        Identity identity,
        Addresses addresses,
        Platform platform,
        Traffic traffic,
        Drain drain,
        OptionalLong seed,
        Logging logging) {

    /**
     * Who a node is.
     *
     * @param node name, unique in the cluster
     * @param cluster name that all nodes of one installation share
     */
    public record Identity(String node, String cluster, String region, String failureDomain) {}

    /**
     * Addresses as IP address and port.
     *
     * @param callers where callers connect; port 0 for any free one
     * @param operators where operators connect; port 0 for any free one
     * @param peers where other nodes connect; port 0 for any free one
     * @param advertisePeers address that other nodes use to connect
     */
    public record Addresses(String callers, String operators, String peers, String advertisePeers) {}

    /**
     * Use of the platform's services.
     *
     * @param weights empty if the platform has no weight store
     * @param appendRate appends a second, all streams together
     * @param logRetention how long the log keeps a record
     * @param resultsRetention how long results stay readable after a job ended
     */
    public record Platform(
            URI log,
            URI hosts,
            Optional<URI> weights,
            double appendRate,
            Duration workLinger,
            Duration callsLinger,
            Duration logRetention,
            Duration resultsRetention,
            Duration logTimeout) {}

    /**
     * Treatment of requests.
     *
     * @param maxRequestBytes largest body of one request
     * @param maxFileBytes largest input file of a batch job
     * @param upstreamIdle idle time after which an upstream connection is not used again
     * @param firstTokenLimit time without a response head after which a connection counts as silent
     * @param stallLimit time without a token after which a stream counts as silent
     * @param priceThreshold how much longer the wait in the own region may be before another region is used
     * @param retryRatio retries and hedges together as a part of the requests
     */
    public record Traffic(
            Policy policy,
            long maxRequestBytes,
            long maxFileBytes,
            Duration upstreamIdle,
            Duration firstTokenLimit,
            Duration stallLimit,
            Duration priceThreshold,
            double retryRatio) {}

    /**
     * Graceful stop.
     *
     * @param notice how long an unready node still accepts requests
     * @param timeout how long it waits for its requests afterwards
     */
    public record Drain(Duration notice, Duration timeout) {}

    /** What is logged. */
    public record Logging(LogFormat format, LogLevel level) {}

    /** How an upstream is chosen. */
    public enum Policy {
        LATENCY_AWARE,
        LEAST_IN_FLIGHT,
        ROUND_ROBIN
    }

    /** Form of log lines. */
    public enum LogFormat {
        TEXT,
        JSON
    }

    /** Least severe level that is logged. */
    public enum LogLevel {
        TRACE,
        DEBUG,
        INFO,
        WARN,
        ERROR
    }
}
