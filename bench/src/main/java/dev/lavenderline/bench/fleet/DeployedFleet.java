package dev.lavenderline.bench.fleet;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A running fleet with one deployment, an optional plain service and a configuration in effect. The operating system
 * chooses the ports.
 *
 * <p>Not thread-safe.
 *
 * <pre>{@code
 * try (DeployedFleet fleet = DeployedFleet.builder(directory).engines(4).nodes(3).start()) {
 *     fleet.client().get(fleet.node(0).callersUrl() + "/v1/models");
 * }
 * }</pre>
 */
public final class DeployedFleet implements AutoCloseable {
    /** The deployment that all engines serve. */
    public static final String DEPLOYMENT = "repair";

    /** Bearer token of the fleet's only workspace. */
    public static final String TOKEN = "bench-token";

    private static final Duration CONFIG_TIMEOUT = Duration.ofSeconds(17);

    private final Builder settings;
    private final LocalFleet localFleet;
    private final ConfigPublisher publisher;
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final List<LocalNode> nodes = new ArrayList<>();
    private long revision;

    /** A running upstream stand-in. */
    public record Upstream(String name, ManagedProcess process, int port, String region) {
        /** Returns the address, {@code 127.0.0.1:PORT}. */
        public String address() {
            return "127.0.0.1:" + port;
        }

        /** Returns the base URL. */
        public String url() {
            return "http://" + address();
        }
    }

    private DeployedFleet(Builder settings) {
        this.settings = settings;
        this.localFleet = LocalFleet.create(settings.directory);
        this.publisher = new ConfigPublisher(localFleet);
    }

    /** Returns a builder of a fleet whose processes write their logs to the directory. */
    public static Builder builder(Path directory) {
        return new Builder(directory);
    }

    private void start() {
        localFleet.startPlatform(settings.logOptions);
        if (settings.sharedUpstreams.isEmpty()) {
            startUpstreams();
        } else {
            upstreams.putAll(settings.sharedUpstreams);
        }
        upstreams.values().forEach(upstream -> localFleet.register("upstream", upstream.address(), "live"));
        for (int i = 0; i < settings.nodes; i++) {
            nodes.add(localFleet.launchNode("node-" + i, region(i), region(i) + "-1", settings.nodeOptions));
        }
        nodes.forEach(localFleet::awaitAndRegister);
        publish(Map.of("00-fleet.yaml", configYaml()));
        awaitConfigInEffect();
    }

    private void startUpstreams() {
        Map<String, ManagedProcess> started = new LinkedHashMap<>();
        for (int i = 0; i < settings.engines; i++) {
            started.put("engine-" + i, localFleet.startUpstream("engine", "engine-" + i, 0, settings.engineOptions));
        }
        for (int i = 0; i < settings.services; i++) {
            started.put(
                    "service-" + i, localFleet.startUpstream("service", "service-" + i, 0, settings.serviceOptions));
        }
        int index = 0;
        for (Map.Entry<String, ManagedProcess> entry : started.entrySet()) {
            String name = entry.getKey();
            String region = region(index++ % settings.engines);
            upstreams.put(name, new Upstream(name, entry.getValue(), LocalFleet.port(entry.getValue()), region));
        }
    }

    /** Starts a new node, or restarts one that exited. */
    public LocalNode startNode(String name, String region) {
        LocalNode node = localFleet.startNode(name, region, region + "-1", settings.nodeOptions);
        nodes.removeIf(other -> other.name().equals(name));
        nodes.add(node);
        return node;
    }

    private String region(int index) {
        return settings.regions.get(index % settings.regions.size());
    }

    /** Publishes files based on the current revision and returns the new revision. */
    public long publish(Map<String, String> files) {
        revision = publisher.publish(revision, files);
        return revision;
    }

    /** Waits until the last published revision is in effect on all live nodes. */
    public void awaitConfigInEffect() {
        long expected = revision;
        Poll.until(
                "revision " + expected + " is in effect on all nodes",
                CONFIG_TIMEOUT,
                () -> nodes.stream()
                        .filter(node -> node.process().isAlive())
                        .allMatch(node -> node.revision() >= expected && node.isReady()));
    }

