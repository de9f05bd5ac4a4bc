import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A minimal HTTP/1.1 server and client over plain sockets, so that the stand-ins control each byte. */
final class Http {
    private Http() {}

    /** A message with its head and whole body. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return startLine.isEmpty() ? 0 : Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Returns a parameter of the query, empty if it is missing. */
        String parameter(String name) {
            int mark = target().indexOf('?');
            for (String pair : mark < 0 ? new String[0] : target().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    /** Handles a request; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    /** A server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        final ServerSocket socket;
        private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        private final List<Socket> open = new ArrayList<>();

        Server(String host, int port, Handler handler) throws IOException {
            socket = new ServerSocket(port, 256, InetAddress.getByName(host));
            threads.execute(() -> accept(handler));
        }

        int port() {
            return socket.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    synchronized (open) {
                        open.removeIf(Socket::isClosed);
                        open.add(connection);
                    }
                    threads.execute(() -> serve(connection, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private static void serve(Socket connection, Handler handler) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, connection, out)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The peer has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Ends the server and resets its connections, as the end of a process does. */
        @Override
        public void close() throws IOException {
            socket.close();
            threads.shutdown();
            synchronized (open) {
                for (Socket connection : open) {
                    if (!connection.isClosed()) {
                        connection.setSoLinger(true, 0);
                        connection.close();
                    }
                }
            }
        }
    }

    /** Reads a message; returns null if the connection ends before one. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) {
            return null;
        }
        message.startLine = line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        if (line == null) {
            return message;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                for (int size = size(in); size > 0; size = size(in)) {
                    copy(in, size, body);
                    line(in);
                }
                line(in);
                message.complete = true;
            } else if (message.headers.containsKey("Content-Length")) {
                copy(in, Integer.parseInt(message.header("Content-Length")), body);
                message.complete = true;
            } else {
                message.complete = !response;
            }
        } catch (IOException e) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static int size(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException();
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, int size, OutputStream to) throws IOException {
        byte[] buffer = new byte[8192];
        for (int left = size; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException();
            }
            to.write(buffer, 0, read);
            left -= read;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            bytes.write(next);
        }
        return null;
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    /** What a caller has received of a stream. */
    static final class Stream {
        volatile int status;
        volatile boolean complete;
        final List<String> data = java.util.Collections.synchronizedList(new ArrayList<>());
        volatile long lastId;
    }

    /** Sends a request for a stream and reads its events until the response is complete or the connection ends. */
    static void stream(InetSocketAddress to, String target, String headers, int timeoutMs, Stream stream) {
        stream.status = 0;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, 1000);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream()
                    .write(("POST " + target + " HTTP/1.1\r\n" + headers + "Content-Length: 4\r\n\r\nbody")
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = line(in);
            if (line == null) {
                return;
            }
            stream.status = Integer.parseInt(line.split(" ")[1]);
            while ((line = line(in)) != null && !line.isEmpty()) {
                // The headers are of no interest.
            }
            if (stream.status != 200) {
                return;
            }
            String pending = "";
            for (int size = size(in); size > 0; size = size(in)) {
                ByteArrayOutputStream chunk = new ByteArrayOutputStream();
                copy(in, size, chunk);
                line(in);
                pending += chunk.toString(StandardCharsets.UTF_8);
                for (int end = pending.indexOf("\n\n"); end >= 0; end = pending.indexOf("\n\n")) {
                    for (String field : pending.substring(0, end).split("\n")) {
                        if (field.startsWith("id: ")) {
                            stream.lastId = Long.parseLong(field.substring(4));
                        } else if (field.startsWith("data: ")) {
                            stream.data.add(field.substring(6));
                        }
                    }
                    pending = pending.substring(end + 2);
                }
            }
            stream.complete = true;
        } catch (IOException e) {
            // The stream is not complete.
        }
    }

    /** Sends one request on a new connection and returns the response; status 0 if there is none. */
    static Message call(InetSocketAddress to, String method, String target, String headers, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, 1000);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write((method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            whole.write(bytes);
            socket.getOutputStream().write(whole.toByteArray());
            Message response = read(new BufferedInputStream(socket.getInputStream()), true);
            return response == null ? new Message() : response;
        } catch (IOException e) {
            return new Message();
        }
    }
}
