import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: a log with conditional appends and keyed topics. It applies the limits on records
 * and calls that the settings state, and answers each call after the time that the sheets give.
 *
 * <p>Thread-safe; each connection has a thread of its own.
 */
final class Store implements AutoCloseable {
    static final int RECORD_BYTES = 262_144;
    static final int CALL_BYTES = 2_097_152;
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;
    private static final long ANSWER_MS = 4;
    private final Report report;
    private final ServerSocket server;
    private final Map<String, List<Entry>> logs = new HashMap<>();

    private record Entry(String key, byte[] value) {}

    Store(Report report) throws IOException {
        this.report = report;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
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
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                byte[] body = Http.readBody(in, head, false);
                String uri = head.startLine().split(" ")[1];
                Threads.sleep(ANSWER_MS);
                switch (uri.substring(0, uri.indexOf('?'))) {
                    case "/v1/log-append" -> append(out, parameters(uri), body);
                    case "/v1/log-read" -> read(out, parameters(uri));
                    case "/v1/log-newest" -> newest(out, parameters(uri));
                    default -> Http.respond(out, 404, List.of(), new byte[0]);
                }
            }
        } catch (IOException e) {
            // The peer closed the connection.
        }
    }

    private static Map<String, String> parameters(String uri) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            parameters.put(
                    pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private List<Entry> log(Map<String, String> parameters) {
        return log(parameters.get("Topic"), parameters.get("part"));
    }

    private List<Entry> log(String topic, String part) {
        return logs.computeIfAbsent(topic + "/" + part, key -> new ArrayList<>());
    }

    /** Writes a record as the operator and the engines do; an empty value deletes the key. */
    synchronized void put(String topic, String key, byte[] value) {
        log(topic, "0").add(new Entry(key, value));
        notifyAll();
    }

    private void append(OutputStream out, Map<String, String> parameters, byte[] body) throws IOException {
        List<Entry> records = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        boolean tooLarge = body.length > CALL_BYTES + 4096;
        while (bytes.remaining() > 0) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            tooLarge |= record.length > RECORD_BYTES;
            int keyLength = record[0] & 0xff;
            records.add(new Entry(
                    new String(record, 1, keyLength, StandardCharsets.UTF_8),
                    Arrays.copyOfRange(record, 1 + keyLength, record.length)));
        }
        int status;
        int offset;
        int end;
        synchronized (this) {
            List<Entry> log = log(parameters);
            offset = log.size();
            String at = parameters.get("At");
            status = tooLarge ? 413 : at != null && Long.parseLong(at) != offset ? 412 : 200;
            if (status == 200) {
                log.addAll(records);
                notifyAll();
            }
            end = log.size();
        }
        if (tooLarge) {
            report.line("store refuses an append of " + body.length + " bytes: a record has more than " + RECORD_BYTES);
        }
        String json = status == 413
                ? "{\"Error\":\"a record has more than " + RECORD_BYTES + " bytes\"}"
                : status == 412 ? "{\"End\":" + end + "}" : "{\"Offset\":" + offset + ",\"End\":" + end + "}";
        Http.respond(out, status, List.of("Content-Type: application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    private void read(OutputStream out, Map<String, String> parameters) throws IOException {
        int from = Integer.parseInt(parameters.get("From"));
        int maxBytes = 1024 * Integer.parseInt(parameters.getOrDefault("MaxKb", "1024"));
        long waitMs = Math.min(30_000, Long.parseLong(parameters.getOrDefault("WaitMs", "0")));
        List<Entry> records;
        int end;
        synchronized (this) {
            long until = System.nanoTime() + waitMs * 1_000_000;
            List<Entry> log = log(parameters);
            while (log.size() <= from && System.nanoTime() < until) {
                try {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            end = log.size();
            records = new ArrayList<>();
            int bytes = 0;
            for (int i = from; i < end; i++) {
                Entry entry = log.get(i);
                bytes += 5 + entry.key().length() + entry.value().length;
                if (!records.isEmpty() && bytes > maxBytes) {
                    break;
                }
                records.add(entry);
            }
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(body);
        data.writeLong(end);
        data.writeLong(0);
        for (Entry entry : records) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            data.writeInt(1 + key.length + entry.value().length);
            data.writeByte(key.length);
            data.write(key);
            data.write(entry.value());
        }
        Http.respond(out, 200, List.of(), body.toByteArray());
    }

    private void newest(OutputStream out, Map<String, String> parameters) throws IOException {
        TreeMap<String, byte[]> newest = new TreeMap<>();
        int end;
        synchronized (this) {
            List<Entry> log = log(parameters);
            end = log.size();
            for (Entry entry : log) {
                if (entry.value().length == 0) {
                    newest.remove(entry.key());
                } else {
                    newest.put(entry.key(), entry.value());
                }
            }
        }
        String after = parameters.getOrDefault("After", "");
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, byte[]> entry : newest.tailMap(after, false).entrySet()) {
            if (count == MAX_PAGE_ITEMS || items.length() > MAX_PAGE_BYTES) {
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
        String json = "{\"Items\":[" + items + "],\"HasMore\":" + more + ",\"End\":" + end + "}";
        Http.respond(out, 200, List.of("Content-Type: application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