    private String configYaml() {
        StringBuilder yaml = new StringBuilder();
        yaml.append("models: {repair-lm: {versions: [\"1\"], weight_bytes: 14GB}}\n");
        yaml.append("deployments: {repair: {model: repair-lm, version: \"1\", online: {first_token: 520ms, ");
        yaml.append("between_tokens: 74ms, timeout: 60s}, batch: {max_share: 1.0}}}\n");
        yaml.append("upstreams:\n");
        for (Upstream upstream : upstreams.values()) {
            boolean isEngine = upstream.name().startsWith("engine");
            yaml.append("  ").append(upstream.name()).append(": {");
            yaml.append(isEngine ? "engine_of: repair" : "service: dispatch");
            yaml.append(", address: \"")
                    .append(upstream.address())
                    .append("\", region: ")
                    .append(upstream.region());
            yaml.append(", failure_domain: ").append(upstream.region()).append("-1");
            yaml.append(", max_concurrent: ").append(settings.maxConcurrent).append("}\n");
        }
        String hash = Hashing.sha256().hashString(TOKEN, StandardCharsets.UTF_8).toString();
        yaml.append("workspaces: {bench: {tokens_sha256: [\"").append(hash).append("\"]}}\n");
        if (settings.services > 0) {
            yaml.append("routes:\n");
            yaml.append("  /lockout: {service: dispatch, methods: [POST], repeatable: false, timeout: 5s}\n");
            yaml.append("  /parts: {service: dispatch, methods: [GET], repeatable: true, timeout: 5s}\n");
        }
        return yaml.toString();
    }

    /** Returns the underlying processes, for example to inject faults. */
    public LocalFleet localFleet() {
        return localFleet;
    }

    /** Returns a client that authenticates with {@link #TOKEN}. */
    public CallerClient client() {
        return new CallerClient(TOKEN);
    }

    /** Returns the nodes in start order; a restarted node moves to the end. */
    public List<LocalNode> nodes() {
        return List.copyOf(nodes);
    }

    public LocalNode node(int index) {
        return nodes.get(index);
    }

    /** Returns the upstreams by name: {@code engine-0}, {@code engine-1}, ..., {@code service-0}, ... */
    public Map<String, Upstream> upstreams() {
        return upstreams;
    }

    @Override
    public void close() {
        localFleet.close();
    }

    /** Sets the size and options of a fleet and starts it. Not thread-safe. */
    public static final class Builder {
        private final Path directory;
        private int engines = 2;
        private int services;
        private int nodes = 1;
        private int maxConcurrent = 16;
        private List<String> regions = List.of("north-moor");
        private List<String> engineOptions = List.of();
        private List<String> serviceOptions = List.of();
        private List<String> nodeOptions = List.of();
        private List<String> logOptions = List.of();
        private Map<String, Upstream> sharedUpstreams = Map.of();

        private Builder(Path directory) {
            this.directory = directory;
        }

        public Builder engines(int count, String... options) {
            engines = count;
            engineOptions = List.of(options);
            return this;
        }

        public Builder services(int count, String... options) {
            services = count;
            serviceOptions = List.of(options);
            return this;
        }

        public Builder nodes(int count, String... options) {
            nodes = count;
            nodeOptions = List.of(options);
            return this;
        }

        /** Sets the regions; nodes and upstreams are assigned to them round-robin. */
        public Builder regions(String... names) {
            regions = List.of(names);
            return this;
        }

        /** Sets the concurrency limit of each upstream in the configuration; must match the stand-in's option. */
        public Builder maxConcurrent(int sequences) {
            maxConcurrent = sequences;
            return this;
        }

        public Builder logOptions(String... options) {
            logOptions = List.of(options);
            return this;
        }

        /** Uses the upstreams of another fleet, which must outlive this one, instead of starting its own. */
        public Builder shareUpstreamsOf(DeployedFleet other) {
            sharedUpstreams = other.upstreams;
            engines = other.settings.engines;
            services = other.settings.services;
            maxConcurrent = other.settings.maxConcurrent;
            regions = other.settings.regions;
            return this;
        }

        /** Starts all processes and waits until the configuration is in effect. */
        public DeployedFleet start() {
            DeployedFleet fleet = new DeployedFleet(this);
            try {
                fleet.start();
                return fleet;
            } catch (RuntimeException e) {
                fleet.close();
                throw e;
            }
        }
    }
}
