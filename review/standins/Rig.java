import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small deployment on loopback addresses: the platform's store and engines as stand-ins, nodes as processes started
 * with the command of the deploy file. Stand-ins follow PROTOCOL.md.
 */
public final class Rig implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final int TOKENS_PER_EVENT = 7;
    static final String STREAM_HOST = "kola17.example";
    static final String STREAM_PREFIX = "/lohu930/";
    static final String BATCH_PREFIX = "/pule252/";
    static final String SERVICE = "huvo11a";
    static final String OTHER_SERVICE = "wuno96b";

    final long start = System.nanoTime();
    final PrintWriter record;
    final ExecutorService pool = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    final Path directory;

    Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        directory = Files.createTempDirectory("lavenderline-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Writes a line to record.txt and to standard output. */
    synchronized void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values);
        record.println(line);
        System.out.println(line);
    }

    /** Writes a line to record.txt only. */
    synchronized void log(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values));
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sleeps until a time of this run, in seconds since its start. */
    void sleepUntil(double time) {
        sleep(Math.max(0, time - now()));
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- store

    /** The platform's store as a log of keyed topics. */
    static final class Store {
        static final class Entry {
            final String key;
            final byte[] value;

            Entry(String key, byte[] value) {
                this.key = key;
                this.value = value;
            }
        }

        final Map<String, List<Entry>> partitions = new HashMap<>();
        private final Map<String, Long> firstOffsets = new HashMap<>();

        /** Deletes the records of all partitions so far; the newest record of each key is retained. */
        synchronized void forgetHistory() {
            partitions.forEach((name, log) -> firstOffsets.put(name, (long) log.size()));
        }

        synchronized long firstOffset(String name) {
            return firstOffsets.getOrDefault(name, 0L);
        }

        synchronized List<Entry> partition(String name) {
            return partitions.computeIfAbsent(name, key -> new ArrayList<>());
        }

        synchronized long append(String name, List<Entry> entries) {
            List<Entry> log = partition(name);
            long offset = log.size();
            log.addAll(entries);
            notifyAll();
            return offset;
        }

        void put(String topic, String key, String value) {
            append(topic + "/0", List.of(new Entry(key, value.getBytes(StandardCharsets.UTF_8))));
        }

        synchronized void awaitRecord(String name, long from, long waitMillis) throws InterruptedException {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            while (partition(name).size() <= from) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return;
                }
                wait(left);
            }
        }
    }

    static Map<String, String> query(URI uri) {
        Map<String, String> values = new HashMap<>();
        if (uri.getRawQuery() != null) {
            for (String pair : uri.getRawQuery().split("&")) {
                int equals = pair.indexOf('=');
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    /** Opens an address of the store; each node has its own, so that a case can treat nodes differently. */
    HttpServer openStore() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(pool);
        server.createContext("/", exchange -> {
            try {
                handleStore(exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                note("store: %s", e);
                throw e;
            }
        });
        server.start();
        return server;
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }

    static final int RECORD_BYTES = 262_144;
    static final int CALL_BYTES = 2_097_152;

    private void handleStore(HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI());
        String name = query.get("Topic") + "/" + query.getOrDefault("part", "0");
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/log-append" -> {
                List<Store.Entry> entries = new ArrayList<>();
                java.nio.ByteBuffer buffer = java.nio.ByteBuffer.wrap(body);
                boolean tooLarge = body.length > CALL_BYTES;
                while (buffer.remaining() >= 4) {
                    byte[] content = new byte[buffer.getInt()];
                    buffer.get(content);
                    tooLarge |= content.length > RECORD_BYTES;
                    int keyLength = content[0] & 0xff;
                    entries.add(new Store.Entry(
                            new String(content, 1, keyLength, StandardCharsets.UTF_8),
                            java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length)));
                }
                if (tooLarge) {
                    answer(exchange, 413, "{}".getBytes(StandardCharsets.UTF_8));
                    return;
                }
                sleep(0.004);
                long offset;
                long end;
                synchronized (store) {
                    end = store.partition(name).size();
                    if (query.containsKey("At") && Long.parseLong(query.get("At")) != end) {
                        offset = -1;
                    } else {
                        offset = store.append(name, entries);
                        end = offset + entries.size();
                    }
                }
                if (offset < 0) {
                    answer(exchange, 412, ("{\"End\":" + end + "}").getBytes(StandardCharsets.UTF_8));
                } else {
                    answer(
                            exchange,
                            200,
                            ("{\"Offset\":" + offset + ",\"End\":" + end + "}").getBytes(StandardCharsets.UTF_8));
                }
            }
            case "/v1/log-read" -> {
                long from = Long.parseLong(query.get("From"));
                if (from < store.firstOffset(name)) {
                    answer(exchange, 410, ("{\"First\":" + store.firstOffset(name) + "}").getBytes(StandardCharsets.UTF_8));
                    return;
                }
                store.awaitRecord(name, from, Long.parseLong(query.getOrDefault("WaitMs", "0")));
                sleep(0.002);
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                DataOutputStream out = new DataOutputStream(bytes);
                int limit = 1024 * Integer.parseInt(query.getOrDefault("MaxKb", "1024"));
                synchronized (store) {
                    List<Store.Entry> log = store.partition(name);
                    out.writeLong(log.size());
                    out.writeLong(store.firstOffset(name));
                    for (long i = from; i < log.size() && bytes.size() < limit; i++) {
                        Store.Entry entry = log.get((int) i);
                        byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                        out.writeInt(1 + key.length + entry.value.length);
                        out.writeByte(key.length);
                        out.write(key);
                        out.write(entry.value);
                    }
                }
                answer(exchange, 200, bytes.toByteArray());
            }
            case "/v1/log-newest" -> {
                TreeMap<String, Long> newest = new TreeMap<>();
                StringBuilder json = new StringBuilder("{\"Items\":[");
                synchronized (store) {
                    List<Store.Entry> log = store.partition(name);
                    for (int i = 0; i < log.size(); i++) {
                        if (log.get(i).value.length == 0) {
                            newest.remove(log.get(i).key);
                        } else {
                            newest.put(log.get(i).key, (long) i);
                        }
                    }
                    boolean more = false;
                    int count = 0;
                    for (Map.Entry<String, Long> entry :
                            newest.tailMap(query.getOrDefault("After", ""), false).entrySet()) {
                        if (count == 500 || json.length() > 900_000) {
                            more = true;
                            break;
                        }
                        json.append(count++ == 0 ? "" : ",")
                                .append("{\"Key\":")
                                .append(quote(entry.getKey()))
                                .append(",\"Value\":\"")
                                .append(Base64.getEncoder()
                                        .encodeToString(log.get(entry.getValue().intValue()).value))
                                .append("\",\"Offset\":")
                                .append(entry.getValue())
                                .append("}");
                    }
                    json.append("],\"HasMore\":").append(more).append(",\"End\":").append(log.size()).append("}");
                }
                answer(exchange, 200, json.toString().getBytes(StandardCharsets.UTF_8));
            }
            default -> answer(exchange, 404, new byte[0]);
        }
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < 0x20) {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    // ---------------------------------------------------------------- engines

    /** One run of a request at an engine. */
    static final class Run {
        final String id;
        final String method;
        final String uri;
        final String lastEventId;
        final Map<String, String> headers = new TreeMap<>();
        volatile double began;
        volatile String end = "running";
        volatile double ended;

        Run(String id, String method, String uri, String lastEventId, double began) {
            this.id = id;
            this.method = method;
            this.uri = uri;
            this.lastEventId = lastEventId;
            this.began = began;
        }
    }

    /** An engine: streams events with increasing ids, registers itself and sends heartbeats. */
    final class Engine {
        final String id;
        final String service;
        final HttpServer server;
        final int slots;
        final int events;
        final double gap;
        final String text;
        final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger running = new AtomicInteger();
        int sequence;
        volatile String state = "ready";

        /** Creates an engine; it generates the number of events, or all tokens that the request allows if that is 0. */
        Engine(String id, String service, int slots, int events, double gap, String text) throws IOException {
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.events = events;
            this.gap = gap;
            this.text = text;
            this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
            server.setExecutor(pool);
            server.createContext("/", this::handle);
            server.start();
            pool.execute(() -> {
                while (!state.equals("gone")) {
                    register();
                    sleep(1.2);
                }
            });
        }

        synchronized void register() {
            if (state.equals("gone")) {
                return;
            }
            store.put(
                    "keyed.servers",
                    id,
                    "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + server.getAddress().getPort()
                            + "\",\"Zone\":\"zone-a\",\"Version\":\"1\",\"Slots\":" + slots
                            + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"born\":1700000000000,\"Sequence\":"
                            + sequence++ + "}");
        }

        /** Reports that the engine drains, serves for the given time, removes the entry and exits. */
        void leave(double drainSeconds) {
            synchronized (this) {
                state = "draining";
                register();
            }
            sleep(drainSeconds);
            synchronized (this) {
                state = "gone";
                store.put("keyed.servers", id, "");
            }
            server.stop(0);
        }

        void handle(HttpExchange exchange) throws IOException {
            exchange.getRequestBody().readAllBytes();
            String requestId = exchange.getRequestHeaders().getFirst("Request-Id");
            exchange.getResponseHeaders().set("Request-Id", requestId == null ? "" : requestId);
            exchange.getResponseHeaders().set("Server-Stamp", id + "-stamp");
            if (requestId == null) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                answer(exchange, 400, new byte[0]);
                return;
            }
            String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
            if (expected != null && !expected.equals(id)) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                answer(exchange, 421, new byte[0]);
                return;
            }
            if (running.incrementAndGet() > slots + 24) {
                running.decrementAndGet();
                exchange.getResponseHeaders().set("Not-Executed", "1");
                answer(exchange, 503, new byte[0]);
                return;
            }
            String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
            Run run = new Run(
                    requestId,
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    last,
                    now());
            exchange.getRequestHeaders().forEach((key, values) -> run.headers.put(key, String.join(",", values)));
            runs.add(run);
            log("%s: runs %s, Last-Event-Id %s", id, requestId, last);
            try {
                exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
                exchange.sendResponseHeaders(200, 0);
                OutputStream out = exchange.getResponseBody();
                String counts = exchange.getRequestHeaders().getFirst("Token-Counts");
                int count = events > 0 ? events : Integer.parseInt(counts.split(",")[1]) / TOKENS_PER_EVENT;
                for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= count; event++) {
                    sleep(gap);
                    out.write(("id: " + event + "\ndata: " + requestId + "." + event + text + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
                out.close();
                run.ended = now();
                run.end = "complete";
            } catch (IOException e) {
                run.ended = now();
                run.end = "cancelled";
                exchange.close();
            } finally {
                running.decrementAndGet();
                log("%s: run of %s ended: %s", id, requestId, run.end);
            }
        }
    }

    Engine addEngine(String id, int slots, int events, double gap, String text) throws IOException {
        return addEngine(id, SERVICE, slots, events, gap, text);
    }

    Engine addEngine(String id, String service, int slots, int events, double gap, String text) throws IOException {
        Engine engine = new Engine(id, service, slots, events, gap, text);
        engines.add(engine);
        return engine;
    }

    /** Returns all runs of requests at all engines. */
    List<Run> runs() {
        List<Run> all = new ArrayList<>();
        for (Engine engine : engines) {
            synchronized (engine.runs) {
                all.addAll(engine.runs);
            }
        }
        return all;
    }

    // ---------------------------------------------------------------- configuration

    private static String engines(String service) {
        return "{\"Name\":\"" + service + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":230,"
                + "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":8,\"KvCacheTokens\":147261,"
                + "\"KvTokenBytes\":163840,\"Models\":[{\"Name\":\"m\"}]}}";
    }

    /** Publishes a configuration with stream routes, a batch route and one service of engines. */
    void configure(int version, long maxWaitingTokens) {
        configure(version, maxWaitingTokens, true);
    }

    /** Publishes a configuration with or without its batch route. */
    void configure(int version, long maxWaitingTokens, boolean batchRoute) {
        configure(version, maxWaitingTokens, batchRoute, false);
    }

    /** Publishes a configuration with or without its batch route, and another route of the same host. */
    void configure(int version, long maxWaitingTokens, boolean batchRoute, boolean sharedHost) {
        configure(version, maxWaitingTokens, batchRoute, sharedHost, "\"Service\":\"" + SERVICE + "\"");
    }

    /** Publishes a configuration; the batch route goes to the given service or services. */
    void configure(
            int version, long maxWaitingTokens, boolean batchRoute, boolean sharedHost, String batchService) {
        String service = "\"Service\":\"" + SERVICE + "\"";
        String streams = "{\"Name\":\"r-plain\",\"Host\":\"" + STREAM_HOST + "\",\"PathPrefix\":\"" + STREAM_PREFIX
                + "\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":0," + service
                + ",\"Attempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":300},"
                + "{\"Name\":\"r-stream\",\"Host\":\"" + STREAM_HOST + "\",\"PathPrefix\":\"/pufi791/\",\"Kind\":\"streaming\","
                + "\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":0," + service
                + ",\"Attempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":300}";
        String shared = sharedHost
                ? ",{\"Name\":\"r-other\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"/puxa403/\",\"Kind\":\"streaming\","
                        + "\"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":0," + service
                        + ",\"Attempts\":1,\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":300}"
                : "";
        String batch = ",{\"Name\":\"r-batch\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + BATCH_PREFIX
                + "\",\"Kind\":\"batch\",\"TimeoutMs\":15000,\"TargetLatencyMs\":400,\"Priority\":2," + batchService
                + ",\"Attempts\":3,\"Sticky\":true,\"CompletionTargetMs\":18000,\"RetentionS\":60,\"MaxCount\":"
                + maxWaitingTokens + "}";
        String config = "{\"Version\":" + version + ",\"Routes\":[" + streams + shared + (batchRoute ? batch : "") + "],"
                + "\"Services\":[" + engines(SERVICE) + "," + engines(OTHER_SERVICE) + "],"
                + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000}}";
        store.put("keyed.op", "config", config);
    }

    // ---------------------------------------------------------------- nodes

    /** A node as a process. */
    final class Node {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final int internal;
        final HttpServer storeAddress;
        Process process;

        Node(String name) throws IOException {
            Random random = new Random();
            this.name = name;
            this.ip = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + "."
                    + (2 + random.nextInt(250));
            this.front = freePort(ip);
            this.ready = freePort(ip);
            this.internal = freePort(ip);
            this.storeAddress = openStore();
        }

        void start() throws IOException {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("{{Node|json}}", quote(name));
            fields.put("{{Zone|json}}", quote("zone-a"));
            fields.put("{{Ip|json}}", quote(ip));
            fields.put("{{Ip}}", ip);
            fields.put("{{ListenAddresses.Front|json}}", quote(ip + ":" + front));
            fields.put("{{ListenAddresses.Ready|json}}", quote(ip + ":" + ready));
            fields.put("{{InternalPorts|json}}", "[" + internal + "," + internal + "]");
            fields.put("{{Limits.CpuShare|json}}", "0.75");
            fields.put("{{Limits.Cores|json}}", "2");
            fields.put("{{Bounds.StatusS|json}}", "120");
            fields.put("{{Bounds.GraceS|json}}", "8");
            fields.put("{{Zones|json}}", "{\"zone-a\":\"region-a\"}");
            fields.put(
                    "{{Platform.Address|json}}",
                    quote("127.0.0.1:" + storeAddress.getAddress().getPort()));
            fields.put("{{Platform.parts|json}}", "12");
            fields.put("{{Platform.RecordBytes|json}}", Integer.toString(RECORD_BYTES));
            String text = Files.readString(Path.of("deploy/settings.json.template"));
            text = text.replaceAll("(?s)\\{\\{#Bounds.StrictRevocation\\}\\}.*?\\{\\{/Bounds.StrictRevocation\\}\\}", "");
            for (Map.Entry<String, String> field : fields.entrySet()) {
                text = text.replace(field.getKey(), field.getValue());
            }
            Path settings = directory.resolve(name + ".json");
            Files.writeString(settings, text);
            String run = Files.readString(Path.of("deploy/system.toml"))
                    .lines()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow()
                    .replaceFirst("run = \"(.*)\"", "$1");
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.environment().put("LAVENDERLINE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    directory.resolve(name + ".log").toFile()));
            process = builder.start();
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("%s: SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return call(ip, ready, "GET", "/v1/readiness", Map.of(), new byte[0], 1000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** Starts nodes and waits until they are ready and have agreed on a scheduler. */
    void startNodes(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            Node node = new Node("front-" + i);
            nodes.add(node);
            node.start();
        }
        double limit = now() + 30;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (now() > limit || !node.process.isAlive()) {
                    throw new CannotRun(node.name + " is not ready");
                }
                sleep(0.1);
            }
        }
        sleep(4);
        note("%d nodes are ready", count);
    }

    /** The case could not run. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    // ---------------------------------------------------------------- clients

    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** Whether the answer ended as its framing says. */
        boolean complete;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends a request on a new connection and reads the answer; fails if there is none in time. */
    static Answer call(
            String ip, int port, String method, String uri, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        String host = headers.getOrDefault("Host", HOST);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n");
            headers.entrySet().stream().filter(header -> !header.getKey().equals("Host")).forEach(header -> head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
            return readAnswer(socket.getInputStream());
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new IOException("connection closed");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static Answer readAnswer(InputStream raw) throws IOException {
        InputStream in = new java.io.BufferedInputStream(raw, 65536);
        Answer answer = new Answer();
        answer.status = Integer.parseInt(readLine(in).split(" ")[1]);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            answer.headers.put(line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).trim());
        }
        if (answer.headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(answer.headers.get("Content-Length"));
            answer.body = in.readNBytes(length);
            answer.complete = answer.body.length == length;
        } else if ("chunked".equalsIgnoreCase(answer.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                for (int size = Integer.parseInt(readLine(in).trim(), 16);
                        size > 0;
                        size = Integer.parseInt(readLine(in).trim(), 16)) {
                    body.write(in.readNBytes(size));
                    readLine(in);
                }
                answer.complete = true;
            } catch (IOException | NumberFormatException e) {
                answer.complete = false;
            }
            answer.body = body.toByteArray();
        }
        return answer;
    }

    Answer call(Node node, String method, String uri, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        String request = method + " " + uri + (headers.containsKey("Request-Id") ? " id " + headers.get("Request-Id") : "");
        log("%s: sent %s, %d bytes", node.name, request, body.length);
        try {
            Answer answer = call(node.ip, node.front, method, uri, headers, body, timeoutMillis);
            log("%s: answered %d%s, %d bytes, to %s", node.name, answer.status, answer.complete ? "" : " (incomplete)",
                    answer.body.length, request);
            return answer;
        } catch (IOException e) {
            log("%s: no answer to %s: %s", node.name, request, e);
            throw e;
        }
    }

    /** Returns the body of a batch job. */
    static byte[] jobBody(String job, int items, int tokens, int bodyBytes) {
        return jobBody(job, items, tokens, tokens, bodyBytes);
    }

    /** Returns the body of a batch job whose first item has other tokens than the rest. */
    static byte[] jobBody(String job, int items, int firstTokens, int otherTokens, int bodyBytes) {
        StringBuilder json = new StringBuilder("{\"Items\":[");
        for (int i = 0; i < items; i++) {
            int tokens = i == 0 ? firstTokens : otherTokens;
            json.append(i == 0 ? "" : ",")
                    .append("{\"Id\":\"")
                    .append(job)
                    .append(String.format("%04x", i))
                    .append("\",\"Path\":\"")
                    .append(BATCH_PREFIX)
                    .append("3/91c4\",\"Headers\":{\"Model\":\"m\",\"Token-Counts\":\"")
                    .append(tokens * 2 / 5)
                    .append(',')
                    .append(tokens - tokens * 2 / 5)
                    .append("\",\"Prompt-Prefix\":\"9c2e41:")
                    .append(tokens / 5)
                    .append(",")
                    .append(job.substring(0, 6))
                    .append(":")
                    .append(tokens / 5)
                    .append("\"},\"Body\":\"")
                    .append(Base64.getEncoder().encodeToString(new byte[bodyBytes]))
                    .append("\",\"Tokens\":")
                    .append(tokens)
                    .append("}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    static String newJobId() {
        return String.format("%016x", new Random().nextLong());
    }

    /** Submits a batch job; returns the status, or -1 without an answer. */
    int submit(Node node, String job, byte[] body, int timeoutMillis) {
        double sent = now();
        int status;
        String text;
        try {
            Answer answer = call(
                    node,
                    "POST",
                    BATCH_PREFIX + job.substring(0, 6),
                    Map.of("Request-Id", job, "Content-Type", "application/json", "Request-Deadline", "4000"),
                    body,
                    timeoutMillis);
            status = answer.status;
            text = answer.text().trim();
        } catch (IOException e) {
            status = -1;
            text = e.toString();
        }
        note("%s: batch job %s, sent at %.3f: %d %s", node.name, job, sent, status, text);
        return status;
    }

    Answer results(Node node, String job, int after) throws IOException {
        return call(node, "GET", "/v1/lots/" + job + "?After=" + after, Map.of(), new byte[0], 3000);
    }

    // ---------------------------------------------------------------- end

    private void endProcesses() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.walk(directory)) {
                files.sorted(Collections.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                // The temporary folder may be gone already.
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.close();
    }

    /** A scenario; returns whether the rule held. */
    interface Scenario {
        boolean holds(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a scenario and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Path recordFile, Scenario scenario) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(recordFile)) {
            if (System.getenv("KEEP_LOGS") != null) {
                System.out.println("logs in " + rig.directory);
            }
            try {
                rig.note("TROUBLE=%d", trouble ? 1 : 0);
                code = scenario.holds(rig, trouble) ? 0 : 1;
                rig.note("%s", code == 0 ? "the rule held" : "the rule was broken");
            } catch (Exception e) {
                rig.note("the case could not run: %s", e);
                e.printStackTrace();
            }
        }
        System.exit(code);
    }
}
