package dev.lavenderline.standins.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against retention, limits or responses that deviate from the log protocol, which would hide faults. */
class LogStandinTest {
    private final Vertx vertx = Vertx.vertx();
    private final WebClient client = WebClient.create(vertx);
    private int port;

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void start(LogStandin.Builder builder) throws Exception {
        port = await(builder.build().start());
    }

    private Future<HttpResponse<Buffer>> append(String data) {
        return client.post(port, "127.0.0.1", "/streams/s/records").sendBuffer(Buffer.buffer(data));
    }

    private HttpResponse<Buffer> get(String path) throws Exception {
        return await(client.get(port, "127.0.0.1", path).send());
    }

    private JsonObject stats() throws Exception {
        return get("/stats").bodyAsJsonObject().getJsonObject("streams").getJsonObject("s");
    }

    @Test
    void recordsBeyondRetainedCountExpire() throws Exception {
        start(LogStandin.builder(vertx).retainedRecords(3));
        for (int i = 1; i <= 5; i++) {
            assertEquals(i, await(append("r" + i)).bodyAsJsonObject().getInteger("offset"));
        }

        HttpResponse<Buffer> expired = get("/streams/s/records?from=2");
        assertEquals(410, expired.statusCode());
        assertEquals(3, expired.bodyAsJsonObject().getInteger("first"));
        JsonObject kept = get("/streams/s/records?from=3").bodyAsJsonObject();
        assertEquals(6, kept.getInteger("next"));
        JsonArray records = kept.getJsonArray("records");
        assertEquals(3, records.size());
        assertEquals("cjM=", records.getJsonObject(0).getString("data"));
        assertEquals(5, stats().getInteger("appends"));
        assertEquals(3, stats().getInteger("records"));
        assertEquals(10, stats().getInteger("bytes"));
    }

    @Test
    void recordsOlderThanRetentionExpire() throws Exception {
        start(LogStandin.builder(vertx).retention(Duration.ofMillis(200)));
        await(append("old"));
        Awaitility.await().until(() -> stats().getInteger("records"), count -> count == 0);

        assertEquals(2, stats().getInteger("first"));
        assertEquals(2, await(append("new")).bodyAsJsonObject().getInteger("offset"));
    }

    @Test
    void readIsLimitedInBytesButReturnsAtLeastOneRecord() throws Exception {
        start(LogStandin.builder(vertx));
        for (int i = 0; i < 4; i++) {
            await(append("0123456789"));
        }

        for (int[] limit : new int[][] {{1, 1}, {20, 2}, {29, 2}, {1000, 4}}) {
            JsonObject response =
                    get("/streams/s/records?from=1&max_bytes=" + limit[0]).bodyAsJsonObject();
            assertEquals(limit[1], response.getJsonArray("records").size(), "limit " + limit[0]);
        }
        assertEquals(400, get("/streams/s/records?from=0").statusCode());
        assertEquals(400, get("/streams/s/records?from=x").statusCode());
        assertEquals(413, await(append("x".repeat((1 << 20) + 1))).statusCode());
    }

    @Test
    void appendsBeyondRateLimitAreRefused() throws Exception {
        start(LogStandin.builder(vertx).appendRate(40));
        List<Future<HttpResponse<Buffer>>> responses = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < 200; i++) {
            responses.add(append("r"));
        }
        int accepted = 0;
        for (Future<HttpResponse<Buffer>> response : responses) {
            int status = await(response).statusCode();
            assertTrue(status == 200 || status == 429, "status " + status);
            accepted += status == 200 ? 1 : 0;
        }
        // The token bucket holds the appends of a quarter of a second: 10.
        double seconds = (System.nanoTime() - startNanos) * 1e-9;
        assertTrue(accepted >= 10 && accepted <= 11 + 40 * seconds, accepted + " in " + seconds + " s");
        assertEquals(accepted, stats().getInteger("appends"));
    }

    @Test
    void responsesHaveConfiguredLatency() throws Exception {
        start(LogStandin.builder(vertx).appendLatency(Duration.ofMillis(80)).readLatency(Duration.ofMillis(120)));
        long startNanos = System.nanoTime();
        await(append("r"));
        long appendEndNanos = System.nanoTime();
        get("/streams/s/records?from=1");

        assertTrue(appendEndNanos - startNanos >= 80_000_000, "append took " + (appendEndNanos - startNanos) + " ns");
        assertTrue(
                System.nanoTime() - appendEndNanos >= 120_000_000,
                "read took " + (System.nanoTime() - appendEndNanos) + " ns");
    }

    @Test
    void heldAppendTakesEffectLater() throws Exception {
        start(LogStandin.builder(vertx));
        await(client.post(port, "127.0.0.1", "/faults")
                .sendJsonObject(new JsonObject().put("hold_appends", 1).put("hold_ms", 1_000)));
        Future<HttpResponse<Buffer>> held = append("held");
        Awaitility.await()
                .until(() -> get("/stats").bodyAsJsonObject().getInteger("hold_appends"), count -> count == 0);
        assertEquals(1, await(append("next")).bodyAsJsonObject().getInteger("offset"));

        Awaitility.await().until(() -> stats().getInteger("appends"), count -> count == 2);
        assertTrue(!held.isComplete(), "the held append gets no response");
    }
}
