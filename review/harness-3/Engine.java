import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of a service, as PROTOCOL.md describes it: registers in the store, answers requests for tokens with as many
 * events as the request may have, and other requests with a text.
 */
final class Engine implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1200;

    final String id;
    final String service;
    final String version;
    final Http.Server server;
    private final Store store;
    private final Record record;
    private final int slots;
    private final int eventMs;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    volatile boolean gone;

    Engine(String id, String service, Store store, Record record, int slots, int eventMs) throws IOException {
        this(id, service, "v1", store, record, slots, eventMs);
    }

    Engine(String id, String service, String version, Store store, Record record, int slots, int eventMs)
            throws IOException {
        this.id = id;
        this.version = version;
        this.service = service;
        this.store = store;
        this.record = record;
        this.slots = slots;
        this.eventMs = eventMs;
        this.server = new Http.Server("127.0.0.1", 0, this::handle);
        timers.scheduleAtFixedRate(this::register, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void register() {
        if (!gone) {
            store.put("keyed.servers", id, "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + server.port()
                    + "\",\"Zone\":\"zone-a\",\"Version\":\"" + version + "\",\"Slots\":" + slots
                    + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":" + born + ",\"Sequence\":"
                    + sequence.getAndIncrement() + "}");
        }
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        String echo = "Request-Id: " + requestId + "\r\nKeep-Alive: timeout=5\r\n";
        if (!request.header("Expected-Instance").equals(id)) {
            Http.respond(out, 421, echo + "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (running.incrementAndGet() > slots + 4) {
            running.decrementAndGet();
            Http.respond(out, 503, echo + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        try {
            return run(request, out, requestId, echo);
        } finally {
            running.decrementAndGet();
        }
    }

    private boolean run(Http.Message request, OutputStream out, String requestId, String echo)
            throws IOException, InterruptedException {
        String stamp = echo + "Server-Stamp: " + id + "." + runs.incrementAndGet() + "\r\n";
        String after = request.header("Last-Event-Id");
        record.line("run service=" + service + " server=" + id + " request=" + requestId + " target=" + request.target()
                + " tenant=" + request.header("Tenant") + (after.isEmpty() ? "" : " after=" + after));
        if (request.header("Token-Counts").isEmpty()) {
            Thread.sleep(eventMs);
            Http.respond(out, 200, stamp, ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            return true;
        }
        int events = Integer.parseInt(request.header("Token-Counts").split(",")[1].trim());
        out.write(("HTTP/1.1 200 OK\r\n" + stamp + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int n = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; n <= events; n++) {
            Thread.sleep(eventMs);
            String event = "id: " + n + "\ndata: " + text(request, n) + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        record.line("ran request=" + requestId + " server=" + id);
        return true;
    }

    /** Returns the text of an event: that of an item names the item, that of a stream the service and version. */
    private String text(Http.Message request, int n) {
        return request.target().startsWith("/report/")
                ? request.header("Request-Id") + "-" + n
                : service + "/" + version + "-" + n;
    }

    /** Returns the whole output of an item. */
    static String output(String item, int events) {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= events; n++) {
            text.append(n == 1 ? "" : "\n").append(item).append('-').append(n);
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        gone = true;
        timers.shutdownNow();
        server.close();
    }
}
