package dev.lavenderline.standins.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a service stand-in that miscounts its runs, on which the at-most-once tests rely. */
class ServiceServerTest {
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = HttpClient.newHttpClient();
    private final ServiceServer service = new ServiceServer(ServiceOptions.parse());

    @BeforeEach
    void start() {
        vertx.deployVerticle(service).await();
    }

    @AfterEach
    void stop() {
        vertx.close().await();
    }

    private HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + service.port() + path))
                        .header("Idempotency-Key", "k1")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private int runCount() throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + service.port() + "/history");
        String body = http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        return new JsonObject(body).getJsonArray("runs").size();
    }

    @Test
    void callIsEchoedAndRecorded() throws Exception {
        JsonObject response = new JsonObject(post("/lockout", "gate 7").body());

        assertEquals("POST", response.getString("method"));
        assertEquals("/lockout", response.getString("path"));
        assertEquals("gate 7", response.getString("body"));
        assertEquals(1, runCount());
    }

    @Test
    void callWithDroppedResponseRunsAndRejectedCallDoesNot() throws Exception {
        post("/faults", "{\"drop_answers\":1}");
        assertThrows(IOException.class, () -> post("/lockout", ""));
        assertEquals(1, runCount());

        post("/faults", "{\"reject\":1}");
        assertEquals(503, post("/lockout", "").statusCode());
        assertEquals(1, runCount());
        assertEquals(200, post("/lockout", "").statusCode());
    }
}
