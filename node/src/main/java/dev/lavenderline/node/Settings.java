package dev.lavenderline.node;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The validated settings of a node, with defaults applied. Units, defaults and bounds are in {@link SettingsTable},
 * {@code lavenderline --help} and docs/OPERATIONS.md.
 *
 * @param identity name and location of the node
 * @param addresses addresses on which it listens
 * @param platform use of the platform's services
 * @param traffic handling of requests
 * @param drain graceful shutdown
 * @param seed seed of the random generators; empty for an unpredictable seed
 * @param logging format and level of log lines
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
     * Name and location of a node.
     *
     * @param node name, unique in the cluster
     * @param cluster name that all nodes of one installation share
     */
    public record Identity(String node, String cluster, String region, String failureDomain) {}

    /**
     * Addresses as IP address and port.
     *
     * @param callers where callers connect; port 0 for any free port
     * @param operators where operators connect; port 0 for any free port
     * @param peers where other nodes connect; port 0 for any free port
     * @param advertisePeers address that other nodes use to connect
     */
    public record Addresses(String callers, String operators, String peers, String advertisePeers) {}

    /**
     * Use of the platform's services.
     *
     * @param weights empty if the platform has no weight store
     * @param appendRate appends per second to all streams together
     * @param logRetention how long the log keeps a record
     * @param resultsRetention how long results stay readable after their job has ended
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
     * Handling of requests.
     *
     * @param maxRequestBytes largest body of one request
     * @param maxFileBytes largest input file of a batch job
     * @param upstreamIdle idle time after which an upstream connection is not reused
     * @param firstTokenLimit longest wait for a response head before an attempt is abandoned
     * @param stallLimit longest wait for the next token before a stream is resumed on a new connection
     * @param priceThreshold how much longer the expected wait in the local region may be before another region is used
     * @param retryRatio budget of retries and hedges together, as a fraction of the requests
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
     * Graceful shutdown.
     *
     * @param notice how long the node, already unready, still accepts requests
     * @param timeout how long it then waits for requests in flight
     */
    public record Drain(Duration notice, Duration timeout) {}

    /** Format and level of log lines. */
    public record Logging(LogFormat format, LogLevel level) {}

    /** How an upstream is chosen. */
    public enum Policy {
        LATENCY_AWARE,
        LEAST_IN_FLIGHT,
        ROUND_ROBIN
    }

    /** Format of log lines. */
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
