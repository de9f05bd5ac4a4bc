package dev.lavenderline.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.ConfigChange;
import dev.lavenderline.proto.log.ConfigFile;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Appends configuration changes to the log stand-in without {@code lavenderctl}, for fleets whose ports are known only
 * at run time.
 *
 * <p>Not thread-safe.
 */
public final class ConfigPublisher {
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(15);

    private final LocalFleet fleet;
    private final HttpClient http = HttpClient.newHttpClient();
    private final String writer = "publisher-" + UUID.randomUUID();
    private long sequence;

    public ConfigPublisher(LocalFleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Publishes one change.
     *
     * @param base revision that the change is based on
     * @return the offset of the record, which is the new revision if the change is accepted
     */
    public long publish(long base, Map<String, String> files) {
        ConfigChange.Builder change = ConfigChange.newBuilder()
                .setId(UUID.randomUUID().toString())
                .setBase(base)
                .setAuthor("bench");
        files.forEach((name, content) -> change.addFiles(ConfigFile.newBuilder()
                .setName(name)
                .setContent(ByteString.copyFrom(content, StandardCharsets.UTF_8))));
        RecordBatch batch = RecordBatch.newBuilder()
                .setVersion(1)
                .setWriter(writer)
                .setSequence(++sequence)
                .addEntries(Entry.newBuilder().setConfigChange(change))
                .build();
        return append(batch);
    }

    /** Sends a record until the log accepts it. Nodes apply a sequence number once, so copies do no harm. */
    private long append(RecordBatch batch) {
        long[] offset = new long[1];
        Poll.until("the log accepts the change", APPEND_TIMEOUT, () -> {
            OptionalLong accepted = tryAppend(batch);
            accepted.ifPresent(value -> offset[0] = value);
            return accepted.isPresent();
        });
        return offset[0];
    }

    private OptionalLong tryAppend(RecordBatch batch) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(fleet.logUrl() + "/streams/config/records"))
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofByteArray(batch.toByteArray()))
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= 500) {
                return OptionalLong.empty();
            }
            if (response.statusCode() >= 300) {
                throw new IllegalStateException(
                        "log append failed with status " + response.statusCode() + ": " + response.body());
            }
            JsonNode body = new com.fasterxml.jackson.databind.ObjectMapper().readTree(response.body());
            return OptionalLong.of(body.required("offset").asLong());
        } catch (IOException e) {
            return OptionalLong.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while appending to the log", e);
        }
    }
}
