package dev.lavenderline.ctl;

import dev.lavenderline.log.LogWriter;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.standins.log.LogStandin;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** A log stand-in for one test, with direct access to its records. */
final class TestLog implements AutoCloseable {
    /** A record of the log. */
    record StoredRecord(long offset, Instant time, RecordBatch batch) {}

    private final Vertx vertx = Vertx.vertx();
    private final WebClient client = WebClient.create(vertx);
    private final String url;
    private long sequence;

    TestLog() {
        int port = await(LogStandin.builder(vertx).build().start());
        this.url = "http://127.0.0.1:" + port;
    }

    String url() {
        return url;
    }

    void faults(JsonObject faults) {
        await(client.postAbs(url + "/faults").sendJsonObject(faults));
    }

    long append(String stream, Entry... entries) {
        RecordBatch batch = RecordBatch.newBuilder()
                .setVersion(LogWriter.BATCH_VERSION)
                .setWriter("test")
                .setSequence(++sequence)
                .addAllEntries(List.of(entries))
                .build();
        return append(stream, batch);
    }

    long append(String stream, RecordBatch batch) {
        HttpResponse<Buffer> response = await(
                client.postAbs(url + "/streams/" + stream + "/records").sendBuffer(Buffer.buffer(batch.toByteArray())));
        return response.bodyAsJsonObject().getLong("offset");
    }

    List<StoredRecord> records(String stream) {
        try {
            List<StoredRecord> records = new ArrayList<>();
            JsonObject response = await(client.getAbs(url + "/streams/" + stream + "/records?from=1")
                            .send())
                    .bodyAsJsonObject();
            for (Object item : response.getJsonArray("records")) {
                JsonObject stored = (JsonObject) item;
                records.add(new StoredRecord(
                        stored.getLong("offset"),
                        Instant.ofEpochMilli(stored.getLong("time")),
                        RecordBatch.parseFrom(Base64.getDecoder().decode(stored.getString("data")))));
            }
            return records;
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the configuration after all records of the stream {@code config}, as a node computes it. */
    ConfigHistory configHistory() {
        ConfigHistory history = new ConfigHistory();
        records("config").forEach(record -> history.apply(record.offset(), record.time(), record.batch()));
        return history;
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture().join();
    }

    @Override
    public void close() {
        client.close();
        await(vertx.close());
    }
}
