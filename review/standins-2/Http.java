import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. Stateless and thread-safe. */
final class Http {
    private Http() {}

    /** The start line and the headers of a message; header names are in lower case. */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** A complete answer; status 0 stands for none. */
    record Answer(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("connection closed");
            }
            bytes.write(next);
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        return new Head(lines[0], headers);
    }

    static byte[] readBody(InputStream in, Head head, boolean untilClose) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                if (size == 0) {
                    String trailer = readLine(in);
                    while (!trailer.isEmpty()) {
                        trailer = readLine(in);
                    }
                    return body.toByteArray();
                }
                body.writeBytes(readFully(in, size));
                readLine(in);
            }
        }
        String length = head.header("content-length");
        if (!length.isEmpty()) {
            return readFully(in, Integer.parseInt(length));
        }
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection closed within a body");
        }
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection closed within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    static void respond(OutputStream out, int status, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        out.write(message.toByteArray());
        out.flush();
    }

    /** Sends a request on a new connection and reads the answer; status 0 if there is none within the time. */
    static Answer call(
            InetSocketAddress address, String method, String uri, List<String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(address, Math.min(1000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            List<String> lines = new ArrayList<>(headers);
            lines.add(0, method + " " + uri + " HTTP/1.1");
            lines.add("Connection: close");
            lines.add("Content-Length: " + body.length);
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes((String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            socket.getOutputStream().write(message.toByteArray());
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Head head = readHead(in);
            int status = Integer.parseInt(head.startLine().split(" ")[1]);
            return new Answer(status, head.headers(), readBody(in, head, true));
        } catch (IOException e) {
            return new Answer(0, Map.of(), String.valueOf(e).getBytes(StandardCharsets.UTF_8));
        }
    }
}
