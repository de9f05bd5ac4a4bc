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

/** Guards against a stand-in that keeps, limits or answers other than the protocol says, which would hide faults. */
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
    void recordsBeyondTheCountExpire() throws Exception {
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
    void recordsBeyondTheAgeExpire() throws Exception {
        start(LogStandin.builder(vertx).retention(Duration.ofMillis(200)));
        await(append("old"));
        Awaitility.await().until(() -> stats().getInteger("records"), count -> count == 0);

        assertEquals(2, stats().getInteger("first"));
        assertEquals(2, await(append("new")).bodyAsJsonObject().getInteger("offset"));
    }

    @Test
    void theSizeOfAReadIsLimitedButNeverBelowOneRecord() throws Exception {
        start(LogStandin.builder(vertx));
        for (int i = 0; i < 4; i++) {
            await(append("0123456789"));
        }

        for (int[] limit : new int[][] {{1, 1}, {20, 2}, {29, 2}, {1000, 4}}) {
            JsonObject slice =
                    get("/streams/s/records?from=1&max_bytes=" + limit[0]).bodyAsJsonObject();
            assertEquals(limit[1], slice.getJsonArray("records").size(), "limit " + limit[0]);
        }
        assertEquals(400, get("/streams/s/records?from=0").statusCode());
        assertEquals(400, get("/streams/s/records?from=x").statusCode());
        assertEquals(413, await(append("x".repeat((1 << 20) + 1))).statusCode());
    }

    @Test
    void appendsBeyondTheRateAreRefused() throws Exception {
        start(LogStandin.builder(vertx).appendRate(40));
        List<Future<HttpResponse<Buffer>>> answers = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < 200; i++) {
            answers.add(append("r"));
        }
        int accepted = 0;
        for (Future<HttpResponse<Buffer>> answer : answers) {
            int status = await(answer).statusCode();
            assertTrue(status == 200 || status == 429, "status " + status);
            accepted += status == 200 ? 1 : 0;
        }
        // The bucket holds a quarter of a second.
        double seconds = (System.nanoTime() - start) * 1e-9;
        assertTrue(accepted >= 10 && accepted <= 11 + 40 * seconds, accepted + " in " + seconds + " s");
        assertEquals(accepted, stats().getInteger("appends"));
    }

    @Test
    void answersHaveTheLatencyThatIsSet() throws Exception {
        start(LogStandin.builder(vertx).appendLatency(Duration.ofMillis(80)).readLatency(Duration.ofMillis(120)));
        long start = System.nanoTime();
        await(append("r"));
        long appended = System.nanoTime();
        get("/streams/s/records?from=1");

        assertTrue(appended - start >= 80_000_000, "append took " + (appended - start) + " ns");
        assertTrue(System.nanoTime() - appended >= 120_000_000, "read took " + (System.nanoTime() - appended) + " ns");
    }

    @Test
    void aHeldAppendTakesEffectLater() throws Exception {
        start(LogStandin.builder(vertx));
        await(client.post(port, "127.0.0.1", "/faults")
                .sendJsonObject(new JsonObject().put("hold_appends", 1).put("hold_ms", 1_000)));
        Future<HttpResponse<Buffer>> held = append("held");
        Awaitility.await()
                .until(() -> get("/stats").bodyAsJsonObject().getInteger("hold_appends"), count -> count == 0);
        assertEquals(1, await(append("next")).bodyAsJsonObject().getInteger("offset"));

        Awaitility.await().until(() -> stats().getInteger("appends"), count -> count == 2);
        assertTrue(!held.isComplete(), "the held append gets no answer");
    }
}
