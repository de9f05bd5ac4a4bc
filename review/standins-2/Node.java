import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A serving process, started with the command and the settings template of the deploy file. Thread-safe. */
final class Node implements AutoCloseable {
    private static final long READY_TIMEOUT_MS = 30_000;
    private final Path root;
    private final String name;
    private final String ip;
    private final int callersPort;
    private final int readyPort;
    private final Path settings;
    private final File log;
    private Process process;

    /**
     * Writes the settings of a node; {@link #start} starts it.
     *
     * @param ip loopback address of its own, as the port of the metrics is fixed
     * @param directory temporary folder for settings and logs
     */
    Node(Path root, Path directory, String name, String ip, InetSocketAddress store) throws IOException {
        this.root = root;
        this.name = name;
        this.ip = ip;
        this.callersPort = freePort(ip);
        this.readyPort = freePort(ip);
        int peersPort = freePort(ip);
        this.settings = directory.resolve(name + ".json");
        this.log = directory.resolve(name + ".log").toFile();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("{{Node|json}}", '"' + name + '"');
        fields.put("{{Zone|json}}", "\"zone-a\"");
        fields.put("{{Ip|json}}", '"' + ip + '"');
        fields.put("{{Ip}}", ip);
        fields.put("{{ListenAddresses.Front|json}}", '"' + ip + ":" + callersPort + '"');
        fields.put("{{ListenAddresses.Ready|json}}", '"' + ip + ":" + readyPort + '"');
        fields.put("{{InternalPorts|json}}", "[" + peersPort + "," + peersPort + "]");
        fields.put("{{Limits.CpuShare|json}}", "0.75");
        fields.put("{{Limits.Cores|json}}", "2");
        fields.put("{{Limits.MemoryMb|json}}", "470");
        fields.put("{{Limits.FileDescriptors|json}}", "8200");
        fields.put("{{Bounds.StatusS|json}}", "120");
        fields.put("{{Bounds.GraceS|json}}", "8");
        fields.put("{{Zones|json}}", "{\"zone-a\":\"region-a\"}");
        fields.put("{{Platform.Address|json}}", '"' + "127.0.0.1:" + store.getPort() + '"');
        fields.put("{{Platform.parts|json}}", "12");
        fields.put("{{Platform.RecordBytes|json}}", Integer.toString(Store.RECORD_BYTES));
        String text = Files.readString(root.resolve("deploy/settings.json.template"))
                .replaceAll("(?s)\\{\\{#Bounds.StrictRevocation\\}\\}.*?\\{\\{/Bounds.StrictRevocation\\}\\}", "");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace(field.getKey(), field.getValue());
        }
        Files.writeString(settings, text);
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(ip, callersPort);
    }

    void start() throws IOException {
        List<String> lines = Files.readAllLines(root.resolve("deploy/system.toml"));
        String run = lines.stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .substring("run = ".length())
                .replace("\"", "");
        ProcessBuilder builder = new ProcessBuilder(run.trim().split(" "))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("LAVENDERLINE_CONFIG", settings.toAbsolutePath().toString());
        process = builder.start();
    }

    /** Kills the process and starts it again, as the platform does. */
    void killAndRestart() throws IOException {
        process.destroyForcibly();
        Threads.sleep(1000);
        start();
        awaitReady();
    }

    void awaitReady() {
        long until = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
        while (Http.call(new InetSocketAddress(ip, readyPort), "GET", "/v1/readiness", List.of(), new byte[0], 1000)
                        .status()
                != 200) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IllegalStateException(name + " is not ready");
            }
            Threads.sleep(50);
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
