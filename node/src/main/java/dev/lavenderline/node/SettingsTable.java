package dev.lavenderline.node;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/** All flags of a node; the source for parsing, help and the table in docs/OPERATIONS.md. */
final class SettingsTable {
    static final Setting<String> NODE = Setting.name("node", "", "Name of the node, unique in the cluster.");
    static final Setting<String> CLUSTER =
            Setting.name("cluster", "lavenderline", "Name that all nodes of one installation share.");
    static final Setting<String> REGION = Setting.name("region", "", "Region in which the node runs.");
    static final Setting<String> FAILURE_DOMAIN =
            Setting.name("failure-domain", "", "Failure domain in which the node runs.");

    static final Setting<String> CALLERS_ADDRESS =
            Setting.address("callers-address", "127.0.0.1:8080", 0, "Where callers connect; port 0 for any free port.");
    static final Setting<String> OPERATORS_ADDRESS = Setting.address(
            "operators-address", "127.0.0.1:8081", 0, "Where operators connect; port 0 for any free port.");
    static final Setting<String> PEERS_ADDRESS = Setting.address(
            "peers-address", "127.0.0.1:8082", 0, "Where other nodes connect; port 0 for any free port.");
    static final Setting<String> ADVERTISE_PEERS = Setting.address(
            "advertise-peers",
            "",
            1,
            "Address that other nodes use to connect; --peers-address with the bound port if missing. Required if that"
                    + " one is a wildcard.");

    static final Setting<URI> LOG_URL = Setting.url("log-url", true, "The platform's log service.");
    static final Setting<URI> HOSTS_URL = Setting.url("hosts-url", true, "The platform's host list.");
    static final Setting<URI> WEIGHTS_URL =
            Setting.url("weights-url", false, "The platform's weight store; without it, nothing limits loads.");
    static final Setting<Double> APPEND_RATE = Setting.number(
            "append-rate", "appends a second", "30", 0.1, 1_000, "Append budget of the node on the log.");
    static final Setting<Duration> WORK_LINGER = Setting.duration(
            "work-linger",
            "50ms",
            "0ms",
            "1s",
            "How long entries of the work stream wait for others to share an append.");
    static final Setting<Duration> CALLS_LINGER = Setting.duration(
            "calls-linger",
            "2ms",
            "0ms",
            "1s",
            "How long entries of the calls stream wait for others to share an append.");
    static final Setting<Duration> LOG_RETENTION = Setting.duration(
            "log-retention",
            "24h",
            "1m",
            "8760h",
            "How long the log keeps a record; must not exceed the log's own value.");
    static final Setting<Duration> RESULTS_RETENTION = Setting.duration(
            "results-retention", "24h", "1m", "8760h", "How long results stay readable after their job ended.");
    static final Setting<Duration> LOG_TIMEOUT =
            Setting.duration("log-timeout", "2s", "100ms", "30s", "How long a call to the log may take.");

    static final Setting<Settings.Policy> POLICY = Setting.choice(
            "policy", Settings.Policy.class, Settings.Policy.LATENCY_AWARE, "How an upstream is chosen.");
    static final Setting<Long> MAX_REQUEST_BYTES =
            Setting.bytes("max-request-bytes", "16MiB", "1KiB", "256MiB", "Largest body of one request.");
    static final Setting<Long> MAX_FILE_BYTES =
            Setting.bytes("max-file-bytes", "256MiB", "1KiB", "4GiB", "Largest input file of a batch job.");
    static final Setting<Duration> UPSTREAM_IDLE = Setting.duration(
            "upstream-idle", "10s", "1s", "10m", "Idle time after which an upstream connection is not used again.");
    static final Setting<Duration> FIRST_TOKEN_LIMIT = Setting.duration(
            "first-token-limit",
            "10s",
            "100ms",
            "10m",
            "Time without a response head after which an online request is tried on a new connection.");
    static final Setting<Duration> STALL_LIMIT = Setting.duration(
            "stall-limit",
            "5s",
            "100ms",
            "10m",
            "Time without a token after which a stream is resumed on a new connection.");
    static final Setting<Duration> PRICE_THRESHOLD = Setting.duration(
            "price-threshold",
            "150ms",
            "0ms",
            "1m",
            "How much longer the expected wait in the own region may be before another region is used.");
    static final Setting<Double> RETRY_RATIO = Setting.number(
            "retry-ratio", "part of the requests", "0.1", 0, 1, "Budget of retries and hedges together.");

