import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * An engine that serves one request at a time on each connection and may send additional bytes after a complete answer:
 * an answer that belongs to no request and arrives where the next answer is expected.
 */
final class FaultyEngine {
    static final String EXTRA = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

    final Rig rig;
    final String id;
    final ServerSocket server;
    final List<Rig.Run> runs = Collections.synchronizedList(new ArrayList<>());
    final BooleanSupplier extraAfterAnswer;
    volatile int extras;
    volatile int sequence;

    FaultyEngine(Rig rig, String id, BooleanSupplier extraAfterAnswer) throws IOException {
        this.rig = rig;
        this.id = id;
        this.extraAfterAnswer = extraAfterAnswer;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        rig.pool.execute(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    rig.pool.execute(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        rig.pool.execute(() -> {
            while (true) {
                rig.store.put("keyed.servers", id, "{\"Service\":\"" + Rig.SERVICE + "\",\"Address\":\"127.0.0.1:"
                        + server.getLocalPort() + "\",\"Zone\":\"zone-a\",\"Version\":\"1\",\"Slots\":8,"
                        + "\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":1700000000000,\"Sequence\":" + sequence++
                        + "}");
                Rig.sleep(1.2);
            }
        });
    }

    private void serve(Socket socket) {
        boolean extraDue = false;
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] requestLine = Rig.readLine(in).split(" ");
                Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                for (String line = Rig.readLine(in); !line.isEmpty(); line = Rig.readLine(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
                }
                in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
                if (extraDue) {
                    extras++;
                    rig.note("%s: sends an additional answer before that to %s", id, headers.get("Request-Id"));
                    write(out, EXTRA);
                    extraDue = false;
                }
                answer(out, requestLine, headers);
                extraDue = extraAfterAnswer.getAsBoolean();
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void answer(OutputStream out, String[] requestLine, Map<String, String> headers) throws IOException {
        String requestId = headers.get("Request-Id");
        String head = "Request-Id: " + requestId + "\r\nServer-Stamp: " + id + "-stamp\r\n";
        if (!id.equals(headers.get("Expected-Instance"))) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n");
            return;
        }
        Rig.Run run = new Rig.Run(requestId, requestLine[0], requestLine[1], headers.get("Last-Event-Id"), rig.now());
        try {
            for (int event = 1; event <= 20; event++) {
                Rig.sleep(0.02);
                if (event == 1) {
                    // A request begins to run with its first token, with which the head of the answer is sent.
                    run.began = rig.now();
                    runs.add(run);
                    rig.log("%s: runs %s", id, requestId);
                    write(out, "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n"
                            + "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n");
                }
                chunk(out, "id: " + event + "\ndata: " + requestId + "." + event + "\n\n");
            }
            write(out, "0\r\n\r\n");
            run.end = "complete";
        } catch (IOException e) {
            run.end = "cancelled";
            throw e;
        } finally {
            rig.log("%s: run of %s ended: %s", id, requestId, run.end);
        }
    }
}
