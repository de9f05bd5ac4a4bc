package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.platform.HttpMessages.Head;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A connection of a caller to a node, for one request after the other. Not thread-safe. */
public final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    /** Time for which a caller waits beyond its deadline, for answers that come late. */
    private static final long PATIENCE_MS = 1500;

    private final String name;
    private final History history;
    private final Socket socket = new Socket();
    private final InputStream in;
    private int exchange;
    private boolean reusable = true;

    /** Connects to a node. */
    public CallerConnection(String name, InetSocketAddress node, History history) throws IOException {
        this.name = name;
        this.history = history;
        try {
            socket.connect(node, CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns whether a further request may be sent. */
    public boolean reusable() {
        return reusable;
    }

    /** Returns the bytes that arrived although no request was waiting; closes the connection if it has ended. */
    public int unexpectedBytes() {
        try {
            socket.setSoTimeout(1);
            in.mark(1);
            if (in.read() >= 0) {
                in.reset();
                return Math.max(1, in.available());
            }
            close();
        } catch (SocketTimeoutException e) {
            return 0;
        } catch (IOException e) {
            close();
        }
        return 0;
    }

    /** Sends a request and reads its answer. */
    public CallerAnswer send(CallerRequest request) {
        exchange++;
        double sent = history.seconds();
        String text = request(request);
        history.record(History.keys(request.id()), name + " sends request " + exchange + ": " + request);
        int status = 0;
        Map<String, String> headers = Map.of();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String error = "";
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            long patience =
                    request.giveUpMillis() > 0 ? request.giveUpMillis() : request.deadlineMillis() + PATIENCE_MS;
            InputStream limited = new DeadlineInput(patience);
            Head head = HttpMessages.readHead(limited);
            headers = head.headers();
            status = Integer.parseInt(head.startLine().split(" ")[1]);
            readBody(limited, head, body);
            reusable = !head.header("Connection").equalsIgnoreCase("close") && (head.chunked() || head.hasLength());
        } catch (IOException | NumberFormatException e) {
            error = e.getClass().getSimpleName() + " " + e.getMessage();
            reusable = false;
        }
        CallerAnswer answer = new CallerAnswer(
                status, headers, body.toByteArray(), error.isEmpty(), error, sent, history.seconds(), name, exchange);
        history.record(History.keys(request.id()), "caller: " + answer);
        if (!reusable) {
            close();
        }
        return answer;
    }

    private static String request(CallerRequest request) {
        boolean stream = request.events() > 0;
        return "POST " + request.path() + " HTTP/1.1\r\nHost: " + request.host() + "\r\nRequest-Id: " + request.id()
                + "\r\nRequest-Deadline: " + request.deadlineMillis()
                + (stream
                        ? "\r\nModel: m\r\nToken-Counts: 250," + request.events() + "\r\nPrompt-Prefix: 5c1e07a2:100,"
                                + request.id().substring(0, 8) + ":150"
                        : "")
                + (request.lastEventId() > 0 ? "\r\nLast-Event-Id: " + request.lastEventId() : "")
                + (request.resumes().isEmpty() ? "" : "\r\nResumes: " + request.resumes())
                + "\r\nContent-Length: 5\r\n\r\nhello";
    }

    private static void readBody(InputStream from, Head head, ByteArrayOutputStream body) throws IOException {
        if (head.chunked()) {
            for (byte[] chunk = HttpMessages.readChunk(from); chunk.length > 0; chunk = HttpMessages.readChunk(from)) {
                body.writeBytes(chunk);
            }
            return;
        }
        int left = head.hasLength() ? head.length() : Integer.MAX_VALUE;
        byte[] buffer = new byte[4096];
        while (left > 0) {
            int count = from.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0 && !head.hasLength()) {
                return;
            }
            if (count < 0) {
                throw new EOFException("connection closed with " + left + " bytes missing");
            }
            body.write(buffer, 0, count);
            left -= count;
        }
    }

    @Override
    public void close() {
        reusable = false;
        try {
            socket.close();
        } catch (IOException e) {
            // The connection has ended already.
        }
    }

    /** Input of this connection that fails once a time has passed. */
    private final class DeadlineInput extends InputStream {
        private final long endNanos;

        DeadlineInput(long millis) {
            endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        }

        private void limit() throws IOException {
            long left = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (left <= 0) {
                throw new SocketTimeoutException("the caller left");
            }
            socket.setSoTimeout((int) left);
        }

        @Override
        public int read() throws IOException {
            limit();
            return in.read();
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            limit();
            return in.read(bytes, offset, length);
        }
    }
}
