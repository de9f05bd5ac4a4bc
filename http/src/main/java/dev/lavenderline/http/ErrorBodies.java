package dev.lavenderline.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.core.overload.RefusalReason;
import dev.lavenderline.core.overload.RefusalResponse;
import dev.lavenderline.core.routing.Refusal;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/** Renders error responses for callers. */
final class ErrorBodies {
    /** Response to a request that is refused while it is being received. */
    static final RefusalResponse REFUSAL = new RefusalResponse(
            "application/json", reason -> json(refusal(reason)).toString());

    private static final int MAX_NAME_CHARS = 100;

    private ErrorBodies() {}

    static ObjectNode json(ApiError error) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.putObject("error")
                .put("code", error.code())
                .put("message", error.message())
                .put("type", error.status() < 500 ? "invalid_request_error" : "server_error");
        return body;
    }

    private static ApiError refusal(RefusalReason reason) {
        String code = switch (reason.status()) {
            case 408 -> "request_timeout";
            case 431 -> "headers_too_large";
            default -> "not_run";
        };
        return new ApiError(reason.status(), code, "not run: " + reason.label(), Optional.empty());
    }

    static void send(HttpServerResponse response, ApiError error) {
        if (response.ended() || response.closed()) {
            return;
        }
        error.retryAfter().ifPresent(wait -> response.putHeader("Retry-After", retryAfterSeconds(wait)));
        if (error.status() == 401) {
            response.putHeader("WWW-Authenticate", "Bearer");
        }
        response.setStatusCode(error.status())
                .putHeader("Content-Type", "application/json")
                .end(json(error).toString());
    }

    /** Rounds up to whole seconds, because an earlier retry is not worthwhile. */
    private static String retryAfterSeconds(Duration wait) {
        return Long.toString(Math.max(1, (wait.toMillis() + 999) / 1000));
    }

    /** Returns the message in an upstream's error body. */
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

    /** Truncates a long name for use in an error message. */
    static String truncate(String name) {
        return name.length() <= MAX_NAME_CHARS ? name : name.substring(0, MAX_NAME_CHARS) + "...";
    }

    /** Returns the error for a refused request of which no byte was sent to an upstream. */
    static ApiError notRun(Refusal refusal) {
        return ApiError.notRun(refusal.message(), refusal.retryAfter());
    }
}
