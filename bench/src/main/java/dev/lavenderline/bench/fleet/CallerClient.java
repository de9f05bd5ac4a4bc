package dev.lavenderline.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/**
 * A blocking client of the callers' API for tests and scripted runs; load tests use an asynchronous client.
 *
 * <p>Thread-safe.
 */
public final class CallerClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String token;

    public CallerClient(String token) {
        this.token = token;
    }

    /** The status and text body of an HTTP response. */
    public record Response(int status, String body) {
        public JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                throw new UncheckedIOException("response body is not JSON: " + body, e);
            }
        }
    }

    /** Returns the body of a chat completion request. */
    public static ObjectNode chat(String model, String prompt, int maxTokens, boolean stream) {
        ObjectNode body = JSON.createObjectNode();
        body.put("model", model).put("max_tokens", maxTokens).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body;
    }

    /** Returns one line of a batch input file. */
    public static String batchLine(String customId, ObjectNode body) {
        ObjectNode line = JSON.createObjectNode();
        line.put("custom_id", customId).put("method", "POST").put("url", "/v1/chat/completions");
        line.set("body", body);
        return line + "\n";
    }

    public Response get(String url) {
        return send(request(url).GET().build());
    }

    public Response postJson(String url, JsonNode body, Map<String, String> headers) {
        return post(url, "application/json", body.toString(), headers);
    }

    public Response post(String url, String contentType, String body, Map<String, String> headers) {
        HttpRequest.Builder builder = request(url).header("Content-Type", contentType);
        headers.forEach(builder::header);
        return send(builder.POST(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    private HttpRequest.Builder request(String url) {
        return HttpRequest.newBuilder(URI.create(url))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + token);
    }

    private Response send(HttpRequest request) {
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (IOException e) {
            throw new UncheckedIOException(request.method() + " " + request.uri() + " failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted during " + request.method() + " " + request.uri(), e);
        }
    }
}
