package dev.lavenderline.standins.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A serving node as a process, with settings from the template of the deploy file.
 *
 * <p>Thread-safe: its process is replaced under its lock.
 */
public final class SoakNode implements AutoCloseable {
    private static final int READINESS_TIMEOUT_MS = 1000;

    private static final int METRICS_PORT = 9464;

    /**
     * Limits of the machine of a node, as its settings name them.
     *
     * @param memoryMb memory that the process may use, in MB
     * @param descriptors descriptors that the process may have open
     */
    public record Limits(int memoryMb, int descriptors) {
        /** Limits of the smaller deployments. */
        public static final Limits DEFAULT = new Limits(470, 8200);
    }

    private final String name;
    private final String ip;
    private final int callersPort;
    private final int readyPort;
    private final int internalPort;
    private final List<String> command;
    private final Path settings;
    private final File log;
    private Process process;

    /**
     * Creates a node that isn't started yet.
     *
     * @param command command of the process
     * @param root root of the repository
     * @param directory directory for settings and logs
     * @param limits limits of its machine
     */
    SoakNode(String name, String ip, int storePort, List<String> command, Path root, Path directory, Limits limits)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.command = command;
        this.callersPort = freePort(ip);
        this.readyPort = freePort(ip);
        this.settings = directory.resolve(name + ".json");
        this.log = directory.resolve(name + ".log").toFile();
        this.internalPort = freePort(ip);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("{{Node|json}}", quoted(name));
        fields.put("{{Zone|json}}", quoted("zone-a"));
        fields.put("{{Ip|json}}", quoted(ip));
        fields.put("{{Ip}}", ip);
        fields.put("{{ListenAddresses.Front|json}}", quoted(ip + ":" + callersPort));
        fields.put("{{ListenAddresses.Ready|json}}", quoted(ip + ":" + readyPort));
        fields.put("{{InternalPorts|json}}", "[" + internalPort + "," + internalPort + "]");
        fields.put("{{Limits.CpuShare|json}}", "0.75");
        fields.put("{{Limits.Cores|json}}", "2");
        fields.put("{{Limits.MemoryMb|json}}", Integer.toString(limits.memoryMb()));
        fields.put("{{Limits.FileDescriptors|json}}", Integer.toString(limits.descriptors()));
        fields.put("{{Bounds.StatusS|json}}", "120");
        fields.put("{{Bounds.GraceS|json}}", "8");
        fields.put("{{Zones|json}}", "{\"zone-a\":\"region-a\"}");
        fields.put("{{Platform.Address|json}}", quoted("127.0.0.1:" + storePort));
        fields.put("{{Platform.parts|json}}", "12");
        fields.put("{{Platform.RecordBytes|json}}", "262144");
        String text = Files.readString(root.resolve("deploy/settings.json.template"))
                .replaceAll("(?s)\\{\\{#Bounds.StrictRevocation\\}\\}.*?\\{\\{/Bounds.StrictRevocation\\}\\}", "");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace(field.getKey(), field.getValue());
        }
        Files.writeString(settings, text);
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    public InetSocketAddress callersAddress() {
        return new InetSocketAddress(ip, callersPort);
    }

    public InetSocketAddress readinessAddress() {
        return new InetSocketAddress(ip, readyPort);
    }

    public InetSocketAddress metricsAddress() {
        return new InetSocketAddress(ip, METRICS_PORT);
    }

    /** Returns the address for other nodes. */
    public InetSocketAddress peersAddress() {
        return new InetSocketAddress(ip, internalPort);
    }

    /** Returns the process of the last start. */
    public synchronized ProcessHandle process() {
        return process.toHandle();
    }

    /** Returns the exit code of the process, which must have ended. */
    public synchronized int exitCode() {
        return process.exitValue();
    }

    /** Returns what the process has written. */
    public List<String> logLines() throws IOException {
        return Files.readAllLines(log.toPath());
    }

    /** Starts the process, in the root of the repository. */
    synchronized void start(Path root) {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment()
                .put("LAVENDERLINE_CONFIG", settings.toAbsolutePath().toString());
        try {
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    public boolean isReady() {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://" + ip + ":" + readyPort + "/v1/readiness")
                    .toURL()
                    .openConnection();
            call.setConnectTimeout(READINESS_TIMEOUT_MS);
            call.setReadTimeout(READINESS_TIMEOUT_MS);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal to the process, such as {@code STOP}. */
    synchronized void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send SIG" + signal + " to " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the process has ended; kills it after a while. */
    synchronized void awaitEnd(long millis) throws InterruptedException {
        if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }

    @Override
    public synchronized void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
        }
    }
}
