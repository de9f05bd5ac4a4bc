package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.platform.HttpMessages.Head;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Calls of a client about batch jobs, each on a connection of its own. Stateless. */
public final class JobCall {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    /**
     * Answer to a call.
     *
     * @param status status; 0 without a whole answer
     */
    public record Answer(int status, byte[] body) {
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private JobCall() {}

    /**
     * Sends a call and waits for its answer.
     *
     * @param headers lines of the head behind the {@code Host}, each with its line end
     * @param timeoutMillis longest pause between bytes of the answer
     */
    public static Answer send(
            InetSocketAddress node,
            String method,
            String path,
            String host,
            String headers,
            byte[] body,
            int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(node, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(timeoutMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "Content-Length: "
                    + body.length + "\r\n\r\n";
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            socket.getOutputStream().write(message.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Head answer = HttpMessages.readHead(in);
            byte[] answered = answer.chunked() || answer.hasLength()
                    ? HttpMessages.readRequestBody(in, answer)
                    : in.readAllBytes();
            return new Answer(Integer.parseInt(answer.startLine().split(" ")[1]), answered);
        } catch (IOException | NumberFormatException e) {
            return new Answer(0, String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
        }
    }
}
