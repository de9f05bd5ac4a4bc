import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Nodes of the program under review, each a process started with the command of the deploy file. */
final class Fleet implements AutoCloseable {
    private static final String HOST = "ficu95.example";
    /** Addresses of their own for each run, since the port of the metrics is the same on all machines. */
    private final String network = "127." + (1 + new java.util.Random().nextInt(254)) + "." + new java.util.Random().nextInt(255) + ".";

    final List<Node> nodes = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final Store store;
    private final Record record;
    private final boolean strictRevocation;

    /** A process, restarted with the same settings. */
    final class Node {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final int internal;
        final Path settings;
        Process process;
        private ServerSocket silent;

        Node(int number) throws IOException {
            name = "front-" + number;
            ip = network + (10 + number);
            int[] ports = freePorts(ip, 3);
            front = ports[0];
            ready = ports[1];
            settings = folder.resolve(name + ".json");
            internal = ports[2];
            Files.writeString(settings, settings(this, internal));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().put("LAVENDERLINE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            builder.redirectInput(new File("/dev/null"));
            process = builder.start();
            record.line("start " + name);
        }

        boolean isReady() {
            return Http.call(new InetSocketAddress(ip, ready), "GET", "/v1/readiness", "Host: x\r\n", "", 500)
                            .status()
                    == 200;
        }

        void awaitReady() throws InterruptedException {
            for (int i = 0; i < 300 && !isReady(); i++) {
                Thread.sleep(100);
            }
            if (!isReady()) {
                throw new IllegalStateException(name + " is not ready");
            }
        }

        /**
         * Takes the power from the machine for good: the process is gone, and connections to the port for other nodes
         * get no answer and no reset.
         */
        void powerOff() throws IOException, InterruptedException {
            record.line("power off " + name);
            process.destroyForcibly().waitFor();
            silent = new ServerSocket();
            silent.setReuseAddress(true);
            // Nothing accepts: a few connections wait in the queue for ever, and further ones are not established.
            silent.bind(new InetSocketAddress(ip, internal), 1);
        }

        /** Sends a signal to the process: KILL, STOP, CONT, TERM or HUP. */
        void signal(String name) throws IOException, InterruptedException {
            record.line("signal " + name + " " + this.name);
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        Http.Message call(String method, String target, String headers, String body, int timeoutMs) {
            String all = "Host: " + HOST + "\r\n" + headers;
            Http.Message response =
                    Http.call(new InetSocketAddress(ip, front), method, target, all, body, timeoutMs);
            String text = response.text().replaceAll("\\s+", " ");
            record.line("call " + name + " " + method + " " + target + " -> " + response.status() + " "
                    + (text.length() > 160 ? text.substring(0, 160) + "..." : text));
            return response;
        }
    }

    Fleet(Path root, Path folder, Store store, Record record, boolean strictRevocation) {
        this.root = root;
        this.folder = folder;
        this.store = store;
        this.record = record;
        this.strictRevocation = strictRevocation;
    }

    Node add() throws IOException {
        Node node = new Node(nodes.size() + 1);
        nodes.add(node);
        return node;
    }

    void startAll(int count) throws IOException, InterruptedException {
        start(count);
        // The nodes need a moment to register and to choose a scheduler.
        Thread.sleep(3000);
    }

    /** Starts further nodes, and returns them once they are ready. */
    List<Node> start(int count) throws IOException, InterruptedException {
        List<Node> added = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            added.add(add());
            added.get(i).start();
        }
        for (Node node : added) {
            node.awaitReady();
        }
        return added;
    }

    private static int[] freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(ip)));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no command in deploy/system.toml");
        }
        return List.of(run.group(1).split(" "));
    }

    /** Fills in the template of the settings with the fields of a small deployment. */
    private String settings(Node node, int internalPort) throws IOException {
        String text = Files.readString(root.resolve("deploy/settings.json.template"));
        Map<String, String> fields = Map.ofEntries(
                Map.entry("Node", node.name),
                Map.entry("Zone", "zone-a"),
                Map.entry("Ip", node.ip),
                Map.entry("ListenAddresses.Front", node.ip + ":" + node.front),
                Map.entry("ListenAddresses.Ready", node.ip + ":" + node.ready),
                Map.entry("Platform.Address", store.address()));
        Map<String, String> raw = Map.ofEntries(
                Map.entry("InternalPorts", "[" + internalPort + "," + (internalPort + 1) + "]"),
                Map.entry("Limits.CpuShare", "0.75"),
                Map.entry("Limits.Cores", "2"),
                Map.entry("Limits.MemoryMb", "470"),
                Map.entry("Limits.FileDescriptors", "8200"),
                Map.entry("Bounds.StatusS", "120"),
                Map.entry("Bounds.GraceS", "8"),
                Map.entry("Bounds.RevocationMs", "5000"),
                Map.entry("Zones", "{\"zone-a\":\"region-a\"}"),
                Map.entry("Platform.parts", "12"),
                Map.entry("Platform.RecordBytes", "262144"));
        text = strictRevocation
                ? text.replaceAll("\\{\\{[#/]Bounds.StrictRevocation}}", "")
                : text.replaceAll("\\{\\{#Bounds.StrictRevocation}}.*\\{\\{/Bounds.StrictRevocation}}", "");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "|json}}", "\"" + field.getValue() + "\"")
                    .replace("{{" + field.getKey() + "}}", field.getValue());
        }
        for (Map.Entry<String, String> field : raw.entrySet()) {
            text = text.replace("{{" + field.getKey() + "|json}}", field.getValue())
                    .replace("{{" + field.getKey() + "}}", field.getValue());
        }
        return text;
    }

    @Override
    public void close() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            if (node.silent != null) {
                try {
                    node.silent.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }
            if (node.process != null) {
                try {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Returns the body of a batch job with items of a number of events each. */
    static String job(String prefix, String path, int items, int events, int tokens) {
        StringBuilder body = new StringBuilder("{\"Items\":[");
        for (int i = 0; i < items; i++) {
            body.append(i == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"Id\":\"%s-%d\",\"Path\":\"%s\",\"Headers\":{\"Model\":\"m\",\"Token-Counts\":\"10,%d\","
                                    + "\"Prompt-Prefix\":\"5d07b8:10\"},\"Body\":\"q83vEjRWeJA=\",\"Tokens\":%d}",
                            prefix, i, path, events, tokens));
        }
        return body.append("]}").toString();
    }
}
