package dev.lavenderline.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads parts of HTTP/1.1 messages from blocking streams. Stateless. */
final class HttpMessages {
    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final int HEXADECIMAL = 16;

    /** The first line and the headers of a message; names of headers ignore case. */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        boolean chunked() {
            return header("Transfer-Encoding").equalsIgnoreCase("chunked");
        }

        boolean hasLength() {
            return headers.containsKey("Content-Length");
        }

        int length() throws IOException {
            try {
                return Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            } catch (NumberFormatException e) {
                throw new IOException("malformed length " + header("Content-Length"), e);
            }
        }
    }

    private HttpMessages() {}

    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new IOException("header without a colon: " + line);
            }
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return new Head(startLine, headers);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection closed");
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line without end");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads the next chunk of a body; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        int size;
        try {
            size = Integer.parseInt(line.trim(), HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new IOException("malformed chunk size " + line, e);
        }
        byte[] chunk = readFully(in, size);
        if (!readLine(in).isEmpty()) {
            throw new IOException("chunk longer than its size");
        }
        return chunk;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection closed after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Reads the body of a request. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        if (!head.chunked()) {
            return readFully(in, head.length());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
            body.writeBytes(chunk);
        }
        return body.toByteArray();
    }
}
