package dev.lavenderline.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.core.routing.Refusal;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.time.Duration;

/** Renders errors for callers. */
final class ErrorBodies {
    private static final int MAX_SHOWN = 100;

    private ErrorBodies() {}

    static ObjectNode json(ApiError error) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.putObject("error")
                .put("code", error.code())
                .put("message", error.message())
                .put("type", error.status() < 500 ? "invalid_request_error" : "server_error");
        return body;
    }

    static void send(HttpServerResponse response, ApiError error) {
        if (response.ended() || response.closed()) {
            return;
        }
        error.retryAfter().ifPresent(wait -> response.putHeader("Retry-After", seconds(wait)));
        if (error.status() == 401) {
            response.putHeader("WWW-Authenticate", "Bearer");
        }
        response.setStatusCode(error.status())
                .putHeader("Content-Type", "application/json")
                .end(json(error).toString());
    }

    /** Rounds up, because a retry before the given time is not worthwhile. */
    private static String seconds(Duration wait) {
        return Long.toString(Math.max(1, (wait.toMillis() + 999) / 1000));
    }

    /** Returns the message of an upstream's error body. */
    static String upstreamMessage(Buffer body) {
        try {
            String message = Json.MAPPER
                    .readTree(body.getBytes())
                    .path("error")
                    .path("message")
                    .asText("");
            return message.isEmpty() ? "the upstream refused the request" : message;
        } catch (IOException e) {
            return "the upstream refused the request";
        }
    }

    /** Returns a name as it is shown in a message; long ones are cut. */
    static String shorten(String name) {
        return name.length() <= MAX_SHOWN ? name : name.substring(0, MAX_SHOWN) + "...";
    }

    /** The error for a request of which no upstream has seen a byte. */
    static ApiError notRun(Refusal refusal) {
        return ApiError.notRun(refusal.message(), refusal.retryAfter());
    }
}
