package dev.lavenderline.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an engine stand-in that deviates from the engine protocol, which would invalidate other tests. */
class EngineServerTest {
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private EngineServer engine;

    private void start(String... options) {
        engine = new EngineServer(EngineOptions.parse(options));
        vertx.deployVerticle(engine).await();
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    private HttpResponse<String> send(String method, String path, String id, String body) {
        try {
            return http.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + path))
                            .header("X-Request-Id", id)
                            .header("X-Request-Class", "batch")
                            .method(method, HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private JsonObject getJson(String path) {
        return new JsonObject(send("GET", path, "", "").body());
    }

    private static String chat(String prompt, int maxTokens, boolean stream) {
        JsonObject message = new JsonObject().put("role", "user").put("content", prompt);
        return new JsonObject()
                .put("messages", new JsonArray().add(message))
                .put("max_tokens", maxTokens)
                .put("stream", stream)
                .encode();
    }

    private String completion(String id, String body) {
        return new JsonObject(send("POST", "/v1/chat/completions", id, body).body())
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message")
                .getString("content");
    }

    @Test
    void continuedCompletionHasSameText() {
        start("--step-base", "0.1");
        String full = completion("r1", chat("fault 17", 12, false));
        String partial = String.join(" ", java.util.Arrays.copyOf(full.split(" "), 5)) + " ";
        JsonObject body = new JsonObject(chat("fault 17", 7, false)).put("continue_final_message", true);
        body.getJsonArray("messages")
                .add(new JsonObject().put("role", "assistant").put("content", partial));

        assertEquals(full, partial + completion("r2", body.encode()));
        assertEquals(12, full.split(" ").length);
        assertEquals(9, completion("r3", chat("fault 17 length=9", 50, false)).split(" ").length);
    }

    @Test
    void streamIsResumedAtTokenIndex() {
        start("--step-base", "0.1");
        String full = send("POST", "/v1/chat/completions", "r1", chat("gate", 6, true))
                .body();
        String rest = send("GET", "/v1/streams/r1?from=4", "", "").body();

        assertTrue(full.endsWith(rest));
        assertTrue(rest.startsWith("id: 4\n"));
        assertEquals(404, send("GET", "/v1/streams/absent?from=0", "", "").statusCode());
    }

    @Test
    void endedStreamIsDroppedAfterRetention() {
        start("--step-base", "0.1", "--stream-keep", "50");
        send("POST", "/v1/chat/completions", "r1", chat("gate", 2, true));

        Awaitility.await()
                .until(() -> send("GET", "/v1/streams/r1?from=0", "", "").statusCode() == 404);
    }

    @Test
    void abandonedStreamIsCancelledAfterRetention() {
        start("--step-base", "5", "--stream-keep", "50", "--load-lag", "0");
        var response = http.sendAsync(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + "/v1/chat/completions"))
                        .POST(HttpRequest.BodyPublishers.ofString(chat("gate", 100_000, true)))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        Awaitility.await().until(() -> getJson("/v1/load").getInteger("running") == 1);
        response.cancel(true);

        Awaitility.await().until(() -> getJson("/v1/load").getInteger("running") == 0);
        assertEquals("abandoned", historyEntry(0).getString("end"));
    }

    private JsonObject historyEntry(int index) {
        return getJson("/history").getJsonArray("requests").getJsonObject(index);
    }

    @Test
    void promptsWithFaultMarkersFail() {
        start();
        assertEquals(
                400,
                send("POST", "/v1/chat/completions", "r1", chat("reject-me", 1, false))
                        .statusCode());
        assertThrows(
                java.io.UncheckedIOException.class,
                () -> send("POST", "/v1/chat/completions", "r2", chat("crash-me", 1, false)));
        assertEquals("refused", historyEntry(0).getString("end"));
        assertEquals("crashed", historyEntry(1).getString("end"));
        assertEquals("batch", historyEntry(1).getString("class"));
    }

    @Test
    void rejectFaultAppliesToNextRequests() {
        start("--step-base", "0.1");
        send("POST", "/faults", "", "{\"reject\":1}");

        assertEquals(
                503,
                send("POST", "/v1/chat/completions", "r1", chat("a", 1, false)).statusCode());
        assertEquals(
                200,
                send("POST", "/v1/chat/completions", "r2", chat("a", 1, false)).statusCode());
    }

    @Test
    void loadReportsLag() {
        start("--step-base", "5", "--load-lag", "400");
        long startNanos = System.nanoTime();
        var response = http.sendAsync(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + "/v1/chat/completions"))
                        .POST(HttpRequest.BodyPublishers.ofString(chat("gate", 100_000, true)))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        Awaitility.await().until(() -> getJson("/v1/load").getInteger("running") == 1);

        assertTrue(Duration.ofNanos(System.nanoTime() - startNanos).toMillis() >= 400);
        response.cancel(true);
    }

    @Test
    void outdatedFencingTokenIsRefusedOnlyIfChecked() {
        start("--checks-fencing", "--load-time", "10");
        String load = "{\"kind\":\"load\",\"model\":\"repair\",\"version\":\"2\",\"fencing\":";
        assertEquals(200, send("POST", "/v1/orders", "", load + "9}").statusCode());
        assertEquals(409, send("POST", "/v1/orders", "", load + "8}").statusCode());
        Awaitility.await()
                .until(() -> getJson("/v1/loaded").getJsonArray("loaded").size() == 1);

        start("--loaded", "repair:1");
        assertEquals(1, getJson("/v1/loaded").getJsonArray("loaded").size());
        String unload = "{\"kind\":\"unload\",\"model\":\"repair\",\"version\":\"1\",\"fencing\":";
        assertEquals(
                200,
                send("POST", "/v1/orders", "", "{\"kind\":\"role\",\"role\":\"prefill\",\"fencing\":9}")
                        .statusCode());
        assertEquals(200, send("POST", "/v1/orders", "", unload + "8}").statusCode());
        assertTrue(getJson("/v1/loaded").getJsonArray("loaded").isEmpty());
        assertEquals("prefill", getJson("/v1/loaded").getString("role"));
    }

    @Test
    void importedCacheBlocksSkipPrefill() {
        start("--step-base", "0.1", "--cache-event-lag", "0", "--cache-event-gap", "0");
        String body = chat("long prompt ".repeat(100), 1, false);
        completion("r1", body);
        String blocks = send("POST", "/v1/cache/export", "", "{}").body();
        int stored = getJson("/v1/cache/events?from=0").getJsonArray("events").size();
        assertEquals(0, historyEntry(0).getInteger("cached_tokens"));

        start("--step-base", "0.1", "--cache-event-lag", "60000");
        assertEquals(200, send("POST", "/v1/cache/import", "", blocks).statusCode());
        completion("r1", body);
        assertEquals(stored * 64, historyEntry(0).getInteger("cached_tokens"));
        assertFalse(stored == 0);
        assertTrue(getJson("/v1/cache/events?from=0").getJsonArray("events").isEmpty());
    }

    /** Guards against upgrades to HTTP/2 that the JDK's client asks for and that break off large responses. */
    @Test
    void clientThatAsksForAnUpgradeStaysWithHttp1() throws Exception {
        start();
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + "/history"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals(HttpClient.Version.HTTP_1_1, response.version());
        assertEquals(200, response.statusCode());
    }
}