    static final Setting<Duration> DRAIN_NOTICE = Setting.duration(
            "drain-notice", "2s", "0ms", "10m", "How long a stopping node, already unready, still accepts requests.");
    static final Setting<Duration> DRAIN_TIMEOUT = Setting.duration(
            "drain-timeout", "60s", "0ms", "1h", "How long a stopping node waits for its requests after the notice.");

    static final Setting<Long> SEED =
            Setting.integer("seed", "number", "", "Seed of the random generators; unpredictable if missing.");
    static final Setting<Settings.LogFormat> LOG_FORMAT =
            Setting.choice("log-format", Settings.LogFormat.class, Settings.LogFormat.TEXT, "Form of the log lines.");
    static final Setting<Settings.LogLevel> LOG_LEVEL = Setting.choice(
            "log-level", Settings.LogLevel.class, Settings.LogLevel.INFO, "Least severe level that is logged.");

    static final List<Setting<?>> ALL = List.of(
            NODE,
            CLUSTER,
            REGION,
            FAILURE_DOMAIN,
            CALLERS_ADDRESS,
            OPERATORS_ADDRESS,
            PEERS_ADDRESS,
            ADVERTISE_PEERS,
            LOG_URL,
            HOSTS_URL,
            WEIGHTS_URL,
            APPEND_RATE,
            WORK_LINGER,
            CALLS_LINGER,
            LOG_RETENTION,
            RESULTS_RETENTION,
            LOG_TIMEOUT,
            POLICY,
            MAX_REQUEST_BYTES,
            MAX_FILE_BYTES,
            UPSTREAM_IDLE,
            FIRST_TOKEN_LIMIT,
            STALL_LIMIT,
            PRICE_THRESHOLD,
            RETRY_RATIO,
            DRAIN_NOTICE,
            DRAIN_TIMEOUT,
            SEED,
            LOG_FORMAT,
            LOG_LEVEL);

    private SettingsTable() {}

    /** Returns the Markdown table for docs/OPERATIONS.md. */
    static String markdown() {
        StringBuilder table = new StringBuilder("| flag | variable | unit | default | bounds | meaning |\n");
        table.append("| --- | --- | --- | --- | --- | --- |\n");
        for (Setting<?> setting : ALL) {
            table.append("| `--").append(setting.flag()).append("` | `").append(setting.variable());
            table.append("` | ").append(setting.unit()).append(" | ").append(setting.displayedDefault());
            table.append(" | ").append(setting.bounds()).append(" | ").append(setting.description());
            table.append(" |\n");
        }
        return table.toString();
    }

    /** Returns the text of {@code --help}. */
    static String help() {
        StringBuilder help = new StringBuilder();
        help.append("Usage: lavenderline [FLAG VALUE]...\n\n");
        help.append("A flag that is missing takes its value from the environment variable below it.\n");
        help.append("Durations are whole numbers with ms, s, m or h; byte sizes have B, KB, MB, GB, TB, KiB, MiB, GiB"
                + " or TiB.\n\n");
        for (Setting<?> setting : ALL) {
            help.append("--")
                    .append(setting.flag())
                    .append(" (")
                    .append(setting.unit())
                    .append(")\n");
            help.append("    ").append(setting.description()).append('\n');
            help.append("    ").append(setting.variable());
            help.append("; default: ").append(setting.displayedDefault());
            help.append("; bounds: ").append(setting.bounds()).append('\n');
        }
        return help.append("--help\n    Prints this text.\n--version\n    Prints the version.\n")
                .toString();
    }
}
