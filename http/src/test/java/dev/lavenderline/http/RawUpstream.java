package dev.lavenderline.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream that writes scripted bytes for each request, and may write more than one response for it. */
final class RawUpstream implements AutoCloseable {
    /** Returns the bytes to write for a request. */
    interface Script {
        /**
         * Returns the bytes.
         *
         * @param number number of the request over all connections, from 1
         * @param id the request's id
         */
        String respond(int number, String id);
    }

    private final ServerSocket server;
    private final Script script;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger closedConnections = new AtomicInteger();
    private final List<String> requestLines = new CopyOnWriteArrayList<>();

    RawUpstream(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    int connections() {
        return connections.get();
    }

    /** Returns the number of connections that the client has closed. */
    int closedConnections() {
        return closedConnections.get();
    }

    /** Returns each request as {@code CONNECTION METHOD URI ID}, connections numbered from 1. */
    List<String> requests() {
        return requestLines;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                int connection = connections.incrementAndGet();
                threads.execute(() -> serve(socket, connection));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            String line;
            while ((line = in.readLine()) != null) {
                String id = readRest(in);
                requestLines.add(connection + " " + line.replace(" HTTP/1.1", "") + " " + id);
                out.write(script.respond(requests.incrementAndGet(), id).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // The client closed the connection.
        } finally {
            closedConnections.incrementAndGet();
        }
    }

    /** Reads the headers and the body of a request; returns its id. */
    private static String readRest(BufferedReader in) {
        try {
            String id = "";
            int length = 0;
            String line;
            while ((line = in.readLine()) != null && !line.isEmpty()) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("x-request-id:")) {
                    id = line.substring(13).trim();
                } else if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            for (int read = 0; read < length; read++) {
                in.read();
            }
            return id;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a response with an id, or without one if it is empty. */
    static String response(int status, String id, String body) {
        String idHeader = id.isEmpty() ? "" : "X-Request-Id: " + id + "\r\n";
        return "HTTP/1.1 " + status + " Status\r\n" + idHeader + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        server.close();
        threads.shutdownNow();
    }
}
