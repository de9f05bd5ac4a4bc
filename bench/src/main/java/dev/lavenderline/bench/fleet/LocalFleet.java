package dev.lavenderline.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs stand-ins and nodes as processes on the loopback address. {@link #close} kills every process that was started.
 *
 * <p>Not thread-safe.
 *
 * <pre>{@code
 * try (LocalFleet fleet = LocalFleet.create(directory)) {
 *     fleet.startPlatform(List.of());
 *     LocalNode node = fleet.startNode("n1", "north-moor", "north-moor-a", List.of());
 * }
 * }</pre>
 */
public final class LocalFleet implements AutoCloseable {
    private static final List<String> SMALL_JVM_OPTIONS =
            List.of("-XX:+UseSerialGC", "-Xmx96m", "-XX:TieredStopAtLevel=1", "-Xshare:auto");
    private static final List<String> NODE_JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xmx192m");
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Fetching a 537 KB history takes 23 ms on a busy machine. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    private final Path directory;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final List<ManagedProcess> processes = new ArrayList<>();
    private final Map<String, LocalNode> nodes = new LinkedHashMap<>();
    private int logPort;
    private int hostsPort;
    private int weightsPort;

    private LocalFleet(Path directory) {
        this.directory = directory;
    }

    /** Creates a fleet whose processes write their logs to a directory. */
    public static LocalFleet create(Path directory) {
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create " + directory, e);
        }
        return new LocalFleet(directory);
    }

    /** Starts the log, the host list and the weight store. */
    public void startPlatform(List<String> logOptions) {
        ManagedProcess log = startStandIn("log", "log", 0, logOptions);
        ManagedProcess hosts = startStandIn("hosts", "hosts", 0, List.of());
        ManagedProcess weights = startStandIn("weights", "weights", 0, List.of());
        logPort = port(log);
        hostsPort = port(hosts);
        weightsPort = port(weights);
    }

    /** Starts an {@code engine} or {@code service} stand-in; port 0 lets the operating system choose one. */
    public ManagedProcess startUpstream(String kind, String name, int port, List<String> options) {
        return startStandIn(name, kind, port, options);
    }

    /** Waits until a stand-in is ready and returns its port. */
    public static int port(ManagedProcess standIn) {
        return Integer.parseInt(standIn.awaitReady().trim());
    }

    /** Starts a node, waits until it listens and adds it to the host list. */
    public LocalNode startNode(String name, String region, String failureDomain, List<String> options) {
        LocalNode node = launchNode(name, region, failureDomain, options);
        awaitAndRegister(node);
        return node;
    }

    /** Waits until a launched node listens and adds it to the host list. */
    public void awaitAndRegister(LocalNode node) {
        node.awaitListening();
        register("node", node.peersAddress(), "live");
    }

    /** Starts a node without waiting for it, so that several can start in parallel. */
    public LocalNode launchNode(String name, String region, String failureDomain, List<String> options) {
        List<String> args = new ArrayList<>(List.of(
                "--node=" + name,
                "--region=" + region,
                "--failure-domain=" + failureDomain,
                "--callers-address=127.0.0.1:0",
                "--operators-address=127.0.0.1:0",
                "--peers-address=127.0.0.1:0",
                "--log-url=" + logUrl(),
                "--hosts-url=" + hostsUrl(),
                "--weights-url=" + weightsUrl()));
        args.addAll(options);
        ManagedProcess process = start(name, NODE_JVM_OPTIONS, "dev.lavenderline.node.Main", args);
        LocalNode node = new LocalNode(name, process, http);
        nodes.put(name, node);
        return node;
    }

    /** Returns all nodes by name, including those that exited. */
    public Map<String, LocalNode> nodes() {
        return nodes;
    }

    public String logUrl() {
        return "http://127.0.0.1:" + logPort;
    }

    public String hostsUrl() {
        return "http://127.0.0.1:" + hostsPort;
    }

    public String weightsUrl() {
        return "http://127.0.0.1:" + weightsPort;
    }

    /** Adds or updates an entry of the host list. */
    public void register(String role, String address, String state) {
        ObjectNode entry = JSON.createObjectNode();
        entry.put("role", role).put("address", address).put("state", state);
        post(hostsUrl() + "/hosts", entry);
    }

    /** Injects a fault into the log stand-in. */
    public void injectLogFault(ObjectNode fault) {
        post(logUrl() + "/faults", fault);
    }

    /** Injects a fault into the stand-in that listens on a port. */
    public void injectFault(int port, ObjectNode fault) {
        post("http://127.0.0.1:" + port + "/faults", fault);
    }

    /** Fetches a JSON document. */
    public JsonNode get(String url) {
        return JsonFetcher.get(url, READ_TIMEOUT);
    }

    private void post(String url, JsonNode body) {
        try {
            HttpResponse<String> response = http.send(
                    HttpRequest.newBuilder(URI.create(url))
                            .timeout(Duration.ofSeconds(5))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= 300) {
                throw new IllegalStateException(
                        "POST " + url + " failed with status " + response.statusCode() + ": " + response.body());
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot post to " + url, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while posting to " + url, e);
        }
    }

    /** Starts a main class of this process's class path in a small JVM. */
    public ManagedProcess start(String name, String mainClass, List<String> args) {
        return start(name, SMALL_JVM_OPTIONS, mainClass, args);
    }

    private ManagedProcess startStandIn(String name, String kind, int port, List<String> options) {
        List<String> args = new ArrayList<>(List.of(kind, "--port", Integer.toString(port)));
        args.addAll(options);
        return start(name, SMALL_JVM_OPTIONS, "dev.lavenderline.standins.Main", args);
    }

    private ManagedProcess start(String name, List<String> jvmOptions, String mainClass, List<String> args) {
        File log = directory.resolve(name + ".log").toFile();
        ManagedProcess process = ManagedProcess.start(name, jvmOptions, mainClass, args, log);
        processes.add(process);
        return process;
    }

    @Override
    public void close() {
        for (int i = processes.size() - 1; i >= 0; i--) {
            processes.get(i).close();
        }
    }
}
