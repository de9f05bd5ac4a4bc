import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of a model engine. It registers in the store with heartbeats, runs as many requests at once as it has slots,
 * queues a few more and stops a run whose connection closes.
 *
 * <p>Thread-safe; each connection has a thread of its own.
 */
final class Engine implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1200;
    private static final int QUEUE = 24;
    private static final int SLOTS = 8;
    private static final int KEEP_ALIVE_SECONDS = 5;
    private final String id;
    private final String service;
    private final String version;
    private final Store store;
    private final Report report;
    private final Script script;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong lastActivityNanos = new AtomicLong(System.nanoTime());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private int sequence;
    private boolean listed = true;

    /** What an engine answers to a request. */
    interface Script {
        /** Returns the number of events of the whole answer. */
        int events(String requestId);

        /** Returns the data of an event, counted from 1. */
        String data(String requestId, int event);

        /** Returns the time from one event to the next. */
        long intervalMs(String requestId);

        /** Returns the body of an answer that has no events; empty for an answer of events. */
        default byte[] body(String requestId) {
            return new byte[0];
        }

        /** Called as a request begins to run. */
        default void began(String engine, String service, String requestId) {}

        /** Called when the answer to a request is complete. */
        default void completed(String requestId) {}
    }

    Engine(String id, String service, Store store, Report report, Script script) throws IOException {
        this(id, service, "v1", store, report, script);
    }

    Engine(String id, String service, String version, Store store, Report report, Script script) throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.store = store;
        this.report = report;
        this.script = script;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
        Threads.start(this::beat);
    }

    private void beat() {
        while (register()) {
            Threads.sleep(HEARTBEAT_MS);
        }
    }

    private synchronized boolean register() {
        if (listed) {
            String entry = "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + server.getLocalPort()
                    + "\",\"Zone\":\"zone-a\",\"Version\":\"" + version + "\",\"Slots\":" + SLOTS
                    + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":" + born + ",\"Sequence\":" + sequence++
                    + "}";
            store.put("keyed.servers", id, entry.getBytes(StandardCharsets.UTF_8));
        }
        return listed;
    }

    /** Removes the entry of an engine that is about to leave and never reports that it drains; it serves on. */
    synchronized void unlist() {
        listed = false;
        store.put("keyed.servers", id, new byte[0]);
        report.line("engine " + id + " of version " + version + " removed its entry and serves on");
    }

    /** Begins or ends a cut between the engine and all nodes; what is sent meanwhile arrives afterwards. */
    void cut(boolean active) {
        cut = active;
        report.line("engine " + id + (active ? " is cut off" : " is reached again"));
    }

    private void awaitLink() {
        while (cut) {
            Threads.sleep(5);
        }
    }

    /** Ends the engine with all its connections. */
    void exit() throws IOException {
        close();
        for (Socket connection : connections) {
            connection.close();
        }
        report.line("engine " + id + " of version " + version + " exits");
    }

    /** Returns the number of requests that run. */
    int running() {
        return running.get();
    }

    /** Returns the time since a request last ran, 0 while one does. */
    double idleSeconds() {
        return running.get() > 0 ? 0 : (System.nanoTime() - lastActivityNanos.get()) / 1e9;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Threads.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The stand-in was closed.
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                socket.setSoTimeout(KEEP_ALIVE_SECONDS * 1000);
                Http.Head head = Http.readHead(in);
                Http.readBody(in, head, false);
                awaitLink();
                answer(socket, in, out, head);
            }
        } catch (IOException e) {
            // The peer closed the connection, or it was idle for too long.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Socket socket, InputStream in, OutputStream out, Http.Head head) throws IOException {
        String request = head.header("request-id");
        String expected = head.header("expected-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.respond(out, 421, List.of("Request-Id: " + request, "Instance-Id: " + id), new byte[0]);
            return;
        }
        if (waiting.get() >= QUEUE) {
            Http.respond(out, 503, List.of("Request-Id: " + request, "Not-Executed: 1"), new byte[0]);
            return;
        }
        waiting.incrementAndGet();
        try {
            while (!slots.tryAcquire()) {
                checkOpen(socket, in, 3);
            }
        } finally {
            waiting.decrementAndGet();
        }
        running.incrementAndGet();
        try {
            run(socket, in, out, head, request);
        } finally {
            slots.release();
            lastActivityNanos.set(System.nanoTime());
            running.decrementAndGet();
        }
    }

    private void run(Socket socket, InputStream in, OutputStream out, Http.Head head, String request)
            throws IOException {
        String lastSeen = head.header("last-event-id");
        int first = lastSeen.isEmpty() ? 1 : Integer.parseInt(lastSeen) + 1;
        int last = script.events(request);
        checkOpen(socket, in, 20);
        script.began(id, service, request);
        report.line("engine " + id + " of " + service + " runs " + request + " from event " + first);
        byte[] body = script.body(request);
        if (body.length > 0) {
            checkOpen(socket, in, script.intervalMs(request));
            Http.respond(
                    out,
                    200,
                    List.of(
                            "Request-Id: " + request,
                            "Server-Stamp: " + id + "." + born,
                            "Keep-Alive: timeout=" + KEEP_ALIVE_SECONDS),
                    body);
            report.line("engine " + id + " completed " + request + " with " + body.length + " bytes");
            return;
        }
        long bytes = 0;
        try {
            write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nServer-Stamp: " + id + "." + born
                    + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=" + KEEP_ALIVE_SECONDS
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= last; event++) {
                String text = "id: " + event + "\ndata: " + script.data(request, event) + "\n\n";
                awaitLink();
                write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                bytes += text.length();
                checkOpen(socket, in, script.intervalMs(request));
            }
            awaitLink();
            write(out, "0\r\n\r\n");
        } catch (IOException e) {
            report.line("engine " + id + " stops " + request + " after " + bytes + " bytes: " + e.getMessage());
            throw e;
        }
        script.completed(request);
        report.line("engine " + id + " completed " + request + " with " + bytes + " bytes");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Waits, and fails if the peer has closed the connection. */
    private static void checkOpen(Socket socket, InputStream in, long millis) throws IOException {
        if (millis == 0) {
            return;
        }
        socket.setSoTimeout((int) millis);
        in.mark(1);
        try {
            if (in.read() < 0) {
                throw new IOException("closed by the peer");
            }
            in.reset();
            Threads.sleep(millis);
        } catch (java.net.SocketTimeoutException e) {
            // Nothing arrived, so the connection is open.
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            listed = false;
        }
        server.close();
    }
}
