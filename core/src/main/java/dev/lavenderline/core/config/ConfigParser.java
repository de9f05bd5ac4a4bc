package dev.lavenderline.core.config;

import dev.lavenderline.core.config.YamlNode.Mapping;
import dev.lavenderline.core.config.YamlNode.Position;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Parses a configuration folder: YAML files that are merged in the order of their names.
 *
 * <p>Maps are merged deeply. A later scalar or list replaces an earlier one, and {@code null} removes an entry or a
 * field; a removed field falls back to its default. Files whose names do not end in {@code .yaml} or {@code .yml}
 * are ignored. Aliases and multiple documents in one file are not supported.
 *
 * <p>Keys, units and defaults:
 *
 * <pre>
 * models:
 *   NAME:
 *     versions: [TEXT, ...]          # required
 *     adapters: [TEXT, ...]          # default: none
 *     weight_bytes: 14GB             # required, 1B to 16TB
 * deployments:
 *   NAME:
 *     model: MODEL                   # required
 *     version: TEXT                  # required, a version of the model
 *     adapters: [TEXT, ...]          # default: none; adapters of the model
 *     online:
 *       enabled: true                # default: true
 *       first_token: 520ms           # default: 520ms, 1ms to 10m
 *       between_tokens: 74ms         # default: 74ms, 1ms to 1m
 *       timeout: 60s                 # default: 60s, 10ms to 1h, at least first_token
 *     batch:
 *       enabled: true                # default: true
 *       max_share: 1.0               # default: 1, 0 to 1
 * upstreams:
 *   NAME:
 *     engine_of: DEPLOYMENT          # either this or service is required
 *     service: NAME
 *     address: 127.0.0.1:9001        # required, IP address and port
 *     region: NAME                   # required
 *     failure_domain: NAME           # required
 *     max_concurrent: 16             # default: 16, 1 to 10000
 *     checks_fencing: false          # default: false, for engines only
 * workspaces:
 *   NAME:
 *     tokens_sha256: [HEX, ...]      # required, SHA-256 of each token, 64 lower-case hexadecimal digits
 *     weight: 1                      # default: 1, 1 to 1000
 *     requests_per_second: 0         # default: 0 (no limit), 0 to 1000000
 *     max_in_flight: 0               # default: 0 (no limit), 0 to 1000000
 *     max_batch_items: 0             # default: 0 (no limit), 0 to 1000000000
 * routes:
 *   /PATH:
 *     service: NAME                  # required, the service of at least one upstream
 *     methods: [POST]                # default: POST
 *     repeatable: false              # default: false
 *     timeout: 10s                   # default: 10s, 10ms to 1h
 * </pre>
 *
 * <pre>{@code
 * ConfigParser.parse(files).fold(
 *         faults -> { faults.forEach(System.err::println); return 1; },
 *         config -> config.deployments().size());
 * }</pre>
 *
 * <p>Thread-safe: {@link #parse} shares no state between calls.
 */
public final class ConfigParser {
    /** Largest size of one file in bytes. */
    public static final int MAX_FILE_BYTES = 1 << 20;

    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/@+-]{0,127}");

    private static final String LABEL_RULE =
            "must be 1 to 128 letters, digits or ._/@+- and start with a letter or a digit";

    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

    private final List<ConfigFault> faults = new ArrayList<>();
    private final Map<String, Model> models = new TreeMap<>();
    private final Map<String, Deployment> deployments = new TreeMap<>();
    private final Map<String, Upstream> upstreams = new TreeMap<>();
    private final Map<String, Workspace> workspaces = new TreeMap<>();
    private final Map<String, Route> routes = new TreeMap<>();

    // Suppresses errors about undefined names, because an unreadable file may define them.
    private boolean hasUnreadableFile;

    private ConfigParser() {}

    /** Returns whether a file of this name belongs to the configuration. */
    public static boolean isConfigFile(String name) {
        return name.endsWith(".yaml") || name.endsWith(".yml");
    }

    /**
     * Parses, merges and validates files.
     *
     * @param files content by file name; merged in the order of the map
     * @return the configuration at revision 0, or all faults sorted by file and line
     */
    public static Either<List<ConfigFault>, FleetConfig> parse(SortedMap<String, byte[]> files) {
        return new ConfigParser().parseAll(files);
    }

    private Either<List<ConfigFault>, FleetConfig> parseAll(SortedMap<String, byte[]> files) {
        Mapping merged = Mapping.empty(new Position(files.isEmpty() ? "" : files.firstKey(), 1));
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            if (!isConfigFile(file.getKey())) {
                continue;
            }
            Optional<Mapping> content = read(file.getKey(), file.getValue());
            hasUnreadableFile |= content.isEmpty();
            if (content.isPresent()) {
                Schema.check(content.get(), faults);
                merged = merged.merge(content.get());
            }
        }
        EntryReader root = new EntryReader("", merged, faults);
        root.entries("models").forEach(this::parseModel);
        root.entries("deployments").forEach(this::parseDeployment);
        Map<String, String> addresses = new HashMap<>();
        root.entries("upstreams").forEach((name, entry) -> parseUpstream(name, entry, addresses));
        Map<String, String> tokens = new HashMap<>();
        root.entries("workspaces").forEach((name, entry) -> parseWorkspace(name, entry, tokens));
        root.entries("routes").forEach(this::parseRoute);
        if (!faults.isEmpty()) {
            return Either.left(faults.stream().sorted().distinct().toList());
        }
        return Either.right(new FleetConfig(0, models, deployments, upstreams, workspaces, routes));
    }

    private Optional<Mapping> read(String name, byte[] content) {
        if (content.length > MAX_FILE_BYTES) {
            faults.add(new ConfigFault(
                    name, 1, "", "has " + content.length + " bytes, more than the limit of " + MAX_FILE_BYTES));
            return Optional.empty();
        }
        return YamlReader.read(name, content, faults);
    }

    private void parseModel(String name, EntryReader entry) {
        models.put(
                name,
                new Model(
                        name,
                        entry.nonEmptyTexts("versions", matches(LABEL), LABEL_RULE),
                        entry.texts("adapters", matches(LABEL), LABEL_RULE),
                        entry.bytes("weight_bytes", "1B", "16TB")));
    }

    private void parseDeployment(String name, EntryReader entry) {
        Optional<String> model = entry.name("model");
        Optional<String> version = entry.text("version", matches(LABEL), LABEL_RULE);
        List<String> adapters = entry.texts("adapters", matches(LABEL), LABEL_RULE);
        Optional<Model> definedModel = model.map(models::get);
        if (model.isPresent() && definedModel.isEmpty() && !hasUnreadableFile) {
            entry.fault("model", "there is no model '" + model.get() + "'");
        }
        if (definedModel.isPresent()) {
            if (version.isPresent() && !definedModel.get().versions().contains(version.get())) {
                entry.fault("version", "model '" + model.get() + "' has no version '" + version.get() + "'");
            }
            for (String adapter : adapters) {
                if (!definedModel.get().adapters().contains(adapter)) {
                    entry.itemFault(
                            "adapters", adapter, "model '" + model.get() + "' has no adapter '" + adapter + "'");
                }
            }
        }
        EntryReader online = entry.child("online");
        int faultsBefore = faults.size();
        var firstToken = online.duration("first_token", "520ms", "1ms", "10m");
        var betweenTokens = online.duration("between_tokens", "74ms", "1ms", "1m");
        var timeout = online.duration("timeout", "60s", "10ms", "1h");
        if (timeout.compareTo(firstToken) < 0 && faults.size() == faultsBefore) {
            online.fault(
                    "timeout",
                    Quantities.formatDuration(timeout) + " is shorter than first_token ("
                            + Quantities.formatDuration(firstToken) + ")");
        }
        EntryReader batch = entry.child("batch");
        deployments.put(
                name,
                new Deployment(
                        name,
                        model.orElse(""),
                        version.orElse(""),
                        adapters,
                        firstToken,
                        betweenTokens,
                        timeout,
                        online.bool("enabled", true),
                        batch.bool("enabled", true),
                        batch.number("max_share", 1, "0", "1")));
    }

    private void parseUpstream(String name, EntryReader entry, Map<String, String> addresses) {
        boolean isEngine = entry.has("engine_of");
        if (isEngine && entry.has("service")) {
            entry.fault("service", "engine_of and service are mutually exclusive");
        }
        Optional<String> group = Optional.empty();
        if (isEngine) {
            group = entry.name("engine_of");
            if (group.isPresent() && !deployments.containsKey(group.get()) && !hasUnreadableFile) {
                entry.fault("engine_of", "there is no deployment '" + group.get() + "'");
            }
        } else if (entry.has("service")) {
            group = entry.name("service");
            if (entry.has("checks_fencing")) {
                entry.fault("checks_fencing", "applies to engines only");
            }
        } else {
            entry.entryFault("engine_of or service is required");
        }
        Optional<String> address =
                entry.text("address", SocketAddress::isValid, "must be an IP address and port such as 127.0.0.1:9001");
        if (address.isPresent()) {
            String other = addresses.putIfAbsent(address.get(), name);
            if (other != null) {
                entry.fault("address", "'" + address.get() + "' is already the address of upstream '" + other + "'");
            }
        }
        Optional<String> region = entry.name("region");
        Optional<String> failureDomain = entry.name("failure_domain");
        int maxConcurrent = (int) entry.integer("max_concurrent", 16, 1, 10_000);
        boolean checksFencing = entry.bool("checks_fencing", false);
        upstreams.put(
                name,
                new Upstream(
                        name,
                        isEngine ? Upstream.Kind.ENGINE : Upstream.Kind.SERVICE,
                        group.orElse(""),
                        address.orElse(""),
                        region.orElse(""),
                        failureDomain.orElse(""),
                        maxConcurrent,
                        checksFencing));
    }

    private void parseWorkspace(String name, EntryReader entry, Map<String, String> tokens) {
        List<String> tokenHashes = entry.nonEmptyTexts(
                "tokens_sha256", matches(SHA256), "must be the SHA-256 of a token as 64 lower-case hexadecimal digits");
        for (String hash : tokenHashes) {
            String other = tokens.putIfAbsent(hash, name);
            if (other != null) {
                entry.itemFault("tokens_sha256", hash, "is already a token of workspace '" + other + "'");
            }
        }
        workspaces.put(
                name,
                new Workspace(
                        name,
                        tokenHashes,
                        (int) entry.integer("weight", 1, 1, 1_000),
                        entry.number("requests_per_second", 0, "0", "1000000"),
                        (int) entry.integer("max_in_flight", 0, 0, 1_000_000),
                        entry.integer("max_batch_items", 0, 0, 1_000_000_000)));
    }

    private void parseRoute(String path, EntryReader entry) {
        Optional<String> service = entry.name("service");
        if (service.isPresent() && !hasUnreadableFile && !hasService(service.get())) {
            entry.fault("service", "there is no upstream of service '" + service.get() + "'");
        }
        List<String> methods = entry.has("methods")
                ? entry.nonEmptyTexts(
                        "methods",
                        METHODS::contains,
                        "must be one of " + METHODS.stream().sorted().toList())
                : List.of("POST");
        routes.put(
                path,
                new Route(
                        path,
                        service.orElse(""),
                        methods,
                        entry.bool("repeatable", false),
                        entry.duration("timeout", "10s", "10ms", "1h")));
    }

    private boolean hasService(String service) {
        return upstreams.values().stream()
                .anyMatch(upstream -> upstream.kind() == Upstream.Kind.SERVICE
                        && upstream.group().equals(service));
    }

    private static Predicate<String> matches(Pattern pattern) {
        return text -> pattern.matcher(text).matches();
    }
}
