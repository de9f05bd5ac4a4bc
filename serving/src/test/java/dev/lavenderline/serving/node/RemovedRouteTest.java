package dev.lavenderline.serving.node;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against jobs that are lost to their callers once the operator removes their route. */
class RemovedRouteTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client = HttpClient.newHttpClient();
    private final NodeHarness harness = new NodeHarness();
    private ScriptedUpstream upstream;

    @BeforeEach
    void start() throws IOException {
        upstream = new ScriptedUpstream(harness.vertx, "e1");
        harness.write("config", "config", "1");
        harness.write("upstreams", "e1", "engines " + upstream.port);
        harness.startNode("n1");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private HttpResponse<String> send(String path, String id, HttpRequest.BodyPublisher body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + harness.ports.get(0) + path))
                .timeout(TIMEOUT)
                .header("left", "4000")
                .header("id", id)
                .method(body.contentLength() == 0 ? "GET" : "POST", body)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private int status(String path) throws Exception {
        return send(path, "r", HttpRequest.BodyPublishers.noBody()).statusCode();
    }

    private void submit(String job, String items) throws Exception {
        assertEquals(
                202,
                send("/batch/", job, HttpRequest.BodyPublishers.ofString(items)).statusCode());
    }

    private String results(String job) throws Exception {
        HttpResponse<String> response = send("/jobs/" + job, "r", HttpRequest.BodyPublishers.noBody());
        assertEquals(200, response.statusCode(), job);
        return response.body();
    }

    @Test
    void jobStaysReadableAndItsItemsAreGivenUp() throws Exception {
        submit("done", "a");
        await().atMost(TIMEOUT).until(() -> results("done").lines().count() == 1);
        String before = results("done");
        upstream.script = (request, body) -> {};
        submit("open", "b,c,d");
        harness.write("config", "config", "2 +no-routes");
        await().atMost(TIMEOUT).until(() -> status("/stream/x") == 404 && status("/jobs/unknown") == 404);
        assertEquals(before, results("done"));
        await().atMost(TIMEOUT).until(() -> results("open").lines().count() == 3);
        assertEquals(before, results("done"));
    }
}
