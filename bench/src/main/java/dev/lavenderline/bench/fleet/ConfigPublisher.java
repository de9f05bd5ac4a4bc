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
 * Publishes configuration files on the log stand-in without the operators' command, for fleets whose ports are chosen at
 * run time.
 *
 * <p>Not thread-safe.
 */
public final class ConfigPublisher {
    private static final Duration ACCEPT_LIMIT = Duration.ofSeconds(15);

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
     * @param base revision that the change was made from
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

    /** Sends a record until the log accepts it; nodes fold copies of the same sequence once. */
    private long append(RecordBatch batch) {
        long[] offset = new long[1];
        Poll.until("the log accepts the change", ACCEPT_LIMIT, () -> {
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
                throw new IllegalStateException("the log answered " + response.statusCode() + ": " + response.body());
            }
            JsonNode answer = new com.fasterxml.jackson.databind.ObjectMapper().readTree(response.body());
            return OptionalLong.of(answer.required("offset").asLong());
        } catch (IOException e) {
            return OptionalLong.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while appending to the log", e);
        }
    }
}
