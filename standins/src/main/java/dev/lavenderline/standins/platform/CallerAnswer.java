package dev.lavenderline.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * What a caller saw of the answer to one request.
 *
 * @param status status; 0 without an answer
 * @param headers headers of the answer; names ignore case
 * @param body bytes of the body so far
 * @param complete whether the answer ended as its framing says
 * @param error why there is no complete answer; empty if there is one
 * @param sent time of the request, in seconds of the history
 * @param ended time of the end, in seconds of the history
 * @param connection name of the connection
 * @param exchange number of the request on its connection, from 1
 */
public record CallerAnswer(
        int status,
        Map<String, String> headers,
        byte[] body,
        boolean complete,
        String error,
        double sent,
        double ended,
        String connection,
        int exchange) {
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    public boolean success() {
        return status / 100 == 2;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "request %d on %s, %.3f to %.3f: status %d, stamp %s, %d bytes, %s",
                exchange,
                connection,
                sent,
                ended,
                status,
                header("Server-Stamp"),
                body.length,
                complete ? "complete" : error);
    }
}
