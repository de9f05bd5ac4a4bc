import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log with conditional appends and keyed topics, as PROTOCOL.md describes it. */
final class Store implements AutoCloseable {
    private static final int MAX_PAGE_RECORDS = 500;
    private static final int MAX_PAGE_BYTES = 1 << 20;
    static final int RECORD_BYTES = 262_144;
    static final int CALL_BYTES = 2_097_152;

    /** What happens to a call. */
    enum Fault {
        NONE,
        /** The call is executed and its response is lost; nothing further is answered on the connection. */
        ANSWER_LOST,
        /** The call is not answered and not executed. */
        SILENT,
        /** The call is refused with 503. */
        BUSY,
        /** The connection is reset. */
        RESET
    }

    /** Decides on the fault of a call. */
    interface Faults {
        Fault of(String call, String topic, int part, Http.Message request);
    }

    private record Entry(String key, byte[] value) {}

    private static final class Log {
        final List<Entry> entries = new ArrayList<>();
        int first;
    }

    private final Map<String, Log> logs = new HashMap<>();
    private final Http.Server server;
    volatile Faults faults = (call, topic, part, request) -> Fault.NONE;
    volatile int answerMs = 4;

    Store() throws IOException {
        server = new Http.Server("127.0.0.1", 0, this::handle);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    /** Writes a record of the operator or of a server; an empty value deletes the key. Returns when it is acknowledged. */
    synchronized void put(String topic, String key, String value) {
        log(topic, 0).entries.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Drops the history of all partitions; the newest record of each key stays. */
    synchronized void compact(String topicPrefix) {
        logs.forEach((name, log) -> {
            if (name.startsWith(topicPrefix)) {
                log.first = log.entries.size();
            }
        });
    }

    synchronized int end(String topic, int part) {
        return log(topic, part).entries.size();
    }

    private Log log(String topic, int part) {
        return logs.computeIfAbsent(topic + "/" + part, name -> new Log());
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String call = request.target().split("\\?")[0];
        String topic = request.parameter("Topic");
        int part = Integer.parseInt(request.parameter("part"));
        Fault fault = faults.of(call, topic, part, request);
        switch (fault) {
            case BUSY -> {
                Http.respond(out, 503, "", new byte[0]);
                return true;
            }
            case RESET -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case SILENT -> {
                return silent(socket);
            }
            default -> {}
        }
        Thread.sleep(answerMs);
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        switch (call) {
            case "/v1/log-append" -> append(request, topic, part, response);
            case "/v1/log-read" -> read(request, topic, part, response);
            case "/v1/log-newest" -> newest(request, topic, part, response);
            default -> Http.respond(response, 404, "", new byte[0]);
        }
        if (fault == Fault.ANSWER_LOST) {
            return silent(socket);
        }
        out.write(response.toByteArray());
        out.flush();
        return true;
    }

    /** Reads what the peer sends until it closes the connection, without an answer. */
    private static boolean silent(Socket socket) throws IOException {
        while (socket.getInputStream().read() >= 0) {
            // Dropped.
        }
        return false;
    }

    private synchronized void append(Http.Message request, String topic, int part, OutputStream out)
            throws IOException {
        Log log = log(topic, part);
        String at = request.parameter("At");
        if (!at.isEmpty() && Long.parseLong(at) != log.entries.size()) {
            Http.respond(out, 412, "", ("{\"End\":" + log.entries.size() + "}").getBytes(StandardCharsets.UTF_8));
            return;
        }
        List<Entry> added = new ArrayList<>();
        ByteBuffer body = ByteBuffer.wrap(request.body);
        boolean tooLarge = request.body.length > CALL_BYTES;
        while (body.remaining() > 0) {
            int length = body.getInt();
            tooLarge |= length > RECORD_BYTES;
            byte[] key = new byte[body.get() & 0xff];
            body.get(key);
            byte[] value = new byte[length - 1 - key.length];
            body.get(value);
            added.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
        }
        if (tooLarge) {
            Http.respond(out, 413, "", new byte[0]);
            return;
        }
        int offset = log.entries.size();
        log.entries.addAll(added);
        notifyAll();
        Http.respond(
                out,
                200,
                "Content-Type: application/json\r\n",
                ("{\"Offset\":" + offset + ",\"End\":" + log.entries.size() + "}").getBytes(StandardCharsets.UTF_8));
    }

    private synchronized void read(Http.Message request, String topic, int part, OutputStream out)
            throws IOException, InterruptedException {
        Log log = log(topic, part);
        int from = Integer.parseInt(request.parameter("From"));
        String wait = request.parameter("WaitMs");
        long until = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000L;
        while (from >= log.entries.size() && from >= log.first && until - System.nanoTime() > 0) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        if (from < log.first) {
            Http.respond(out, 410, "", ("{\"First\":" + log.first + "}").getBytes(StandardCharsets.UTF_8));
            return;
        }
        String maxKb = request.parameter("MaxKb");
        int maxBytes = (maxKb.isEmpty() ? 1024 : Integer.parseInt(maxKb)) * 1024;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(ByteBuffer.allocate(16).putLong(log.entries.size()).putLong(log.first).array());
        for (int i = from; i < log.entries.size(); i++) {
            byte[] key = log.entries.get(i).key().getBytes(StandardCharsets.UTF_8);
            byte[] value = log.entries.get(i).value();
            if (i > from && body.size() + 5 + key.length + value.length > maxBytes) {
                break;
            }
            body.write(ByteBuffer.allocate(5)
                    .putInt(1 + key.length + value.length)
                    .put((byte) key.length)
                    .array());
            body.write(key);
            body.write(value);
        }
        Http.respond(out, 200, "", body.toByteArray());
    }

    private synchronized void newest(Http.Message request, String topic, int part, OutputStream out)
            throws IOException {
        Log log = log(topic, part);
        TreeMap<String, byte[]> newest = new TreeMap<>();
        for (Entry entry : log.entries) {
            if (entry.value().length == 0) {
                newest.remove(entry.key());
            } else {
                newest.put(entry.key(), entry.value());
            }
        }
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, byte[]> entry :
                newest.tailMap(request.parameter("After"), false).entrySet()) {
            if (count == MAX_PAGE_RECORDS || count > 0 && items.length() > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",")
                    .append("{\"Key\":\"")
                    .append(entry.getKey())
                    .append("\",\"Value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.getValue()))
                    .append("\",\"Offset\":0}");
        }
        String page = "{\"Items\":[" + items + "],\"HasMore\":" + more + ",\"End\":" + log.entries.size() + "}";
        Http.respond(out, 200, "Content-Type: application/json\r\n", page.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
